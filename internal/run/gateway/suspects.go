package gateway

import (
	"context"
	"time"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/wire/frame"
)

const (
	// leafFailureThreshold is the number of server failures from which a suspect request is reported to
	// leaves. Most requests during which a server failed succeed at the next server. A leaf hears of a
	// request before it is refused, so that a success at that leaf clears the suspicion.
	leafFailureThreshold = 2
	// storeFailureThreshold is the number of server failures from which a suspect request is written to the
	// store. It is lower in a partitioned fleet, because nodes that don't hear of each other need to know of
	// the first failure.
	storeFailureThreshold            = 2
	partitionedStoreFailureThreshold = 1
	// suspectSyncInterval is how often the store is read while suspects are fresh. freshSuspectWindow is how
	// long a suspect stays fresh after a server failure, which is longer than a caller takes to retry.
	// Changes are written immediately, and the nodes that read the store see them one interval later.
	suspectSyncInterval = time.Second
	freshSuspectWindow  = 10 * time.Second
	// suspectWriteDelay is how long a root waits to write again after the store was restored from an older
	// backup. Roots notice the recovery a few milliseconds apart. Without the delay, the first root to notice
	// it would take over the writing from the roots that reported the store as unavailable.
	suspectWriteDelay = 500 * time.Millisecond
	// maxSuspectsPerFrame bounds the suspects in one frame. Without it, a node that attaches during a wave of
	// server failures would wait too long for its first frame.
	maxSuspectsPerFrame = 256
)

// suspectChanged announces a change in what this node knows of a suspect request.
func (node *Node) suspectChanged(fingerprint quarantine.Fingerprint) {
	node.peers.queueSuspect(fingerprint, nil)
	node.cancelQuarantined(fingerprint)
	select {
	case node.suspectsDirty <- struct{}{}:
	default:
	}
}

// runSuspectSync synchronises the suspects with the store on each change, and periodically while there is
// something to read.
func (node *Node) runSuspectSync() {
	ticker := time.NewTicker(suspectSyncInterval)
	defer ticker.Stop()
	for {
		recovered, writable := node.storeCalls.Recovery(), node.suspectWriteAllowed()
		select {
		case <-node.Stopping:
			return
		case <-node.suspectsDirty:
		case <-recovered:
		case <-writable:
		case <-ticker.C:
		}
		node.syncSuspects()
	}
}

// suspectWriteAllowed returns a channel that fires when suspects may be written again, or nil if they may be
// written now.
func (node *Node) suspectWriteAllowed() <-chan time.Time {
	if remaining := node.storedSuspects.writableAt - node.now(); remaining > 0 {
		return time.After(remaining)
	}
	return nil
}

// cancelQuarantined cancels the calls of a request that is now quarantined, unless a server has begun to run
// them.
func (node *Node) cancelQuarantined(fingerprint quarantine.Fingerprint) {
	verdict, refused := node.quarantine.Quarantined(fingerprint)
	if !refused {
		return
	}
	node.logger.Warn("gateway: a request is quarantined.", "Fingerprint", fingerprint.String(), "Part", node.quarantine.IsPart(fingerprint),
		"Ends", len(verdict.Failures), "LastRun", verdict.Failures[len(verdict.Failures)-1].Run, "ForMilliseconds", verdict.Remaining.Milliseconds(),
		"CallsEnded", node.board.CancelUnanswered(uint64(fingerprint)))
}

// queueSuspect queues a suspect request for the linked nodes. Upstream nodes, relays and roots always receive
// it, leaves only from leafFailureThreshold on.
func (peers *peers) queueSuspect(fingerprint quarantine.Fingerprint, from *overlay.Link) {
	suspect, known := peers.node.quarantine.Suspect(fingerprint)
	if !known {
		return
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for link, state := range peers.linkStates {
		if link != from && shouldSendSuspect(link, suspect) {
			state.pendingSuspects[fingerprint] = struct{}{}
		}
	}
}

func shouldSendSuspect(link *overlay.Link, suspect quarantine.Suspect) bool {
	return isBackbone(link) || link.Opened || suspect.Peak >= leafFailureThreshold
}

// queueAllSuspects queues all known suspects for a new link.
func (peers *peers) queueAllSuspects(state *linkState) {
	suspects, _ := peers.node.quarantine.Suspects(1, 0)
	for _, suspect := range suspects {
		if shouldSendSuspect(state.link, suspect) {
			state.pendingSuspects[suspect.Fingerprint] = struct{}{}
		}
	}
}

// nextSuspects returns the queued suspects for a link, with their current content.
func (peers *peers) nextSuspects(state *linkState) []*frame.Suspect {
	if len(state.pendingSuspects) == 0 {
		return nil
	}
	now := peers.node.now()
	encoded := make([]*frame.Suspect, 0, len(state.pendingSuspects))
	for fingerprint := range state.pendingSuspects {
		if len(encoded) == maxSuspectsPerFrame {
			break
		}
		delete(state.pendingSuspects, fingerprint)
		if suspect, known := peers.node.quarantine.Suspect(fingerprint); known {
			encoded = append(encoded, suspectToWire(suspect, now))
		}
	}
	return encoded
}

// handleSuspects merges the suspects that another node knows, and forwards those that are new.
func (peers *peers) handleSuspects(link *overlay.Link, received []*frame.Suspect) {
	now := peers.node.now()
	for _, encoded := range received {
		suspect := suspectFromWire(encoded, now)
		if peers.node.quarantine.Merge(suspect) {
			peers.queueSuspect(suspect.Fingerprint, link)
			peers.node.cancelQuarantined(suspect.Fingerprint)
		}
	}
}

func suspectToWire(suspect quarantine.Suspect, now time.Duration) *frame.Suspect {
	encoded := &frame.Suspect{Fingerprint: uint64(suspect.Fingerprint), Part: suspect.Part, Answered: suspect.Answered}
	for _, failure := range suspect.Failures {
		encoded.Ends = append(encoded.Ends, &frame.ServerEnd{Run: failure.Run, AgeMs: cappedMilliseconds(now - failure.At)})
	}
	if suspect.LiftedAt > 0 {
		encoded.Lifted, encoded.LiftedAgeMs = true, cappedMilliseconds(now-suspect.LiftedAt)
	}
	return encoded
}

func suspectFromWire(encoded *frame.Suspect, now time.Duration) quarantine.Suspect {
	suspect := quarantine.Suspect{Subject: quarantine.Subject{Fingerprint: quarantine.Fingerprint(encoded.Fingerprint), Part: encoded.Part}, Answered: encoded.Answered}
	for _, failure := range encoded.Ends {
		suspect.Failures = append(suspect.Failures, quarantine.Failure{Run: failure.Run, At: now - time.Duration(failure.AgeMs)*time.Millisecond})
	}
	if encoded.Lifted {
		suspect.LiftedAt = now - time.Duration(encoded.LiftedAgeMs)*time.Millisecond
	}
	return suspect
}

// storedSuspects is what this node knows of the suspects in the store.
type storedSuspects struct {
	// writtenVersion is the version of the list up to which it has been written to the store. readSinceRoot
	// is set once the store has been read since this node became a root.
	writtenVersion uint64
	readSinceRoot  bool
	// lastReadAt is when reading the store was last tried.
	lastReadAt time.Duration
	// writableAt is the time from which the roots agree on which of them writes.
	writableAt time.Duration
	// recorded are the requests that have a record in the store.
	recorded map[quarantine.Fingerprint]struct{}
}

// syncSuspects synchronises the suspects with the store. It serves nodes that can't hear of suspects from
// other nodes: those that start while all other nodes start too, and those that are cut off from the other
// nodes but not from the store. Only roots synchronise, and only while there is something to exchange.
func (node *Node) syncSuspects() {
	if node.peers.overlay.Role() != overlay.Root {
		node.storedSuspects.readSinceRoot = false
		return
	}
	if node.storedSuspectsLost.Swap(false) {
		node.storedSuspects.writtenVersion, node.storedSuspects.readSinceRoot = 0, false
		node.storedSuspects.writableAt = node.now() + suspectWriteDelay
	}
	minFailures := storeFailureThreshold
	partitioned := node.peers.partitioned()
	if partitioned {
		minFailures = partitionedStoreFailureThreshold
	}
	writes := partitioned || node.peers.readPolicy().IsReader()
	if writes && node.now() >= node.storedSuspects.writableAt {
		node.writeSuspects(minFailures)
	}
	readDue := node.now()-node.storedSuspects.lastReadAt >= suspectSyncInterval/2
	if readDue && (!node.storedSuspects.readSinceRoot || (writes && node.quarantine.HasRecentFailure(minFailures, freshSuspectWindow))) {
		node.storedSuspects.lastReadAt = node.now()
		node.storedSuspects.readSinceRoot = node.readSuspects()
	}
}

// partitioned reports whether this node hears nothing of some nodes: nodes that it heard of within the last
// minute, or a whole data centre.
func (peers *peers) partitioned() bool {
	return peers.reachableNodes() < peers.budgetNodes() || peers.overlay.HasUnlinkedDataCentre()
}

// writeSuspects writes changed suspects to the store, and deletes the records of expired ones.
func (node *Node) writeSuspects(minFailures int) {
	suspects, version := node.quarantine.Suspects(minFailures, node.storedSuspects.writtenVersion)
	stored := make([]store.Suspect, 0, len(suspects))
	now, wallClock := node.now(), time.Now()
	for _, suspect := range suspects {
		node.storedSuspects.recorded[suspect.Fingerprint] = struct{}{}
		stored = append(stored, suspectToStore(suspect, now, wallClock))
	}
	for fingerprint := range node.storedSuspects.recorded {
		if _, known := node.quarantine.Suspect(fingerprint); !known {
			delete(node.storedSuspects.recorded, fingerprint)
			stored = append(stored, store.Suspect{Fingerprint: fingerprint.String(), Deleted: true})
		}
	}
	if len(stored) == 0 {
		return
	}
	err := node.callStore(node.storeCalls.StartWrite("write suspects"), storeTimeout, func(ctx context.Context) error {
		return node.platform.Store.SaveSuspects(ctx, stored)
	})
	if err != nil {
		return
	}
	node.storedSuspects.writtenVersion = version
}

// readSuspects merges the suspects in the store, and reports whether the store responded.
func (node *Node) readSuspects() bool {
	stored := []store.Suspect{}
	err := node.callStore(node.storeCalls.Start("suspects", 0), storeTimeout, func(ctx context.Context) (err error) {
		stored, err = node.platform.Store.ListSuspects(ctx)
		return err
	})
	if err != nil {
		return false
	}
	now, wallClock := node.now(), time.Now()
	for _, record := range stored {
		suspect, err := suspectFromStore(record, now, wallClock)
		if err != nil {
			node.logger.Warn("gateway: a suspect record in the store is invalid.", "Key", record.Fingerprint, "Error", err.Error())
			continue
		}
		node.storedSuspects.recorded[suspect.Fingerprint] = struct{}{}
		if node.quarantine.Merge(suspect) {
			node.suspectChanged(suspect.Fingerprint)
		}
	}
	return true
}

func suspectToStore(suspect quarantine.Suspect, now time.Duration, wallClock time.Time) store.Suspect {
	stored := store.Suspect{Fingerprint: suspect.Fingerprint.String(), Part: suspect.Part, Answered: suspect.Answered}
	for _, failure := range suspect.Failures {
		stored.Ends = append(stored.Ends, store.SuspectFailure{Run: failure.Run, At: wallClock.Add(failure.At - now)})
	}
	if suspect.LiftedAt > 0 {
		stored.LiftedAt = wallClock.Add(suspect.LiftedAt - now)
	}
	return stored
}

func suspectFromStore(stored store.Suspect, now time.Duration, wallClock time.Time) (quarantine.Suspect, error) {
	fingerprint, err := quarantine.ParseFingerprint(stored.Fingerprint)
	if err != nil {
		return quarantine.Suspect{}, err
	}
	// Wall clocks differ by seconds, so a time in the future counts as now.
	local := func(at time.Time) time.Duration { return now - max(0, wallClock.Sub(at)) }
	suspect := quarantine.Suspect{Subject: quarantine.Subject{Fingerprint: fingerprint, Part: stored.Part}, Answered: stored.Answered}
	for _, failure := range stored.Ends {
		suspect.Failures = append(suspect.Failures, quarantine.Failure{Run: failure.Run, At: local(failure.At)})
	}
	if !stored.LiftedAt.IsZero() {
		suspect.LiftedAt = local(stored.LiftedAt)
	}
	return suspect, nil
}
