package ratelimit_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/testlib/suite"
)

// whole is the duty of a home that hears all nodes.
func whole(ratelimit.Run) ratelimit.Duty { return ratelimit.Duty{Home: true, Part: 1} }

// borrows is the duty of a node that borrows from neighbour 1.
func borrows(ratelimit.Run) ratelimit.Duty { return ratelimit.Duty{Lender: 1} }

// newNode is limits of which one of a rate is known, and their gate.
func newNode(clock *clockAt, incarnation uint64, rate float64) (*ratelimit.Limits, *ratelimit.Gate) {
	limits := ratelimit.New(ratelimit.Clock(clock.now), ratelimit.Incarnation(incarnation))
	gate := limits.Gate(run)
	limits.Take(ratelimit.Limit{Run: run, Rate: rate, Version: 1, At: clock.at})
	return limits, gate
}

// through is how many requests a gate lets through at once.
func through(gate *ratelimit.Gate) int {
	count := 0
	for gate.Take(0) {
		count++
	}
	return count
}

func TestServerWithoutALimitTakesEverything(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	gate := limits.Gate(run)
	expect.Expect(gate.Limited()).To(gomega.BeFalse())
	expect.Expect(gate.Take(0)).To(gomega.BeTrue())
	limits.Refresh(whole)
	expect.Expect(gate.Take(0)).To(gomega.BeTrue())
}

// Guards against nodes that are left with one limit each where changes of two cross.
func TestChangesOfTwoNodesLeaveBothWithTheSame(t *testing.T) {
	limit := func(version uint64, rate float64, ended bool) ratelimit.Limit {
		return ratelimit.Limit{Run: run, Rate: rate, Version: version, Ended: ended, At: time.Second}
	}
	for _, pair := range [][2]ratelimit.Limit{
		{limit(1, 2, false), limit(2, 2, true)},
		{limit(2, 2, false), limit(2, 2, true)},
		{limit(2, 2, false), limit(2, 3, false)},
		{limit(3, 5, false), limit(2, 1, false)},
	} {
		_, one := newLimits()
		_, other := newLimits()
		one.Take(pair[0])
		one.Take(pair[1])
		other.Take(pair[1])
		other.Take(pair[0])
		found, _ := one.Known(run)
		expected, _ := other.Known(run)
		gomega.NewWithT(t).Expect(found).To(gomega.Equal(expected))
	}
}

// Guards against a node that hears an old limit and keeps what it knows to itself.
func TestOldWordOfALimitIsAnswered(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	expect.Expect(limits.Take(ratelimit.Limit{Run: run, Rate: 1, Version: 2})).To(gomega.Equal(ratelimit.News))
	expect.Expect(limits.Take(ratelimit.Limit{Run: run, Rate: 1, Version: 2})).To(gomega.Equal(ratelimit.Same))
	expect.Expect(limits.Take(ratelimit.Limit{Run: run, Rate: 3, Version: 1})).To(gomega.Equal(ratelimit.Old))
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		expect.Expect(limits.Take(ratelimit.Limit{Run: run, Rate: rate, Version: 9})).To(gomega.Equal(ratelimit.Same))
	}
}

// Guards against a server that names nothing or next to nothing, and is never asked again
// whether that still holds.
func TestServerThatTakesNothingIsTriedNowAndThen(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &clockAt{at: time.Minute}
	limits, gate := newNode(clock, 1, 0)
	sent := 0
	for range 400 {
		clock.at += 50 * time.Millisecond
		gate.Ask()
		limits.Refresh(whole)
		sent += through(gate)
	}
	expect.Expect(sent).To(gomega.BeNumerically("~", 4, 1), "one in five seconds, of twenty")
}

// Guards against a home that issues a limit anew right after the requests that were sent
// before it was known.
func TestRequestsThatWereSentBeforeALimitWasKnownCount(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock, limits := newLimits()
	gate := limits.Gate(run)
	for range 60 {
		expect.Expect(gate.Take(0)).To(gomega.BeTrue())
	}
	limits.Answered(run, ratelimit.Answer{Named: true, Rate: 10})
	named, sent := clock.at, 0
	for clock.at < named+3900*time.Millisecond {
		clock.at += 20 * time.Millisecond
		gate.Ask()
		limits.Refresh(whole)
		sent += through(gate)
	}
	expect.Expect(60+sent).To(gomega.BeNumerically("<=", 65), "1.5 x 10 x 4 + 5")
}

// Guards against what a neighbour sent before the limit was known being forgotten with it.
func TestRequestsOfALostNeighbourCount(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &clockAt{at: time.Minute}
	limits, _ := newNode(clock, 1, 2)
	limits.TakeClaims(2, []ratelimit.Claim{{Run: run, SentFree: 40}}, whole)
	limits.Lose(2)
	lent := func() uint64 {
		limits.TakeClaims(3, []ratelimit.Claim{{Run: run, Wanted: 5, Waiting: 5}}, whole)
		return limits.Loans(3)[0].Lent
	}
	clock.at += 3500 * time.Millisecond
	expect.Expect(lent()).To(gomega.BeZero())
	clock.at += time.Second
	expect.Expect(lent()).To(gomega.BeNumerically(">", 0))
}

// Guards against permits that are lent again while a neighbour that was lost may still use
// them.
func TestPermitsOfALostNeighbourRunOutBeforeOthersAreLent(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &clockAt{at: time.Minute}
	limits, _ := newNode(clock, 1, 1)
	lent := func(neighbour ratelimit.Neighbour) uint64 {
		limits.TakeClaims(neighbour, []ratelimit.Claim{{Run: run, Wanted: 50}}, whole)
		return limits.Loans(neighbour)[0].Lent
	}
	for range 200 {
		clock.at += 50 * time.Millisecond
		lent(2)
	}
	outstanding := lent(2)
	expect.Expect(outstanding).To(gomega.BeNumerically(">=", 2))
	limits.Lose(2)
	clock.at += time.Second
	expect.Expect(lent(3)).To(gomega.BeZero())
	clock.at += time.Second
	expect.Expect(lent(3)).To(gomega.BeNumerically(">", 0))
}

// Guards against permits of an earlier lender that are used beside those of the next.
func TestPermitsOfAnEarlierLenderAreGivenUp(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &clockAt{at: time.Minute}
	limits, gate := newNode(clock, 1, 5)
	gate.Ask()
	limits.Refresh(borrows)
	lend := func(neighbour ratelimit.Neighbour, session, lent uint64) {
		own := limits.Claims(1)[0].Borrower
		limits.TakeLoans(neighbour, []ratelimit.Loan{{Run: run, Session: session, Borrower: own, Lent: lent}}, borrows)
	}
	lend(1, 7, 1)
	expect.Expect(gate.Open()).To(gomega.BeTrue())
	lend(1, 8, 0)
	expect.Expect(gate.Open()).To(gomega.BeFalse(), "a new session")
	lend(1, 8, 1)
	expect.Expect(gate.Open()).To(gomega.BeTrue())
	limits.Refresh(func(ratelimit.Run) ratelimit.Duty { return ratelimit.Duty{} })
	expect.Expect(gate.Open()).To(gomega.BeFalse(), "no lender")
	limits.Refresh(borrows)
	lend(1, 8, 2)
	lend(3, 8, 9)
	expect.Expect(through(gate)).To(gomega.BeNumerically("<=", 2), "of a neighbour that is no lender")
}

// Guards against a node that leaves its lender and comes back over the same link, and takes all
// that it ever borrowed there for new.
func TestPermitsAreBorrowedAnewByANodeThatComesBack(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &clockAt{at: time.Minute}
	lender, _ := newNode(clock, 1, 20)
	borrower, gate := newNode(clock, 2, 20)
	exchange := func(times int) (taken int) {
		for range times {
			clock.at += 50 * time.Millisecond
			gate.Ask()
			borrower.Refresh(borrows)
			lender.TakeClaims(1, borrower.Claims(1), whole)
			borrower.TakeLoans(1, lender.Loans(1), borrows)
			taken += through(gate)
		}
		return taken
	}
	expect.Expect(exchange(200)).To(gomega.BeNumerically(">", 50))
	borrower.Refresh(func(ratelimit.Run) ratelimit.Duty { return ratelimit.Duty{Lender: 9} })
	expect.Expect(exchange(2)).To(gomega.BeNumerically("<", 20))
	clock.at += 2 * time.Second
	expect.Expect(exchange(100)).To(gomega.BeNumerically(">", 20), "it gets permits again")
}

// Guards against claims of more than was lent, which would be issued anew.
func TestClaimsOfMoreThanWasLentChangeNothing(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		clock := &clockAt{at: time.Minute}
		limits, _ := newNode(clock, 1, 2)
		issued := uint64(0)
		counts := rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 4), rapid.Uint64Range(math.MaxUint64-4, math.MaxUint64))
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.at += 20 * time.Millisecond
			loan := ratelimit.Loan{}
			if loans := limits.Loans(2); len(loans) > 0 {
				loan = loans[0]
			}
			limits.TakeClaims(2, []ratelimit.Claim{{
				Run: run, Session: loan.Session, Wanted: 9, Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"),
				Used: counts.Draw(t, "used"), Returned: counts.Draw(t, "returned"),
			}}, whole)
			issued = max(issued, limits.Loans(2)[0].Lent)
		}
		if span := (clock.at - time.Minute).Seconds(); float64(issued) > 2*span+8 {
			t.Fatalf("%d were lent in %.1f s at 2 a second", issued, span)
		}
	})
}

// Guards against refused callers that all come back at the same moment.
func TestRefusedCallersComeBackOneAfterTheOther(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &clockAt{at: time.Minute}
	returns := ratelimit.NewReturns(clock.now)
	for place := 1; place <= 5; place++ {
		expect.Expect(returns.After("pings", 5)).To(gomega.Equal(time.Duration(place) * 200 * time.Millisecond))
	}
	expect.Expect(returns.After("drafts", 5)).To(gomega.Equal(200 * time.Millisecond))
	for range 10 {
		expect.Expect(returns.After("pings", 5)).To(gomega.BeNumerically("<=", 1300*time.Millisecond))
	}
	expect.Expect(returns.After("none", 0)).To(gomega.BeNumerically("<=", 1300*time.Millisecond))
	clock.at += 2 * time.Second
	expect.Expect(returns.After("pings", 5)).To(gomega.Equal(200 * time.Millisecond))
}

// Guards against a part of a fleet that leaves a server unused, or uses what is the others'.
func TestPartOfAFleetUsesItsPartOfALimit(t *testing.T) {
	for _, rate := range []float64{0.2, 1.1, 5, 50} {
		for _, part := range []float64{0.5, 0.86} {
			expect := gomega.NewWithT(t)
			clock := &clockAt{at: time.Minute}
			limits, gate := newNode(clock, 1, rate)
			sent, burst := 0, 0
			for range 6000 {
				clock.at += 10 * time.Millisecond
				gate.Ask()
				limits.Refresh(func(ratelimit.Run) ratelimit.Duty { return ratelimit.Duty{Home: true, Part: part} })
				now := through(gate)
				sent, burst = sent+now, max(burst, now)
			}
			expect.Expect(float64(sent)).To(gomega.BeNumerically("~", 60*rate*part, 3+rate*part), "%v a second, a part of %v", rate, part)
			expect.Expect(float64(burst)).To(gomega.BeNumerically("<=", (2*rate+5)*part))
		}
	}
}

// Guards against requests that overtake more urgent ones at a server that takes few.
func TestMoreUrgentRequestsGetPermitsFirst(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &clockAt{at: time.Minute}
	limits, gate := newNode(clock, 1, 5)
	done := gate.Await(3)
	gate.Ask()
	for !gate.Open() {
		clock.at += 20 * time.Millisecond
		limits.Refresh(whole)
	}
	expect.Expect(gate.Take(4)).To(gomega.BeFalse(), "a more urgent one waits")
	expect.Expect(gate.Take(3)).To(gomega.BeTrue())
	done()
	limits.Refresh(whole)
	for !gate.Open() {
		clock.at += 20 * time.Millisecond
		gate.Ask()
		limits.Refresh(whole)
	}
	expect.Expect(gate.Take(4)).To(gomega.BeTrue())
}
