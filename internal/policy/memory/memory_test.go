package memory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/memory"
	"hazelslip/internal/testlib/suite"
)

// Guards against a workspace that gets more than half of the budget while another one is refused, and against an
// exclusive workspace being refused bytes that nobody else can use.
func TestWorkspaceGetsHalfUnlessExclusive(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(1000)
	one, other := budget.NewReservation("one", false), budget.NewReservation("other", false)
	expect.Expect(one.Grow(500)).To(gomega.BeTrue())
	expect.Expect(one.Grow(1)).To(gomega.BeFalse())
	expect.Expect(other.Grow(251)).To(gomega.BeFalse(), "the workspace would hold more than is left free")
	expect.Expect(other.Grow(250)).To(gomega.BeTrue())
	one.Release()
	other.Release()
	exclusive := budget.NewReservation("one", true)
	expect.Expect(exclusive.Grow(1000)).To(gomega.BeTrue())
	expect.Expect(exclusive.Grow(1)).To(gomega.BeFalse())
}

// Guards against small requests being refused because some workspaces reserve as much as they can.
func TestLargeWorkspacesLeaveRoomForSmallRequests(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(46 << 20)
	for granted := true; granted; {
		granted = false
		for index := range 6 {
			reservation := budget.NewReservation(fmt.Sprintf("large-%d", index), false)
			granted = reservation.Grow(256<<10) || granted
		}
	}
	for index := range 40 {
		small := budget.NewReservation(fmt.Sprintf("small-%d", index), false)
		expect.Expect(small.Grow(8 << 10)).To(gomega.BeTrue())
	}
}

// Guards against refusals when no memory limit is known.
func TestUnlimitedBudgetRefusesNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(memory.BudgetFor(0))
	reservation := budget.NewReservation("one", false)
	expect.Expect(reservation.Grow(1 << 40)).To(gomega.BeTrue())
	expect.Expect(budget.Limited()).To(gomega.BeFalse())
	reservation.Release()
	expect.Expect(budget.State().Held).To(gomega.BeZero())
}

// Guards against bytes of streams that have begun counting as free for others.
func TestForcedBytesCountAgainstOthers(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(1000)
	stream, other := budget.NewReservation("one", false), budget.NewReservation("other", false)
	stream.ForceGrow(1500)
	expect.Expect(other.Grow(1)).To(gomega.BeFalse())
	stream.Shrink(600)
	expect.Expect(other.Grow(50)).To(gomega.BeTrue())
	expect.Expect(stream.Bytes()).To(gomega.Equal(int64(900)))
}

// Guards against a budget that leaks or is exceeded under random orders of grants and releases, and against a
// workspace that holds more than half when another one is refused.
func TestRandomHoldsKeepTheBudget(t *testing.T) {
	for round := range suite.Rounds(40) {
		seed := suite.Seed() + uint64(round)
		random := rand.New(rand.NewPCG(seed, 19))
		expect := gomega.NewWithT(t)
		const bytes = 1 << 20
		budget := memory.New(bytes)
		reservations := make([]memory.Reservation, 60)
		for index := range reservations {
			reservations[index] = budget.NewReservation(fmt.Sprintf("w-%d", random.IntN(7)), false)
		}
		for range 4000 {
			reservation := &reservations[random.IntN(len(reservations))]
			switch random.IntN(5) {
			case 0, 1, 2:
				if reservation.Grow(random.Int64N(bytes / 8)) {
					continue
				}
				reservation.RecordRefusal()
				for _, state := range budget.State().Workspaces {
					expect.Expect(state.Held).To(gomega.BeNumerically("<=", bytes/2), "HAZELSLIP_SEED %d", seed)
				}
			case 3:
				reservation.Shrink(random.Int64N(bytes / 8))
			case 4:
				reservation.Release()
			}
			reserved, peak, _ := budget.Totals()
			expect.Expect(reserved).To(gomega.BeNumerically(">=", 0))
			expect.Expect(peak).To(gomega.BeNumerically("<=", bytes))
		}
		for index := range reservations {
			reservations[index].Release()
			reservations[index].Release()
		}
		reserved, _, refused := budget.Totals()
		expect.Expect(reserved).To(gomega.BeZero(), "HAZELSLIP_SEED %d", seed)
		expect.Expect(refused).NotTo(gomega.BeZero())
		for _, state := range budget.State().Workspaces {
			expect.Expect(state.Held).To(gomega.BeZero())
		}
	}
}

// Guards against a state dump that grows with the number of workspaces, and against one log line per refusal.
func TestStateAndLogAreBounded(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(1000)
	for index := range 2000 {
		reservation := budget.NewReservation(fmt.Sprintf("w-%d", index), false)
		reservation.RecordRefusal()
	}
	state := budget.State()
	expect.Expect(len(state.Workspaces)).To(gomega.BeNumerically("<=", 16))
	expect.Expect(state.Others).To(gomega.BeNumerically("<=", 256))
	expect.Expect(state.Refused).To(gomega.Equal(uint64(2000)))
	lines := 0
	for second := range 60 {
		reservation := budget.NewReservation("w", false)
		reservation.RecordRefusal()
		if summary, due := budget.RefusalsToLog(time.Duration(second) * time.Second); due {
			lines++
			expect.Expect(summary.Refused).To(gomega.BeNumerically(">=", 1))
		}
	}
	expect.Expect(lines).To(gomega.Equal(6))
}

// A reservation with its release must take at most 300 ns and allocate nothing.
func BenchmarkReserveAndRelease(b *testing.B) {
	budget := memory.New(46 << 20)
	for index := range 40 {
		reservation := budget.NewReservation(fmt.Sprintf("w-%d", index), false)
		reservation.Grow(1 << 10)
	}
	b.ReportAllocs()
	for b.Loop() {
		reservation := budget.NewReservation("workspace", false)
		reservation.Grow(4 << 10)
		reservation.Release()
	}
}

// Guards against reservations that allocate.
func TestReservingAllocatesNothing(t *testing.T) {
	budget := memory.New(46 << 20)
	allocated := testing.AllocsPerRun(1000, func() {
		reservation := budget.NewReservation("workspace", false)
		reservation.Grow(4 << 10)
		reservation.Release()
	})
	gomega.NewWithT(t).Expect(allocated).To(gomega.BeZero())
}
