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

// FuzzFolds feeds a record of any bytes to every fold, as a log or a peer could
// hand it over. Whatever it is, the follower must go on to the next offset, and
// what it says must be fit for use.
//
// The fuzzer found a checkpoint with an entry that nobody had claimed: a record
// that is valid protobuf and ended every node that read it.
func FuzzFolds(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0})
	f.Add([]byte{0, 9, 1, 2, 3, 4, 5, 6, 7, 8, 24, 1})
	f.Add([]byte("\x0a\x02\x0a\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
		now := func() time.Duration { return time.Hour }
		classes := class.New()
		for _, fold := range []stream.Fold{classes.Fold(), booking.NewTable(time.Hour).Fold(), lease.New(now).Fold()} {
			follower := stream.New("any", fold, stream.Logger(quiet), stream.Clock(now))
			follower.Offer(stream.Relayed{Records: []logservice.Record{{Offset: 0, Body: body}, {Offset: 1, Body: body}}})
			if follower.Next() != 2 {
				t.Fatalf("stopped at %d", follower.Next())
			}
			follower.Offer(stream.Relayed{Snapshot: body, SnapshotNext: 5})
			if _, err := fold.Snapshot(5); err != nil {
				t.Fatalf("what was folded cannot be written back: %v", err)
			}
		}
		for _, name := range classes.Snapshot().Names() {
			if target, ok := classes.Snapshot().Target(name); !ok || target.Name != name {
				t.Fatalf("class %q has target %v", name, target)
			}
		}
	})
}
