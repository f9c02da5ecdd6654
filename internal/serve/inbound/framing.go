package inbound

import (
	"bytes"
	"net/http"
	"slices"
)

// framing notes what a head says about the length of its body. net/http drops a Content-Length beside a chunked body, so
// that a handler doesn't see it. A proxy that goes by the length takes such a request to end elsewhere, and may pass on
// a second request that is hidden in its body.
type framing struct {
	// line is the beginning of the current line.
	line  [maxLineStart]byte
	taken int
	// lines is the number of complete lines. ended is set after the empty line at the end.
	lines int
	ended bool
	// first is the beginning of the first line.
	first     [maxLineStart]byte
	firstSize int
	hasLength bool
}

// maxLineStart is how much of a line is kept. It fits the name of the field and the method of a request.
const maxLineStart = 48

var contentLength = []byte("content-length:")

// scan takes a part of a head. What follows the head is ignored.
func (framing *framing) scan(part []byte) {
	for len(part) > 0 && !framing.ended {
		end := bytes.IndexByte(part, '\n')
		line := part
		if end >= 0 {
			line = part[:end]
		}
		framing.taken += copy(framing.line[framing.taken:], line)
		if end < 0 {
			return
		}
		framing.endLine()
		part = part[end+1:]
	}
}

func (framing *framing) endLine() {
	start := bytes.TrimSuffix(framing.line[:framing.taken], []byte{'\r'})
	switch {
	case framing.lines == 0:
		framing.firstSize = copy(framing.first[:], start)
	case len(start) == 0:
		framing.ended = true
	case len(start) >= len(contentLength) && bytes.EqualFold(start[:len(contentLength)], contentLength):
		framing.hasLength = true
	}
	framing.lines++
	framing.taken = 0
}

// saw reports whether the whole head of the request was scanned. A part of it may have been read with the body of the
// request before. A field can't look like the first line, since its name holds no space.
func (framing *framing) saw(request *http.Request) bool {
	first := request.Method + " " + request.RequestURI + " " + request.Proto
	return framing.ended && bytes.Equal(framing.first[:framing.firstSize], []byte(first[:min(len(first), maxLineStart)]))
}

// ambiguity is how a request may be understood differently by a proxy before this node.
type ambiguity int

const (
	unambiguous ambiguity = iota
	// possible: the head was not seen whole, so the connection must not be used for a further request.
	possible
	// certain: the request has a length beside a chunked body.
	certain
)

func (framing *framing) ambiguity(request *http.Request) ambiguity {
	switch {
	case !slices.Contains(request.TransferEncoding, "chunked"):
		return unambiguous
	case !framing.saw(request):
		return possible
	case framing.hasLength:
		return certain
	}
	return unambiguous
}
