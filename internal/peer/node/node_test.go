package node

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"hazelslip/internal/wire/exchange"
)

// FuzzReceive feeds arbitrary bytes as the content of a stream. receive must return a message or an error, and must not
// allocate memory for an announced length before the bytes have arrived.
func FuzzReceive(f *testing.F) {
	var good bytes.Buffer
	if _, err := protodelim.MarshalTo(&good, &exchange.Request{Incarnation: 1, Kind: &exchange.Request_Pull{Pull: &exchange.PullRequest{}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\x7f"))
	f.Add([]byte("\x80\x80\x80\x03"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, frame []byte) {
		request := &exchange.Request{}
		if err := receive(bytes.NewReader(frame), request); err == nil && len(frame) == 0 {
			t.Fatal("receive decoded a message from empty input")
		}
	})
}
