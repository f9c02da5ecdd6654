package follower

import (
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/state/storelog"
)

// ErrEarlierEra says that the store answered in an era before one that it was already in:
// the answer is late, or the store forgot how often it has come back.
var ErrEarlierEra = errors.New("the store answered in an era that has passed")

// unknownEra is what is known before the store has answered.
const unknownEra = -1

// HeardEra notes the era of an answer of the store. The first of a new era says that the
// store came back from an older copy: what this node wrote since is gone, and is written
// again. An answer of an era that has passed must not be used, since its offsets are
// given out again.
func (follower *Follower) HeardEra(era int64) error {
	for {
		held := follower.era.Load()
		switch {
		case era < held:
			return errors.Wrapf(ErrEarlierEra, "era %d after %d", era, held)
		case era == held:
			return nil
		case follower.era.CompareAndSwap(held, era):
			if held != unknownEra {
				follower.storeCameBack(held, era)
			}
			return nil
		}
	}
}

// HeardEraFromPeer notes the era of a list that another node told, which may be behind.
func (follower *Follower) HeardEraFromPeer(end storelog.Position) {
	if !end.Known() {
		return
	}
	if err := follower.HeardEra(end.Era); err != nil {
		follower.Logger.Debug("gateway: a node is behind.", "Error", err.Error())
	}
}

func (follower *Follower) storeCameBack(before, era int64) {
	follower.returns.Add(1)
	follower.Logger.Warn("gateway: the store came back from an older copy.", "Era", era, "Before", before,
		"ListEnd", follower.Servers.Load().End, "ConfigurationVersion", follower.Configuration.Load().Configuration.Version)
	follower.CameBack()
	follower.Look()
}

// Era is the highest that the store was seen in, -1 before it has answered.
func (follower *Follower) Era() int64 {
	return follower.era.Load()
}

// Returns counts how often the store came back from an older copy.
func (follower *Follower) Returns() uint64 {
	return follower.returns.Load()
}

// sameEra is an error where a reader's position is of another era than the answer: the
// records that it read before may be gone, and those at its offset are others.
func sameEra(from, next storelog.Position) error {
	if from.Known() && from.Era != next.Era {
		return errors.Wrap(store.ErrExpired, "the store came back from an older copy")
	}
	return nil
}

// settles says whether all entries are to be read once more, since servers that the
// store's copy didn't show must have written theirs again by now.
func (follower *Follower) settles(now time.Duration) bool {
	return follower.settled.Load() < follower.era.Load() && follower.Servers.FullReadDue(now)
}

// noteSettled notes that the servers of the era before were looked for once more.
func (follower *Follower) noteSettled(era int64) {
	follower.settled.Store(era)
	follower.Logger.Info("gateway: the list of servers is that of the store again.", "Era", era,
		"Servers", len(follower.Servers.Load().Servers), "WaitedMilliseconds", roster.ReregistrationTime.Milliseconds())
}
