package follower

import (
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/state/storelog"
)

// ErrPastEra reports that the store answered with an era older than one already seen: the answer is late, or the
// store has lost its count of restores.
var ErrPastEra = errors.New("the store answered with a past era")

// unknownEra is the era before the store's first answer.
const unknownEra = -1

// ObserveEra records the era of an answer from the store. The era counts the store's restores from older backups. A
// new era means that the store was restored: what this node wrote since the backup is lost and is written again. An
// answer from a past era returns ErrPastEra and must not be used, because the store assigns its offsets again.
func (follower *Follower) ObserveEra(era int64) error {
	for {
		current := follower.era.Load()
		switch {
		case era < current:
			return errors.Wrapf(ErrPastEra, "era %d after %d", era, current)
		case era == current:
			return nil
		case follower.era.CompareAndSwap(current, era):
			if current != unknownEra {
				follower.handleStoreRestored(current, era)
			}
			return nil
		}
	}
}

// ObservePeerEra records the era of a server list that another node sent. That node may be behind.
func (follower *Follower) ObservePeerEra(end storelog.Position) {
	if !end.Known() {
		return
	}
	if err := follower.ObserveEra(end.Era); err != nil {
		follower.Logger.Debug("gateway: another node reported a past era of the store.", "Error", err.Error())
	}
}

func (follower *Follower) handleStoreRestored(previous, era int64) {
	follower.restores.Add(1)
	follower.Logger.Warn("gateway: the store was restored from an older backup.", "Era", era, "Before", previous,
		"ListEnd", follower.Servers.Load().End, "ConfigurationVersion", follower.Configuration.Load().Configuration.Version)
	follower.StoreRestored()
	follower.Recheck()
}

// Era returns the highest era seen from the store, or -1 before its first answer.
func (follower *Follower) Era() int64 {
	return follower.era.Load()
}

// RestoreCount returns how many restores of the store from an older backup were seen.
func (follower *Follower) RestoreCount() uint64 {
	return follower.restores.Load()
}

// checkSameEra returns an error if a reader's position is from another era than the answer: the records read before
// may be lost, and the records at its offset may be others.
func checkSameEra(from, answer storelog.Position) error {
	if from.Known() && from.Era != answer.Era {
		return errors.Wrap(store.ErrExpired, "the store was restored from an older backup")
	}
	return nil
}

// shouldReadAllAgain reports whether all registry entries should be read once more: by now, servers missing from the
// store's backup must have written their entries again.
func (follower *Follower) shouldReadAllAgain(now time.Duration) bool {
	return follower.settledEra.Load() < follower.era.Load() && follower.Servers.FullReadDue(now)
}

// markSettled records that the servers of the previous era were looked up once more.
func (follower *Follower) markSettled(era int64) {
	follower.settledEra.Store(era)
	follower.Logger.Info("gateway: the server list matches the store again.", "Era", era,
		"Servers", len(follower.Servers.Load().Servers), "WaitedMilliseconds", roster.ReregistrationTime.Milliseconds())
}
