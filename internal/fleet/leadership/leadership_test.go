package leadership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/leadership"
	"hazelslip/internal/state/storelog"
)

var errUnavailable = errors.New("store unavailable")

// tryFor calls TryTakeOver as often as a node does, until it succeeds or the span has passed.
func tryFor(elector *leadership.Elector, peers []leadership.Peer, span time.Duration) bool {
	for start := time.Now(); time.Since(start) < span; time.Sleep(100 * time.Millisecond) {
		if elector.TryTakeOver(peers, true) {
			return true
		}
	}
	return false
}

func TestFirstCandidateTakesNextTermOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		elector := leadership.New(7, func() (storelog.Position, error) { return storelog.Position{Offset: 3}, nil }, clock.Virtual())
		expect.Expect(tryFor(elector, nil, time.Second)).To(gomega.BeTrue())
		expect.Expect(elector.Term()).To(gomega.Equal(int64(4 * leadership.TermSpacing)))
	})
}

// Guards against two leaders with the same term. The store does not respond. While this node waits for the store, a
// peer takes over under a locally chosen term, and this node hears of it. The node used to adopt the highest term
// that it knew, so both nodes sent orders under one term, and a server was joined to a group while its own group
// served.
func TestTermObservedDuringClaimIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		var elector *leadership.Elector
		elector = leadership.New(7, func() (storelog.Position, error) {
			elector.Observe(9000)
			return storelog.Unknown, errUnavailable
		}, clock.Virtual())
		elector.Observe(100)
		tryFor(elector, nil, 500*time.Millisecond)
		expect.Expect(elector.Term()).NotTo(gomega.Equal(int64(9000)))
	})
}

func TestNoTakeoverWhileLeaderIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		elector := leadership.New(7, func() (storelog.Position, error) { return storelog.Position{Offset: 3}, nil }, clock.Virtual())
		leaders := []leadership.Peer{{Incarnation: 9, Term: 4096, Eligible: true}}
		expect.Expect(tryFor(elector, leaders, 5*time.Second)).To(gomega.BeFalse())
		expect.Expect(tryFor(elector, []leadership.Peer{{Incarnation: 9, Eligible: false}}, 2*time.Second)).To(gomega.BeTrue())
	})
}

func TestLeaderStepsDownForHigherTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		elector := leadership.New(7, func() (storelog.Position, error) { return storelog.Unknown, errUnavailable }, clock.Virtual())
		expect.Expect(tryFor(elector, nil, time.Second)).To(gomega.BeTrue())
		elector.Observe(elector.Term() + 1)
		expect.Expect(elector.Term()).To(gomega.BeZero())
	})
}

// When a server refuses the term, another node is the leader. The node waits before it takes another term, which is
// then higher.
func TestRefusedTermStartsCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		elector := leadership.New(7, func() (storelog.Position, error) { return storelog.Unknown, errUnavailable }, clock.Virtual())
		expect.Expect(tryFor(elector, nil, time.Second)).To(gomega.BeTrue())
		first := elector.Term()
		elector.HandleRefusal(first)
		expect.Expect(tryFor(elector, nil, 1500*time.Millisecond)).To(gomega.BeFalse())
		expect.Expect(tryFor(elector, nil, 2*time.Second)).To(gomega.BeTrue())
		expect.Expect(elector.Term()).To(gomega.BeNumerically(">", first))
	})
}

// Guards against two leaders that servers cannot tell apart. The store is restored from an older backup and assigns
// positions again. A node that has not heard of the earlier leader gets the same position.
func TestReassignedPositionYieldsNewTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		terms := []int64{}
		for era := range int64(3) {
			elector := leadership.New(uint64(era), func() (storelog.Position, error) { return storelog.Position{Era: era, Offset: 2 - era}, nil }, clock.Virtual())
			expect.Expect(tryFor(elector, nil, time.Second)).To(gomega.BeTrue())
			terms = append(terms, elector.Term())
		}
		expect.Expect(terms[1]).To(gomega.BeNumerically(">", terms[0]+leadership.TermSpacing))
		expect.Expect(terms[2]).To(gomega.BeNumerically(">", terms[1]+leadership.TermSpacing))
	})
}

// Guards against a node that was stopped for a while and takes over from a leader that it could not hear: it counts the
// time in which it did not run as time without a leader.
func TestPauseIsNoTimeWithoutLeader(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	elector := leadership.New(7, func() (storelog.Position, error) { return storelog.Position{Offset: 3}, nil }, func() time.Duration { return now })
	tick := func(pause time.Duration) bool {
		if now += 100*time.Millisecond + pause; pause > 0 {
			elector.RecordPause(pause)
		}
		return elector.TryTakeOver(nil, true)
	}
	expect.Expect(tick(0)).To(gomega.BeFalse())
	expect.Expect(tick(2 * time.Second)).To(gomega.BeFalse())
	expect.Expect(tick(2 * time.Second)).To(gomega.BeFalse())
	expect.Expect(tick(0)).To(gomega.BeTrue(), "the time before and between the pauses counts")
}
