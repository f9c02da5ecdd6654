package stream_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/state/booking"
	"hazelslip/internal/state/class"
	"hazelslip/internal/state/lease"
	"hazelslip/internal/state/stream"
)

// FuzzFolds applies a record with arbitrary bytes to every state machine, as the log or a peer could deliver it. The
// follower must go on to the next offset, and the resulting state must be valid.
//
// The fuzzer found a checkpoint with an entry without an intent: a record that is valid protobuf and crashed every node
// that read it.
func FuzzFolds(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0})
	f.Add([]byte{0, 9, 1, 2, 3, 4, 5, 6, 7, 8, 24, 1})
	f.Add([]byte("\x0a\x02\x0a\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		discardLogger := slog.New(slog.NewTextHandler(io.Discard, nil))
		now := func() time.Duration { return time.Hour }
		classes := class.New()
		for _, stateMachine := range []stream.StateMachine{classes.StateMachine(), booking.NewTable(time.Hour).StateMachine(), lease.New(now).StateMachine()} {
			follower := stream.New("any", stateMachine, stream.Logger(discardLogger), stream.Clock(now))
			follower.ApplyFetched(stream.FetchReply{Records: []logservice.Record{{Offset: 0, Body: body}, {Offset: 1, Body: body}}})
			if follower.Next() != 2 {
				t.Fatalf("the follower stopped at offset %d", follower.Next())
			}
			follower.ApplyFetched(stream.FetchReply{Snapshot: body, SnapshotNext: 5})
			if _, err := stateMachine.Snapshot(5); err != nil {
				t.Fatalf("the state cannot be encoded as a checkpoint: %v", err)
			}
		}
		for _, name := range classes.Snapshot().Names() {
			if target, ok := classes.Snapshot().Target(name); !ok || target.Name != name {
				t.Fatalf("class %q has target %v", name, target)
			}
		}
	})
}
