package overlay

import (
	"time"

	"hazelslip/internal/wire/frame"
)

const (
	// rootConnectInterval is how often a root looks for data centres to which it has no link.
	rootConnectInterval = 250 * time.Millisecond
	// idleRootConnectInterval is how often a leaf checks whether it has become a root.
	idleRootConnectInterval = 500 * time.Millisecond
	// passiveConnectDelay is how long a root waits for the root of a data centre whose name sorts first to connect,
	// before it connects itself.
	passiveConnectDelay = 700 * time.Millisecond
	// maxRootCandidates is how many nodes of a data centre are tried in a row.
	maxRootCandidates = 6
)

func (overlay *Overlay) rootConnectPause() time.Duration {
	if overlay.Role() == Leaf {
		return idleRootConnectInterval
	}
	return rootConnectInterval
}

// connectRoots connects to the data centres to which this root has no link.
func (overlay *Overlay) connectRoots() {
	if overlay.Role() != Root || overlay.leaving.Load() {
		return
	}
	now := overlay.Now()
	linked := overlay.linkedDataCentres()
	for dataCentre := range groupByDataCentre(overlay.candidates(true)) {
		if overlay.shouldConnect(dataCentre, linked[dataCentre], now) {
			overlay.Go(func() { overlay.connectRoot(dataCentre) })
		}
	}
}

// linkedDataCentres returns the data centres to which this root has a link, including its own.
func (overlay *Overlay) linkedDataCentres() map[string]bool {
	linked := map[string]bool{overlay.Self.DataCentre: true}
	for _, link := range overlay.Links() {
		if link.Purpose == frame.Purpose_Root {
			linked[link.Remote.DataCentre] = true
		}
	}
	return linked
}

// HasUnlinkedDataCentre reports whether this root knows nodes of a data centre to which it has no link.
func (overlay *Overlay) HasUnlinkedDataCentre() bool {
	linked := overlay.linkedDataCentres()
	for dataCentre := range groupByDataCentre(overlay.candidates(true)) {
		if !linked[dataCentre] {
			return true
		}
	}
	return false
}

// shouldConnect reports whether this root should connect to a data centre now, and marks the attempt as started if
// so.
func (overlay *Overlay) shouldConnect(dataCentre string, linked bool, now time.Duration) bool {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	if linked || overlay.connecting[dataCentre] {
		delete(overlay.unlinkedSince, dataCentre)
		return false
	}
	since, known := overlay.unlinkedSince[dataCentre]
	if !known {
		since, overlay.unlinkedSince[dataCentre] = now, now
	}
	if overlay.Self.DataCentre > dataCentre && now-since < passiveConnectDelay {
		return false
	}
	overlay.connecting[dataCentre] = true
	return true
}

// connectRoot connects to the root of a data centre: the node that was reported as its root, or else the first of its
// nodes that is a root or names one.
func (overlay *Overlay) connectRoot(dataCentre string) {
	defer func() {
		overlay.mu.Lock()
		defer overlay.mu.Unlock()
		delete(overlay.connecting, dataCentre)
	}()
	tried := map[string]bool{}
	for range maxRootCandidates {
		address := overlay.nextRootCandidate(dataCentre, tried)
		if address == "" {
			return
		}
		tried[address] = true
		if overlay.attach(address, frame.Purpose_Root) != nil {
			return
		}
		select {
		case <-overlay.Stopping:
			return
		default:
		}
	}
}

// nextRootCandidate returns the address of the next node of a data centre to try, or an empty string if none is left.
func (overlay *Overlay) nextRootCandidate(dataCentre string, tried map[string]bool) string {
	overlay.mu.Lock()
	reported := overlay.roots[dataCentre]
	overlay.mu.Unlock()
	if reported != "" && !tried[reported] {
		return reported
	}
	for _, member := range groupByDataCentre(overlay.candidates(false))[dataCentre] {
		if !tried[member.Address] {
			return member.Address
		}
	}
	return ""
}
