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

// Want is what a follower would ask a peer for.
type Want struct {
	From uint64
	// Snapshot asks for a checkpoint instead of records: what came before From
	// has expired from the log.
	Snapshot bool
}

// Want returns what this follower would ask a peer for.
func (follower *Follower) Want() Want {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return Want{From: follower.next, Snapshot: !follower.complete && follower.next > 0}
}

// Fetch returns up to maxRecords records for a peer, or a snapshot. Records of
// the log do not change, so handing them on is safe at any age.
func (follower *Follower) Fetch(want Want, maxRecords int) (Relayed, error) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.complete {
		return Relayed{}, ErrNotReady
	}
	if want.From >= follower.next && !want.Snapshot {
		return Relayed{}, nil
	}
	first := follower.next - uint64(len(follower.recent))
	if want.Snapshot || want.From < first || len(follower.recent) == 0 {
		snapshot, err := follower.fold.Snapshot(follower.next)
		return Relayed{Snapshot: snapshot, SnapshotNext: follower.next}, err
	}
	records := follower.recent[want.From-first:]
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
	before, complete := follower.next, follower.complete
	if relayed.Snapshot != nil && follower.needsLocked(relayed.SnapshotNext) {
		follower.restoreLocked(relayed)
	}
	for _, record := range relayed.Records {
		if record.Offset == 0 && follower.next == 0 {
			follower.complete = true
		}
		follower.applyLocked(record)
	}
	if follower.next == before && follower.complete == complete {
		return
	}
	follower.statistics.Relayed += follower.next - before
	if follower.complete {
		follower.caughtUp = true
	}
	follower.announceLocked()
}

// needsLocked reports whether a snapshot helps: it is ahead, or it stands for
// what expired before this follower began to gather.
func (follower *Follower) needsLocked(snapshotNext uint64) bool {
	if follower.complete {
		return snapshotNext > follower.next
	}
	return snapshotNext >= follower.gatheredFrom
}

func (follower *Follower) restoreLocked(relayed Relayed) {
	decoded, err := follower.fold.Decode(relayed.Snapshot)
	if err != nil || !decoded.Checkpoint {
		follower.statistics.Undecodable++
		follower.logger.Warn("stream: a peer's snapshot cannot be decoded.", "Stream", follower.Name)
		return
	}
	decoded.Apply(relayed.SnapshotNext - 1)
	follower.complete, follower.folded = true, true
	for _, later := range follower.gathered {
		if later.offset >= relayed.SnapshotNext {
			follower.foldLocked(later.offset, later.decoded)
		}
	}
	follower.gathered = nil
	if relayed.SnapshotNext > follower.next {
		follower.next = relayed.SnapshotNext
		follower.recent, follower.held = nil, 0
	}
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
