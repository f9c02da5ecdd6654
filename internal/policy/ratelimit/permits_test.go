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

// asIssuer is the permit source of an issuer that reaches all nodes.
func asIssuer(ratelimit.Run) ratelimit.PermitSource {
	return ratelimit.PermitSource{Issuer: true, Share: 1}
}

// asBorrower is the permit source of a node that borrows from neighbour 1.
func asBorrower(ratelimit.Run) ratelimit.PermitSource { return ratelimit.PermitSource{Lender: 1} }

// newNode returns limits that know one limit with the given rate, and the gate of its server.
func newNode(clock *fakeClock, incarnation uint64, rate float64) (*ratelimit.Limits, *ratelimit.Gate) {
	limits := ratelimit.New(ratelimit.Clock(clock.now), ratelimit.Incarnation(incarnation))
	gate := limits.Gate(run)
	limits.Merge(ratelimit.Limit{Run: run, Rate: rate, Version: 1, At: clock.current})
	return limits, gate
}

// admitted returns the number of requests that a gate admits at once.
func admitted(gate *ratelimit.Gate) int {
	count := 0
	for gate.TryAcquire(0) {
		count++
	}
	return count
}

func TestGateWithoutLimitAdmitsAll(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	gate := limits.Gate(run)
	expect.Expect(gate.Limited()).To(gomega.BeFalse())
	expect.Expect(gate.TryAcquire(0)).To(gomega.BeTrue())
	limits.Refresh(asIssuer)
	expect.Expect(gate.TryAcquire(0)).To(gomega.BeTrue())
}

// Guards against two nodes that keep different limits after their changes cross on the way.
func TestConcurrentChangesConverge(t *testing.T) {
	limit := func(version uint64, rate float64, ended bool) ratelimit.Limit {
		return ratelimit.Limit{Run: run, Rate: rate, Version: version, Ended: ended, At: time.Second}
	}
	for _, pair := range [][2]ratelimit.Limit{
		{limit(1, 2, false), limit(2, 2, true)},
		{limit(2, 2, false), limit(2, 2, true)},
		{limit(2, 2, false), limit(2, 3, false)},
		{limit(3, 5, false), limit(2, 1, false)},
	} {
		_, first := newLimits()
		_, second := newLimits()
		first.Merge(pair[0])
		first.Merge(pair[1])
		second.Merge(pair[1])
		second.Merge(pair[0])
		found, _ := first.Lookup(run)
		expected, _ := second.Lookup(run)
		gomega.NewWithT(t).Expect(found).To(gomega.Equal(expected))
	}
}

// Guards against a node that receives an outdated limit and does not announce the newer one it
// knows.
func TestMergeReportsStaleLimit(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	expect.Expect(limits.Merge(ratelimit.Limit{Run: run, Rate: 1, Version: 2})).To(gomega.Equal(ratelimit.Applied))
	expect.Expect(limits.Merge(ratelimit.Limit{Run: run, Rate: 1, Version: 2})).To(gomega.Equal(ratelimit.AlreadyKnown))
	expect.Expect(limits.Merge(ratelimit.Limit{Run: run, Rate: 3, Version: 1})).To(gomega.Equal(ratelimit.Stale))
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		expect.Expect(limits.Merge(ratelimit.Limit{Run: run, Rate: rate, Version: 9})).To(gomega.Equal(ratelimit.AlreadyKnown))
	}
}

// Guards against a server with a limit of zero or almost zero that never gets a request again, so
// that no response could end the limit.
func TestZeroLimitStillAdmitsOccasionalRequests(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &fakeClock{current: time.Minute}
	limits, gate := newNode(clock, 1, 0)
	sent := 0
	for range 400 {
		clock.current += 50 * time.Millisecond
		gate.RecordDemand()
		limits.Refresh(asIssuer)
		sent += admitted(gate)
	}
	expect.Expect(sent).To(gomega.BeNumerically("~", 4, 1), "one request per five seconds, for twenty seconds")
}

// Guards against an issuer that issues the full limit right after many requests were sent before
// the limit was learned.
func TestRequestsSentBeforeLimitWasLearnedCount(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock, limits := newLimits()
	gate := limits.Gate(run)
	for range 60 {
		expect.Expect(gate.TryAcquire(0)).To(gomega.BeTrue())
	}
	limits.HandleResponse(run, ratelimit.Response{HasLimit: true, Rate: 10})
	announcedAt, sent := clock.current, 0
	for clock.current < announcedAt+3900*time.Millisecond {
		clock.current += 20 * time.Millisecond
		gate.RecordDemand()
		limits.Refresh(asIssuer)
		sent += admitted(gate)
	}
	expect.Expect(60+sent).To(gomega.BeNumerically("<=", 65), "1.5 x 10 x 4 + 5")
}

// Guards against forgetting the requests that a neighbour sent before the limit was known when that
// neighbour is lost.
func TestRequestsSentByLostNeighbourCount(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &fakeClock{current: time.Minute}
	limits, _ := newNode(clock, 1, 2)
	limits.ApplyClaims(2, []ratelimit.Claim{{Run: run, SentFree: 40}}, asIssuer)
	limits.RemoveNeighbour(2)
	lent := func() uint64 {
		limits.ApplyClaims(3, []ratelimit.Claim{{Run: run, Wanted: 5, Waiting: 5}}, asIssuer)
		return limits.Loans(3)[0].Lent
	}
	clock.current += 3500 * time.Millisecond
	expect.Expect(lent()).To(gomega.BeZero())
	clock.current += time.Second
	expect.Expect(lent()).To(gomega.BeNumerically(">", 0))
}

// Guards against reissuing permits while a lost neighbour may still use them.
func TestPermitsOfLostNeighbourExpireBeforeReissue(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &fakeClock{current: time.Minute}
	limits, _ := newNode(clock, 1, 1)
	lent := func(neighbour ratelimit.Neighbour) uint64 {
		limits.ApplyClaims(neighbour, []ratelimit.Claim{{Run: run, Wanted: 50}}, asIssuer)
		return limits.Loans(neighbour)[0].Lent
	}
	for range 200 {
		clock.current += 50 * time.Millisecond
		lent(2)
	}
	outstanding := lent(2)
	expect.Expect(outstanding).To(gomega.BeNumerically(">=", 2))
	limits.RemoveNeighbour(2)
	clock.current += time.Second
	expect.Expect(lent(3)).To(gomega.BeZero())
	clock.current += time.Second
	expect.Expect(lent(3)).To(gomega.BeNumerically(">", 0))
}

// Guards against using permits of a former lender in addition to those of the current one.
func TestPermitsOfFormerLenderAreRevoked(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &fakeClock{current: time.Minute}
	limits, gate := newNode(clock, 1, 5)
	gate.RecordDemand()
	limits.Refresh(asBorrower)
	lend := func(neighbour ratelimit.Neighbour, session, lent uint64) {
		own := limits.Claims(1)[0].Borrower
		limits.ApplyLoans(neighbour, []ratelimit.Loan{{Run: run, Session: session, Borrower: own, Lent: lent}}, asBorrower)
	}
	lend(1, 7, 1)
	expect.Expect(gate.Open()).To(gomega.BeTrue())
	lend(1, 8, 0)
	expect.Expect(gate.Open()).To(gomega.BeFalse(), "the lender started a new session")
	lend(1, 8, 1)
	expect.Expect(gate.Open()).To(gomega.BeTrue())
	limits.Refresh(func(ratelimit.Run) ratelimit.PermitSource { return ratelimit.PermitSource{} })
	expect.Expect(gate.Open()).To(gomega.BeFalse(), "no lender assigned")
	limits.Refresh(asBorrower)
	lend(1, 8, 2)
	lend(3, 8, 9)
	expect.Expect(admitted(gate)).To(gomega.BeNumerically("<=", 2), "loans from a neighbour that is not the lender are ignored")
}

// Guards against a node that leaves its lender, returns over the same link and counts all permits
// of its earlier session there as new.
func TestReturningBorrowerGetsNewPermits(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &fakeClock{current: time.Minute}
	lender, _ := newNode(clock, 1, 20)
	borrower, gate := newNode(clock, 2, 20)
	exchange := func(times int) (total int) {
		for range times {
			clock.current += 50 * time.Millisecond
			gate.RecordDemand()
			borrower.Refresh(asBorrower)
			lender.ApplyClaims(1, borrower.Claims(1), asIssuer)
			borrower.ApplyLoans(1, lender.Loans(1), asBorrower)
			total += admitted(gate)
		}
		return total
	}
	expect.Expect(exchange(200)).To(gomega.BeNumerically(">", 50))
	borrower.Refresh(func(ratelimit.Run) ratelimit.PermitSource { return ratelimit.PermitSource{Lender: 9} })
	expect.Expect(exchange(2)).To(gomega.BeNumerically("<", 20))
	clock.current += 2 * time.Second
	expect.Expect(exchange(100)).To(gomega.BeNumerically(">", 20), "the borrower gets permits again")
}

// Guards against claims that report more permits as used or returned than were lent: those permits
// would be issued again.
func TestClaimsAboveLoanAreIgnored(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		clock := &fakeClock{current: time.Minute}
		limits, _ := newNode(clock, 1, 2)
		issued := uint64(0)
		counts := rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 4), rapid.Uint64Range(math.MaxUint64-4, math.MaxUint64))
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.current += 20 * time.Millisecond
			loan := ratelimit.Loan{}
			if loans := limits.Loans(2); len(loans) > 0 {
				loan = loans[0]
			}
			limits.ApplyClaims(2, []ratelimit.Claim{{
				Run: run, Session: loan.Session, Wanted: 9, Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"),
				Used: counts.Draw(t, "used"), Returned: counts.Draw(t, "returned"),
			}}, asIssuer)
			issued = max(issued, limits.Loans(2)[0].Lent)
		}
		if span := (clock.current - time.Minute).Seconds(); float64(issued) > 2*span+8 {
			t.Fatalf("%d permits lent in %.1f s at a limit of 2 per second", issued, span)
		}
	})
}

// Guards against refused callers that all retry at the same moment.
func TestRetriesOfRefusedCallersAreSpaced(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &fakeClock{current: time.Minute}
	scheduler := ratelimit.NewRetryScheduler(clock.now)
	for position := 1; position <= 5; position++ {
		expect.Expect(scheduler.Delay("pings", 5)).To(gomega.Equal(time.Duration(position) * 200 * time.Millisecond))
	}
	expect.Expect(scheduler.Delay("drafts", 5)).To(gomega.Equal(200 * time.Millisecond))
	for range 10 {
		expect.Expect(scheduler.Delay("pings", 5)).To(gomega.BeNumerically("<=", 1300*time.Millisecond))
	}
	expect.Expect(scheduler.Delay("none", 0)).To(gomega.BeNumerically("<=", 1300*time.Millisecond))
	clock.current += 2 * time.Second
	expect.Expect(scheduler.Delay("pings", 5)).To(gomega.Equal(200 * time.Millisecond))
}

// Guards against an issuer that reaches only a share of the fleet and leaves its share of the limit
// unused, or uses the share of others.
func TestIssuerUsesItsShareOfLimit(t *testing.T) {
	for _, rate := range []float64{0.2, 1.1, 5, 50} {
		for _, share := range []float64{0.5, 0.86} {
			expect := gomega.NewWithT(t)
			clock := &fakeClock{current: time.Minute}
			limits, gate := newNode(clock, 1, rate)
			sent, burst := 0, 0
			for range 6000 {
				clock.current += 10 * time.Millisecond
				gate.RecordDemand()
				limits.Refresh(func(ratelimit.Run) ratelimit.PermitSource { return ratelimit.PermitSource{Issuer: true, Share: share} })
				now := admitted(gate)
				sent, burst = sent+now, max(burst, now)
			}
			expect.Expect(float64(sent)).To(gomega.BeNumerically("~", 60*rate*share, 3+rate*share), "limit %v per second, share %v", rate, share)
			expect.Expect(float64(burst)).To(gomega.BeNumerically("<=", (2*rate+5)*share))
		}
	}
}

// Guards against requests that overtake more urgent ones at a server with a low limit.
func TestMoreUrgentRequestsGetPermitsFirst(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock := &fakeClock{current: time.Minute}
	limits, gate := newNode(clock, 1, 5)
	done := gate.AddWaiter(3)
	gate.RecordDemand()
	for !gate.Open() {
		clock.current += 20 * time.Millisecond
		limits.Refresh(asIssuer)
	}
	expect.Expect(gate.TryAcquire(4)).To(gomega.BeFalse(), "a more urgent request waits")
	expect.Expect(gate.TryAcquire(3)).To(gomega.BeTrue())
	done()
	limits.Refresh(asIssuer)
	for !gate.Open() {
		clock.current += 20 * time.Millisecond
		gate.RecordDemand()
		limits.Refresh(asIssuer)
	}
	expect.Expect(gate.TryAcquire(4)).To(gomega.BeTrue())
}
