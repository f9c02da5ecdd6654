package stream

import (
	"hazelslip/internal/peer/logservice"
)

// FetchReply is the reply of a node to a peer that fetches a part of a stream. The records are contiguous. If the node
// no longer holds the requested record, Snapshot is a checkpoint that covers all records before SnapshotNext.
type FetchReply struct {
	Records      []logservice.Record
	Snapshot     []byte
	SnapshotNext uint64
}

// FetchRequest is what a follower requests from a peer.
type FetchRequest struct {
	From uint64
	// Snapshot requests a checkpoint instead of records, because records before From have expired from the log.
	Snapshot bool
}

// NextFetch returns the request for what this follower needs next.
func (follower *Follower) NextFetch() FetchRequest {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return FetchRequest{From: follower.next, Snapshot: !follower.complete && follower.next > 0}
}

// Fetch returns up to maxRecords records for a peer, or a snapshot. Records of the log never change, so passing them on
// is safe at any age.
func (follower *Follower) Fetch(request FetchRequest, maxRecords int) (FetchReply, error) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.complete {
		return FetchReply{}, ErrNotReady
	}
	if request.From >= follower.next && !request.Snapshot {
		return FetchReply{}, nil
	}
	first := follower.next - uint64(len(follower.recent))
	if request.Snapshot || request.From < first || len(follower.recent) == 0 {
		snapshot, err := follower.stateMachine.Snapshot(follower.next)
		return FetchReply{Snapshot: snapshot, SnapshotNext: follower.next}, err
	}
	records := follower.recent[request.From-first:]
	if len(records) > maxRecords {
		records = records[:maxRecords]
	}
	return FetchReply{Records: append([]logservice.Record(nil), records...)}, nil
}

// ApplyFetched applies a peer's reply. It never goes back: it skips records that were already applied, and ignores a
// snapshot that covers nothing new.
func (follower *Follower) ApplyFetched(reply FetchReply) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	before, complete := follower.next, follower.complete
	if reply.Snapshot != nil && follower.needsSnapshotLocked(reply.SnapshotNext) {
		follower.applySnapshotLocked(reply)
	}
	for _, record := range reply.Records {
		if record.Offset == 0 && follower.next == 0 {
			follower.complete = true
		}
		follower.processLocked(record)
	}
	if follower.next == before && follower.complete == complete {
		return
	}
	follower.statistics.Relayed += follower.next - before
	if follower.complete {
		follower.caughtUp = true
	}
	follower.notifyLocked()
}

// needsSnapshotLocked reports whether a snapshot is useful: it is ahead of this follower, or it covers the records that
// expired before this follower started to buffer.
func (follower *Follower) needsSnapshotLocked(snapshotNext uint64) bool {
	if follower.complete {
		return snapshotNext > follower.next
	}
	return snapshotNext >= follower.bufferedFrom
}

// applySnapshotLocked applies a peer's snapshot and the buffered records that it does not cover.
func (follower *Follower) applySnapshotLocked(reply FetchReply) {
	decoded, err := follower.stateMachine.Decode(reply.Snapshot)
	if err != nil || !decoded.Checkpoint {
		follower.statistics.Undecodable++
		follower.logger.Warn("stream: the snapshot of a peer cannot be decoded and is ignored.", "Stream", follower.Name)
		return
	}
	decoded.Apply(reply.SnapshotNext - 1)
	follower.complete, follower.hasState = true, true
	for _, record := range follower.buffered {
		if record.offset >= reply.SnapshotNext {
			follower.applyDecodedLocked(record.offset, record.decoded)
		}
	}
	follower.buffered = nil
	if reply.SnapshotNext > follower.next {
		follower.next = reply.SnapshotNext
		follower.recent, follower.recentSize = nil, 0
	}
}

// MarkEmpty marks the stream as known to be empty. Callers use it if a peer that follows the stream has applied no
// record either.
func (follower *Follower) MarkEmpty() {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if follower.next == 0 {
		follower.complete, follower.caughtUp = true, true
	}
}
