package follower

import (
	"log/slog"
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/state/configuration"
	"hazelslip/internal/state/storelog"
)

// idleFollower returns a follower that is never started.
func idleFollower() *Follower {
	return New(Dependencies{
		Calls: store.NewCallTracker(), Configuration: configuration.NewTable(), Servers: roster.New(), Now: clock.Boot, Logger: slog.New(slog.DiscardHandler),
		ReadPolicy: func() ReadPolicy { return ReadPolicy{Role: overlay.Leaf, FedByUpstream: true} }, StoreRestored: func() {},
	})
}

// Guards against the use of answers from a past era. An answer can arrive after the store was restored from an older
// backup, when its offsets already identify other records; or the store loses its count of restores. Both must return
// an error, and the node keeps what it knows.
func TestAnswersOfPastEraAreRejected(t *testing.T) {
	expect := gomega.NewWithT(t)
	follower := idleFollower()
	expect.Expect(follower.ObserveEra(0)).To(gomega.Succeed())
	expect.Expect(follower.ObserveEra(2)).To(gomega.Succeed())
	expect.Expect(follower.ObserveEra(1)).To(gomega.MatchError(ErrPastEra))
	expect.Expect(follower.ObserveEra(2)).To(gomega.Succeed())
	expect.Expect(follower.Era()).To(gomega.Equal(int64(2)))
	expect.Expect(follower.RestoreCount()).To(gomega.Equal(uint64(1)))
}

// Guards against a reader that continues at a position from the previous era, where the store holds other records: it
// must read everything again. A reader that knows nothing has no position to lose.
func TestPositionOfAnotherEraExpires(t *testing.T) {
	expect := gomega.NewWithT(t)
	next := storelog.Position{Era: 1, Offset: 9}
	expect.Expect(checkSameEra(storelog.Position{Offset: 7}, next)).To(gomega.MatchError(store.ErrExpired))
	expect.Expect(checkSameEra(storelog.Position{Era: 1, Offset: 7}, next)).To(gomega.Succeed())
	expect.Expect(checkSameEra(storelog.Unknown, next)).To(gomega.Succeed())
}
