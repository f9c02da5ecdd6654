package stream

import (
	"hazelslip/internal/peer/logservice"
)

// Relayed is what one node gives another of a stream. Records are contiguous.
// Where the giver no longer holds the record that was asked for, Snapshot is a
// checkpoint that stands for everything before SnapshotNext.
type Relayed struct {
	Records      []logservice.Record
	Snapshot     []byte
	SnapshotNext uint64
}

// Fetch returns up to maxRecords records from the offset on, for a peer.
// Records of the log do not change, so handing them on is safe at any age.
func (follower *Follower) Fetch(from uint64, maxRecords int) (Relayed, error) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.complete {
		return Relayed{}, ErrNotReady
	}
	if from >= follower.next {
		return Relayed{}, nil
	}
	first := follower.next - uint64(len(follower.recent))
	if from < first || len(follower.recent) == 0 {
		snapshot, err := follower.fold.Snapshot(follower.next)
		return Relayed{Snapshot: snapshot, SnapshotNext: follower.next}, err
	}
	records := follower.recent[from-first:]
	if len(records) > maxRecords {
		records = records[:maxRecords]
	}
	return Relayed{Records: append([]logservice.Record(nil), records...)}, nil
}

// Offer folds what a peer relayed. It only ever goes forward: records that
// were folded already are passed over, and a snapshot that is not ahead is
// ignored.
func (follower *Follower) Offer(relayed Relayed) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	before := follower.next
	if relayed.Snapshot != nil && relayed.SnapshotNext > follower.next {
		follower.restoreLocked(relayed)
	}
	for _, record := range relayed.Records {
		if record.Offset == 0 && follower.next == 0 {
			follower.complete = true
		}
		follower.applyLocked(record)
	}
	if follower.next == before {
		return
	}
	follower.statistics.Relayed += follower.next - before
	if follower.complete {
		follower.caughtUp = true
	}
	follower.announceLocked()
}

func (follower *Follower) restoreLocked(relayed Relayed) {
	decoded, err := follower.fold.Decode(relayed.Snapshot)
	if err != nil || !decoded.Checkpoint {
		follower.statistics.Undecodable++
		follower.logger.Warn("stream: a peer's snapshot cannot be decoded.", "Stream", follower.name)
		return
	}
	decoded.Apply(relayed.SnapshotNext - 1)
	follower.next, follower.complete = relayed.SnapshotNext, true
	follower.gathered = nil
	follower.recent, follower.held = nil, 0
}

// AcceptEmpty marks a stream as known to be empty: a peer that follows it has
// folded nothing either.
func (follower *Follower) AcceptEmpty() {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if follower.next == 0 {
		follower.complete, follower.caughtUp = true, true
	}
}
