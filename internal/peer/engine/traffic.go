package engine

import (
	"net/http"
	"sync/atomic"
)

// headerBytes is about what the HTTP headers of one small request and of its
// reply take on the wire, as read off a connection to the stand-in engine.
const headerBytes = 215

// Traffic counts control messages to engines. All fields only grow.
type Traffic struct {
	Requests atomic.Uint64
	Failures atomic.Uint64
	Bytes    atomic.Uint64
}

func (traffic *Traffic) exchanged(request *http.Request, replyBytes int) {
	traffic.Requests.Add(1)
	traffic.Bytes.Add(uint64(max(request.ContentLength, 0)) + uint64(replyBytes) + headerBytes)
}

func (traffic *Traffic) failed(request *http.Request) {
	traffic.Requests.Add(1)
	traffic.Failures.Add(1)
	traffic.Bytes.Add(uint64(max(request.ContentLength, 0)) + headerBytes)
}
