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

// idleFollower is a follower that is never started.
func idleFollower() *Follower {
	return New(Parts{
		Calls: store.NewCallTracker(), Configuration: configuration.NewTable(), Servers: roster.New(), Now: clock.Boot, Logger: slog.New(slog.DiscardHandler),
		Standing: func() Standing { return Standing{Role: overlay.Leaf, Fed: true} }, CameBack: func() {},
	})
}

// An answer of the store comes late, when the store has come back from an older copy
// since: the offsets in it name other records by now. Or the store forgets how often it
// came back. Both are told as errors, and the node goes on with what it knows.
func TestAnswersOfAnEarlierEraAreNotUsed(t *testing.T) {
	expect := gomega.NewWithT(t)
	follower := idleFollower()
	expect.Expect(follower.HeardEra(0)).To(gomega.Succeed())
	expect.Expect(follower.HeardEra(2)).To(gomega.Succeed())
	expect.Expect(follower.HeardEra(1)).To(gomega.MatchError(ErrEarlierEra))
	expect.Expect(follower.HeardEra(2)).To(gomega.Succeed())
	expect.Expect(follower.Era()).To(gomega.Equal(int64(2)))
	expect.Expect(follower.Returns()).To(gomega.Equal(uint64(1)))
}

// A reader's place is of the era before, and the store answers with other records: all
// must be read again. A reader that knows nothing has no place to lose.
func TestPlaceOfAnotherEraExpires(t *testing.T) {
	expect := gomega.NewWithT(t)
	next := storelog.Position{Era: 1, Offset: 9}
	expect.Expect(sameEra(storelog.Position{Offset: 7}, next)).To(gomega.MatchError(store.ErrExpired))
	expect.Expect(sameEra(storelog.Position{Era: 1, Offset: 7}, next)).To(gomega.Succeed())
	expect.Expect(sameEra(storelog.Nowhere, next)).To(gomega.Succeed())
}
