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

// Guards against a workspace that takes more than half of the budget while another one is
// refused, and against one that is kept from what nobody else can ask for.
func TestWorkspaceGetsHalfUnlessAlone(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(1000)
	one, other := budget.Hold("one", false), budget.Hold("other", false)
	expect.Expect(one.Grow(500)).To(gomega.BeTrue())
	expect.Expect(one.Grow(1)).To(gomega.BeFalse())
	expect.Expect(other.Grow(251)).To(gomega.BeFalse(), "it would hold more than what is left free")
	expect.Expect(other.Grow(250)).To(gomega.BeTrue())
	one.Release()
	other.Release()
	alone := budget.Hold("one", true)
	expect.Expect(alone.Grow(1000)).To(gomega.BeTrue())
	expect.Expect(alone.Grow(1)).To(gomega.BeFalse())
}

// Guards against small requests that are refused since some greedy workspaces hold
// everything.
func TestGreedyWorkspacesLeaveRoomForSmallRequests(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(46 << 20)
	for granted := true; granted; {
		granted = false
		for number := range 6 {
			hold := budget.Hold(fmt.Sprintf("greedy-%d", number), false)
			granted = hold.Grow(256<<10) || granted
		}
	}
	for number := range 40 {
		small := budget.Hold(fmt.Sprintf("small-%d", number), false)
		expect.Expect(small.Grow(8 << 10)).To(gomega.BeTrue())
	}
}

// Guards against requests that are refused where no limit of the memory is known.
func TestNoLimitRefusesNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(memory.Part(0))
	hold := budget.Hold("one", false)
	expect.Expect(hold.Grow(1 << 40)).To(gomega.BeTrue())
	expect.Expect(budget.Bounded()).To(gomega.BeFalse())
	hold.Release()
	expect.Expect(budget.State().Held).To(gomega.BeZero())
}

// Guards against bytes of begun streams that others take for free.
func TestTakenBytesLeaveLessForOthers(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(1000)
	stream, other := budget.Hold("one", false), budget.Hold("other", false)
	stream.Take(1500)
	expect.Expect(other.Grow(1)).To(gomega.BeFalse())
	stream.Shrink(600)
	expect.Expect(other.Grow(50)).To(gomega.BeTrue())
	expect.Expect(stream.Bytes()).To(gomega.Equal(int64(900)))
}

// Guards against a budget that isn't whole again, or exceeded, after any order of grants and
// returns, and against a workspace beyond half when another one is refused.
func TestRandomHoldsKeepTheBudget(t *testing.T) {
	for round := range suite.Rounds(40) {
		seed := suite.Seed() + uint64(round)
		draw := rand.New(rand.NewPCG(seed, 19))
		expect := gomega.NewWithT(t)
		const bytes = 1 << 20
		budget := memory.New(bytes)
		holds := make([]memory.Hold, 60)
		for number := range holds {
			holds[number] = budget.Hold(fmt.Sprintf("w-%d", draw.IntN(7)), false)
		}
		for range 4000 {
			hold := &holds[draw.IntN(len(holds))]
			switch draw.IntN(5) {
			case 0, 1, 2:
				if hold.Grow(draw.Int64N(bytes / 8)) {
					continue
				}
				hold.Refuse()
				for _, state := range budget.State().Workspaces {
					expect.Expect(state.Held).To(gomega.BeNumerically("<=", bytes/2), "HAZELSLIP_SEED %d", seed)
				}
			case 3:
				hold.Shrink(draw.Int64N(bytes / 8))
			case 4:
				hold.Release()
			}
			held, most, _ := budget.Sums()
			expect.Expect(held).To(gomega.BeNumerically(">=", 0))
			expect.Expect(most).To(gomega.BeNumerically("<=", bytes))
		}
		for number := range holds {
			holds[number].Release()
			holds[number].Release()
		}
		held, _, refused := budget.Sums()
		expect.Expect(held).To(gomega.BeZero(), "HAZELSLIP_SEED %d", seed)
		expect.Expect(refused).NotTo(gomega.BeZero())
		for _, state := range budget.State().Workspaces {
			expect.Expect(state.Held).To(gomega.BeZero())
		}
	}
}

// Guards against a state dump and a log that grow with the workspaces and the refusals.
func TestStateAndLogAreBounded(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(1000)
	for number := range 2000 {
		hold := budget.Hold(fmt.Sprintf("w-%d", number), false)
		hold.Refuse()
	}
	state := budget.State()
	expect.Expect(len(state.Workspaces)).To(gomega.BeNumerically("<=", 16))
	expect.Expect(state.Others).To(gomega.BeNumerically("<=", 256))
	expect.Expect(state.Refused).To(gomega.Equal(uint64(2000)))
	lines := 0
	for second := range 60 {
		hold := budget.Hold("w", false)
		hold.Refuse()
		if refusals, due := budget.Tell(time.Duration(second) * time.Second); due {
			lines++
			expect.Expect(refusals.Refused).To(gomega.BeNumerically(">=", 1))
		}
	}
	expect.Expect(lines).To(gomega.Equal(6))
}

// The bound is 300 ns for a reservation with its return, without allocation.
func BenchmarkReserveAndRelease(b *testing.B) {
	budget := memory.New(46 << 20)
	for number := range 40 {
		hold := budget.Hold(fmt.Sprintf("w-%d", number), false)
		hold.Grow(1 << 10)
	}
	b.ReportAllocs()
	for b.Loop() {
		hold := budget.Hold("workspace", false)
		hold.Grow(4 << 10)
		hold.Release()
	}
}

// Guards against reservations that allocate.
func TestReservingAllocatesNothing(t *testing.T) {
	budget := memory.New(46 << 20)
	allocated := testing.AllocsPerRun(1000, func() {
		hold := budget.Hold("workspace", false)
		hold.Grow(4 << 10)
		hold.Release()
	})
	gomega.NewWithT(t).Expect(allocated).To(gomega.BeZero())
}
