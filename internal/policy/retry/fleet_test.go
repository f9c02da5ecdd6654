package retry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/retry"
)

// newNode returns the counts of a process with a predecessor, whose clock the test controls.
func newNode(now *time.Duration, options ...retry.FleetOption) *retry.Fleet {
	options = append(options, retry.Clock(func() time.Duration { return *now }), retry.Nodes(func() (reached, all int) { return 2, 2 }))
	return retry.NewFleet(allowance(), options...)
}

// Guards against a request without a service that counts as the start of a process, which keeps retries back.
func TestRequestsWithoutServiceAreNoProcessStarts(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	fleet := newNode(&now, retry.NoPredecessor())
	for range 10 {
		fleet.Service("").RecordRequest()
	}
	expect.Expect(fleet.Service("service").State().Window.RecentStarts).To(gomega.BeZero())
	expect.Expect(newNode(&now).Service("service").State().Window.RecentStarts).To(gomega.Equal(1))
}

// Guards against a process that was frozen, or hears no other node, and takes its old counts for those of all nodes.
func TestStaleCountsGrantHardlyAnyRetry(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	fleet := newNode(&now, retry.NoPredecessor())
	budget := fleet.Service("service")
	for range 100 {
		now += 100 * time.Millisecond
		fleet.Observed()
		budget.RecordRequest()
	}
	expect.Expect(budget.State().Window.Left).To(gomega.BeNumerically(">", 10))
	now += 5 * time.Second
	expect.Expect(budget.State().Window.Left).To(gomega.BeNumerically("<=", 0.03*120))
	fleet.Observed()
	expect.Expect(budget.TryWithdraw()).To(gomega.BeFalse())
	expect.Expect(budget.State().Window.KnownMilliseconds).To(gomega.BeZero())
	position, coverage := fleet.Position()
	fleet.MergeCoverage(retry.Coverage{From: position - 20*time.Second, UpTo: position})
	expect.Expect(budget.TryWithdraw()).To(gomega.BeTrue(), "another node knows what was sent, %+v before", coverage)
}

// Guards against a new process that does not learn what its predecessor sent, since its time begins anew.
func TestNewProcessLearnsWhatItsPredecessorSent(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	other := newNode(&now, retry.NoPredecessor())
	now += 40 * time.Second
	sent := retry.Totals{}
	position, _ := other.Position()
	sent["service"] = retry.Series{First: int64(position/(500*time.Millisecond)) - 4, Counts: []retry.Count{{Requests: 50, Retries: 30}}}
	other.Merge(sent)
	other.Observed()
	fresh := newNode(&now)
	position, coverage := other.Position()
	fresh.Follow(position)
	fresh.Merge(other.All(false))
	fresh.MergeCoverage(coverage)
	fresh.Inform(other.Snapshot(false).Completeness)
	usage := fresh.Service("service").State().Window
	expect.Expect(usage.FleetRetries).To(gomega.Equal(30))
	expect.Expect(usage.FleetRequests).To(gomega.Equal(50))
}

// fleetOf returns a node that knows all counts of a fleet, in which as many nodes as given are heard, and the counts
// that it has been told: 1,000 requests in the settled slots, a seventh of them its own.
func fleetOf(now *time.Duration, reached *int, all int, options ...retry.FleetOption) *retry.WindowBudget {
	options = append(options, retry.Clock(func() time.Duration { return *now }), retry.Nodes(func() (int, int) { return *reached, all }))
	fleet := retry.NewFleet(allowance(), options...)
	position, _ := fleet.Position()
	fleet.MergeCoverage(retry.Coverage{From: position - 20*time.Second, UpTo: position})
	budget := fleet.Service("service")
	for range 143 {
		budget.RecordRequest()
	}
	first := int64(position / (500 * time.Millisecond))
	fleet.Merge(retry.Totals{"service": {First: first, Counts: []retry.Count{{Requests: 1000}}}})
	for range 20 {
		*now += 100 * time.Millisecond
		fleet.Observed()
	}
	return budget
}

// Guards against a node that is cut off and takes the requests that all nodes got before for its own part, while the
// others use them as well.
func TestCutOffNodeUsesItsPartOnly(t *testing.T) {
	expect := gomega.NewWithT(t)
	now, reached := time.Hour, 7
	budget := fleetOf(&now, &reached, 7, retry.NoPredecessor())
	together := budget.State().Window
	reached = 1
	alone := budget.State().Window
	expect.Expect(alone.Left).To(gomega.BeNumerically("<=", together.Left))
	expect.Expect(alone.Left).To(gomega.BeNumerically("<=", (0.2*1000+100)/7))
	expect.Expect(alone.Left).To(gomega.BeNumerically(">", 10), "it still has its part")
}

// Guards against a fleet whose nodes all start anew and each take an equal share among the few that they know yet.
func TestNewProcessTakesNoEqualShareAtOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	now, reached := time.Hour, 3
	budget := fleetOf(&now, &reached, 3)
	window := budget.State().Window
	expect.Expect(window.Left).To(gomega.BeNumerically("<=", 0.5*0.143*window.Allowed))
}

// Guards against nodes that were cut off from each other and, when they meet again, know only what one side sent.
func TestNodesThatMeetAgainKnowWhatBothSidesSent(t *testing.T) {
	expect := gomega.NewWithT(t)
	now, reached := time.Hour, 2
	nodes := []*retry.Fleet{}
	for range 2 {
		nodes = append(nodes, retry.NewFleet(allowance(), retry.NoPredecessor(), retry.Clock(func() time.Duration { return now }), retry.Nodes(func() (int, int) { return reached, 2 })))
	}
	exchange := func(duration time.Duration) {
		for end := now + duration; now < end; now += 100 * time.Millisecond {
			sums := []retry.Totals{nodes[0].Own(), nodes[1].Own()}
			for number, node := range nodes {
				if reached == 2 {
					node.Merge(retry.Sum(sums...))
				} else {
					node.Merge(sums[number])
				}
				node.Observed()
			}
		}
	}
	exchange(time.Second)
	reached = 1
	exchange(500 * time.Millisecond)
	for _, node := range nodes {
		for range 10 {
			expect.Expect(node.Service("service").TryWithdraw()).To(gomega.BeTrue())
		}
	}
	exchange(5 * time.Second)
	reached = 2
	exchange(time.Second)
	for _, node := range nodes {
		expect.Expect(node.Service("service").State().Window.FleetRetries).To(gomega.Equal(20))
	}
	// Reports are short again when all know the sum.
	exchange(3 * time.Second)
	expect.Expect(nodes[0].Own()).To(gomega.BeEmpty())
	expect.Expect(nodes[0].Service("service").State().Window.FleetRetries).To(gomega.Equal(20))
}

// Guards against late counts that are no longer reported before all nodes know them.
func TestSlotsAreReportedUntilAllNodesKnowThem(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	fleet := newNode(&now, retry.NoPredecessor())
	sentAt, _ := fleet.Position()
	fleet.Merge(retry.Totals{"service": {First: 0, Counts: []retry.Count{{Retries: 7}}}})
	fleet.Service("service").RecordRequest()
	now += 5 * time.Second
	fleet.Inform(retry.Completeness{Complete: sentAt + 4*time.Second, Agreed: sentAt})
	expect.Expect(fleet.Own()).To(gomega.HaveKey("service"))
	expect.Expect(fleet.Snapshot(true).Counts["service"].Counts[0].Retries).To(gomega.Equal(uint32(7)))
	fleet.Inform(retry.Completeness{Complete: sentAt + 4*time.Second, Agreed: sentAt + time.Second})
	expect.Expect(fleet.Own()).NotTo(gomega.HaveKey("service"))
	expect.Expect(fleet.Snapshot(true).Counts).NotTo(gomega.HaveKey("service"))
}
