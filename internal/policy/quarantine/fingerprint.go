package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint identifies requests by their content. A request that a caller sends again has the
// same fingerprint, even with another request ID and at another node.
type Fingerprint uint64

// Request is the content that a fingerprint is computed from.
type Request struct {
	// Workspace is the caller's workspace, empty on routes that need no API key. The workspace is used
	// instead of the key because a workspace may have several keys.
	Workspace string
	Method    string
	Host      string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// NewFingerprint computes the fingerprint of a request. Each part is hashed together with its
// length, so that requests that differ only in the boundary between two parts get different
// fingerprints.
func NewFingerprint(request Request) Fingerprint {
	hash := xxhash.New()
	length := [8]byte{}
	for _, part := range []string{request.Workspace, request.Method, request.Host, request.Target} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(request.Body)
	return Fingerprint(hash.Sum64())
}

// NewPartFingerprint computes the fingerprint of a part that prompts share.
func NewPartFingerprint(id string) Fingerprint {
	hash := xxhash.New()
	_, _ = hash.WriteString("part of a prompt\x00")
	_, _ = hash.WriteString(id)
	return Fingerprint(hash.Sum64())
}

// String returns the sixteen hexadecimal digits that logs and the operator API use.
func (fingerprint Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fingerprint))
}

// ErrInvalidFingerprint is returned for text that is not a fingerprint. Test for it with errors.Is.
var ErrInvalidFingerprint = errors.New("a fingerprint is sixteen hexadecimal digits")

// ParseFingerprint parses the format of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, errors.Wrapf(ErrInvalidFingerprint, "read %q", text)
	}
	return Fingerprint(value), nil
}
