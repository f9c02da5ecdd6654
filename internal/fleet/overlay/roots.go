package overlay

import (
	"time"

	"hazelslip/internal/wire/frame"
)

const (
	// meetEvery is how often a root looks which data centres it has no link to.
	meetEvery = 250 * time.Millisecond
	// meetIdle is how often another node looks whether it has become one.
	meetIdle = 500 * time.Millisecond
	// meetPatience is how long a root waits for one of a data centre whose name
	// comes first to connect, before it does so itself.
	meetPatience = 700 * time.Millisecond
	// meetMost is how many nodes of a data centre are tried in a row.
	meetMost = 6
)

func (overlay *Overlay) meetPause() time.Duration {
	if overlay.Role() == Leaf {
		return meetIdle
	}
	return meetEvery
}

// meet connects to the roots of other data centres that this one has no link to.
func (overlay *Overlay) meet() {
	if overlay.Role() != Root || overlay.leaving.Load() {
		return
	}
	now := overlay.Now()
	linked := overlay.linked()
	for dataCentre := range byDataCentre(overlay.members(true)) {
		if overlay.due(dataCentre, linked[dataCentre], now) {
			overlay.Go(func() { overlay.meetOne(dataCentre) })
		}
	}
}

// linked are the data centres that this root has a link to, and its own.
func (overlay *Overlay) linked() map[string]bool {
	linked := map[string]bool{overlay.Self.DataCentre: true}
	for _, link := range overlay.Links() {
		if link.Purpose == frame.Purpose_Root {
			linked[link.Remote.DataCentre] = true
		}
	}
	return linked
}

// Apart says whether there is a data centre that this root knows nodes of and has no
// link to.
func (overlay *Overlay) Apart() bool {
	linked := overlay.linked()
	for dataCentre := range byDataCentre(overlay.members(true)) {
		if !linked[dataCentre] {
			return true
		}
	}
	return false
}

// due says whether this root should connect to a data centre now, and notes that
// it does.
func (overlay *Overlay) due(dataCentre string, linked bool, now time.Duration) bool {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	if linked || overlay.meeting[dataCentre] {
		delete(overlay.apart, dataCentre)
		return false
	}
	since, known := overlay.apart[dataCentre]
	if !known {
		since, overlay.apart[dataCentre] = now, now
	}
	if overlay.Self.DataCentre > dataCentre && now-since < meetPatience {
		return false
	}
	overlay.meeting[dataCentre] = true
	return true
}

// meetOne connects to the root of a data centre: the one that was named as such,
// else the first of its nodes that is one or names one.
func (overlay *Overlay) meetOne(dataCentre string) {
	defer func() {
		overlay.mu.Lock()
		defer overlay.mu.Unlock()
		delete(overlay.meeting, dataCentre)
	}()
	tried := map[string]bool{}
	for range meetMost {
		address := overlay.nextRoot(dataCentre, tried)
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

// nextRoot is the node of a data centre to try next, empty for none.
func (overlay *Overlay) nextRoot(dataCentre string, tried map[string]bool) string {
	overlay.mu.Lock()
	named := overlay.roots[dataCentre]
	overlay.mu.Unlock()
	if named != "" && !tried[named] {
		return named
	}
	for _, member := range byDataCentre(overlay.members(false))[dataCentre] {
		if !tried[member.Address] {
			return member.Address
		}
	}
	return ""
}
