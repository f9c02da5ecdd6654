package tenure_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/tenure"
	"hazelslip/internal/state/storelog"
)

var errAway = errors.New("the store is away")

// look lets some time pass, looking as often as a node does.
func look(keeper *tenure.Keeper, peers []tenure.Peer, span time.Duration) bool {
	for began := time.Now(); time.Since(began) < span; time.Sleep(100 * time.Millisecond) {
		if keeper.Look(peers, true) {
			return true
		}
	}
	return false
}

func TestFirstCandidateTakesTheStoresNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		keeper := tenure.New(7, func() (storelog.Position, error) { return storelog.Position{Offset: 3}, nil }, clock.Virtual())
		expect.Expect(look(keeper, nil, time.Second)).To(gomega.BeTrue())
		expect.Expect(keeper.Term()).To(gomega.Equal(int64(4 * tenure.Block)))
	})
}

// The store is silent. While this node waits for its answer, a peer takes over
// under a made-up term, and this node hears of it. It then took the highest term
// that it knew for its own, two nodes ordered under one number, and a server was
// joined to a group while its own served.
func TestTermHeardWhileAskingTheStoreIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		var keeper *tenure.Keeper
		keeper = tenure.New(7, func() (storelog.Position, error) {
			keeper.Heard(9000)
			return storelog.Unknown, errAway
		}, clock.Virtual())
		keeper.Heard(100)
		look(keeper, nil, 500*time.Millisecond)
		expect.Expect(keeper.Term()).NotTo(gomega.Equal(int64(9000)))
	})
}

func TestNobodyTakesOverWhileAHolderIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		keeper := tenure.New(7, func() (storelog.Position, error) { return storelog.Position{Offset: 3}, nil }, clock.Virtual())
		holder := []tenure.Peer{{Incarnation: 9, Term: 4096, Fit: true}}
		expect.Expect(look(keeper, holder, 5*time.Second)).To(gomega.BeFalse())
		expect.Expect(look(keeper, []tenure.Peer{{Incarnation: 9, Fit: false}}, 2*time.Second)).To(gomega.BeTrue())
	})
}

func TestHolderStandsDownForAHigherTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		keeper := tenure.New(7, func() (storelog.Position, error) { return storelog.Unknown, errAway }, clock.Virtual())
		expect.Expect(look(keeper, nil, time.Second)).To(gomega.BeTrue())
		keeper.Heard(keeper.Term() + 1)
		expect.Expect(keeper.Term()).To(gomega.BeZero())
	})
}

// A server refuses the term: another node orders. The node rests before it may
// take another, and then takes a higher one.
func TestRefusedTermIsGivenUpForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		keeper := tenure.New(7, func() (storelog.Position, error) { return storelog.Unknown, errAway }, clock.Virtual())
		expect.Expect(look(keeper, nil, time.Second)).To(gomega.BeTrue())
		first := keeper.Term()
		keeper.Outdated(first)
		expect.Expect(look(keeper, nil, 1500*time.Millisecond)).To(gomega.BeFalse())
		expect.Expect(look(keeper, nil, 2*time.Second)).To(gomega.BeTrue())
		expect.Expect(keeper.Term()).To(gomega.BeNumerically(">", first))
	})
}

// The store comes back from an older copy and gives places out again. A node that has
// not heard of the node that held one of them gets the same place, and the servers
// couldn't tell their orders apart.
func TestPlaceGivenOutAgainIsAnotherTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		terms := []int64{}
		for era := range int64(3) {
			keeper := tenure.New(uint64(era), func() (storelog.Position, error) { return storelog.Position{Era: era, Offset: 2 - era}, nil }, clock.Virtual())
			expect.Expect(look(keeper, nil, time.Second)).To(gomega.BeTrue())
			terms = append(terms, keeper.Term())
		}
		expect.Expect(terms[1]).To(gomega.BeNumerically(">", terms[0]+tenure.Block))
		expect.Expect(terms[2]).To(gomega.BeNumerically(">", terms[1]+tenure.Block))
	})
}
