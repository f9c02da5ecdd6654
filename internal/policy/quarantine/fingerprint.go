package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint tells requests apart by what they ask, whoever takes them: the same
// caller's request comes again with the same one, under another ID and at any node.
type Fingerprint uint64

// Asked is what a fingerprint is of.
type Request struct {
	// Workspace is the caller's, empty on routes that ask for no key. It is used in
	// place of the key, since one workspace may hold several.
	Workspace string
	Method    string
	Host      string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Of returns the fingerprint of a request. Each part is hashed with its length, so that
// no two requests differ only in where one part ends.
func NewFingerprint(asked Request) Fingerprint {
	digest := xxhash.New()
	length := [8]byte{}
	for _, part := range []string{asked.Workspace, asked.Method, asked.Host, asked.Target} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(asked.Body)
	return Fingerprint(digest.Sum64())
}

// String is the fingerprint as logs and operators write it, sixteen hexadecimal digits.
func (fingerprint Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fingerprint))
}

// ErrFingerprint means that a text is no fingerprint. Use errors.Is.
var ErrInvalidFingerprint = errors.New("a fingerprint is sixteen hexadecimal digits")

// Parse reads a fingerprint as String writes it.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, errors.Wrapf(ErrInvalidFingerprint, "read %q", text)
	}
	return Fingerprint(value), nil
}
