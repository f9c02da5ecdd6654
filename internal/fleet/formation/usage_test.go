package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/state/configuration"
)

// Guards against plans based on the first calls. In the first second of traffic only calls of the
// small model were in progress. Taken for the mix of the whole day, they caused five of six large
// groups to be retired.
func TestFirstCallsDoNotChangeShares(t *testing.T) {
	expect := gomega.NewWithT(t)
	average := usageAverage{shares: map[string]float64{"large": 0.67, "small": 0.33}}
	for at := 100 * time.Millisecond; at <= time.Second; at += 100 * time.Millisecond {
		average = average.updated(map[string]float64{"large": 0, "small": 4}, map[string]bool{}, nil, at)
	}
	expect.Expect(average.shares["large"]).To(gomega.BeNumerically(">", 0.55))
	for at := time.Second; at <= time.Minute; at += 100 * time.Millisecond {
		average = average.updated(map[string]float64{"large": 1, "small": 3}, map[string]bool{}, nil, at)
	}
	expect.Expect(average.shares["large"]).To(gomega.BeNumerically("~", 0.25, 0.02))
}

// Guards against a share that drops because of losses. After losses all slots of the large model
// are used and further calls are refused, so fewer calls are in progress. The model must not seem
// to need fewer groups.
func TestShareOfASaturatedModelDoesNotDrop(t *testing.T) {
	expect := gomega.NewWithT(t)
	average := usageAverage{shares: map[string]float64{"large": 0.67, "small": 0.33}}
	for at := time.Duration(0); at <= time.Minute; at += 100 * time.Millisecond {
		average = average.updated(map[string]float64{"large": 6, "small": 12}, map[string]bool{"large": true}, nil, at)
	}
	expect.Expect(average.shares["large"]).To(gomega.BeNumerically(">=", 0.67))
}

// Guards against configured shares that keep servers idle after the demand has shifted. Nearly all
// calls are of the small model, whose slots are all used. The configured shares keep half of the
// servers for the large model, a third of whose slots is used. The shares must follow the demand
// within about ten seconds, and stay at the configured ones while both models are in use.
func TestIdleModelShiftsSharesToObservedUsage(t *testing.T) {
	expect := gomega.NewWithT(t)
	averageAfter := func(large, small float64) usageAverage {
		average := usageAverage{shares: map[string]float64{"large": 0.5, "small": 0.5}}
		for at := time.Duration(0); at <= 30*time.Second; at += 100 * time.Millisecond {
			average = average.updated(map[string]float64{"large": 20, "small": 70}, map[string]bool{}, map[string]float64{"large": large, "small": small}, at)
		}
		return average
	}
	expect.Expect(averageAfter(0.33, 0.95).observedWeight()).To(gomega.BeNumerically(">", 0.8))
	expect.Expect(averageAfter(0.50, 0.95).observedWeight()).To(gomega.Equal(baseObservedWeight))
	expect.Expect(averageAfter(0.20, 0.30).observedWeight()).To(gomega.Equal(baseObservedWeight), "no model is short of slots")
}

// demandSimulation simulates domains whose servers run two models, in virtual time. Calls without a
// free slot are refused, and some of their callers retry.
type demandSimulation struct {
	// offeredCalls is the number of calls of each model that would be in progress with unlimited
	// slots.
	offeredCalls map[string]float64
	// countRefusals makes refused calls count as demand.
	countRefusals bool

	at         time.Duration
	engine     configuration.Engine
	controller *Controller
	domains    []Domain
}

const (
	simulatedSlots        = 30
	simulatedCallDuration = 1200 * time.Millisecond
	// callsPerRefusedCaller is how many calls a refused caller makes on average.
	callsPerRefusedCaller = 1.6
	// planApplyInterval is the time from a plan until its groups serve.
	planApplyInterval = 5 * time.Second
)

func newDemandSimulation(large, small float64, countRefusals bool) *demandSimulation {
	simulation := &demandSimulation{offeredCalls: map[string]float64{"large": large, "small": small}, countRefusals: countRefusals}
	simulation.engine = configuration.Engine{Slots: simulatedSlots, Models: []configuration.Model{
		{Name: "large", Size: 16, Share: 0.67, LoadTime: 15 * time.Second}, {Name: "small", Size: 4, Share: 0.33, LoadTime: 8 * time.Second},
	}}
	simulation.controller = &Controller{
		Dependencies: Dependencies{ModelUsage: simulation.usage, Now: func() time.Duration { return simulation.at }}, usageAverages: map[string]usageAverage{}, groupCounts: map[string]int{},
	}
	for range 6 {
		simulation.domains = append(simulation.domains, Domain{ServerCount: 37, Groups: map[string]int{"large": 1, "small": 4}, Loading: map[string]int{}, Releasing: map[string]int{}})
	}
	return simulation
}

func (simulation *demandSimulation) groups(model string) int {
	groups := 0
	for index := range simulation.domains {
		groups += simulation.domains[index].Groups[model]
	}
	return groups
}

func (simulation *demandSimulation) usage(_, model string) Usage {
	slots := simulatedSlots * simulation.groups(model)
	used := min(simulation.offeredCalls[model], float64(slots))
	usage := Usage{UsedSlots: int(used), Slots: slots, MeanDuration: simulatedCallDuration}
	if simulation.countRefusals {
		usage.RefusedPerSecond = callsPerRefusedCaller * (simulation.offeredCalls[model] - used) / simulatedCallDuration.Seconds()
	}
	return usage
}

// run plans ten times a second, and applies the planned layouts every planApplyInterval.
func (simulation *demandSimulation) run(span time.Duration) {
	for ; simulation.at < span; simulation.at += 100 * time.Millisecond {
		for _, model := range simulation.engine.Models {
			simulation.controller.groupCounts["drafts/"+model.Name] = simulation.groups(model.Name)
		}
		demands := simulation.controller.demands(Service{Name: "drafts", Engine: &simulation.engine}, 37*len(simulation.domains))
		for index, layout := range optimizeLayouts(simulation.domains, demands, false) {
			domain := &simulation.domains[index]
			domain.Planned = layout.byModelName(demands)
			if simulation.at%planApplyInterval == 0 {
				domain.Groups = layout.byModelName(demands)
			}
		}
	}
}

// Guards against a model that stays short of servers because its refused calls don't count as
// demand. All its slots are used, while the configured shares keep servers for a model that needs
// no more than it has.
func TestRefusedCallsRaiseAModelsGroups(t *testing.T) {
	expect := gomega.NewWithT(t)
	groups := map[bool]int{}
	for _, countRefusals := range []bool{false, true} {
		simulation := newDemandSimulation(90, 1300, countRefusals)
		simulation.run(time.Minute)
		groups[countRefusals] = simulation.groups("small")
		t.Logf("refusals counted: %v, groups of the large model: %d, of the small model: %d", countRefusals, simulation.groups("large"), groups[countRefusals])
		expect.Expect(simulation.groups("large")).To(gomega.BeNumerically(">=", 3), "the large model's calls need 3 groups")
	}
	expect.Expect(groups[true]).To(gomega.BeNumerically(">=", groups[false]+4))
}

// Guards against a plan that follows a short burst. The servers of groups that are retired for the
// burst would be unavailable after it.
func TestShortBurstOfRefusalsRetiresNoGroup(t *testing.T) {
	expect := gomega.NewWithT(t)
	simulation := newDemandSimulation(150, 640, true)
	simulation.run(30 * time.Second)
	large, small := simulation.groups("large"), simulation.groups("small")
	simulation.offeredCalls["small"] *= 1.8
	simulation.run(34 * time.Second)
	simulation.offeredCalls["small"] /= 1.8
	simulation.run(45 * time.Second)
	expect.Expect(simulation.groups("large")).To(gomega.Equal(large))
	expect.Expect(simulation.groups("small")).To(gomega.BeNumerically(">=", small))
}

// Guards against callers that retry after a refusal and so count several times. A plan that
// followed their number would retire the groups of all other models.
func TestDemandIsCappedAtThreeTimesTheSlots(t *testing.T) {
	expect := gomega.NewWithT(t)
	usage := Usage{UsedSlots: 30, Slots: 30, RefusedPerSecond: 10, MeanDuration: 2 * time.Second}
	expect.Expect(usage.demandedSlots(30)).To(gomega.Equal(50.0))
	usage.RefusedPerSecond = 500
	expect.Expect(usage.demandedSlots(30)).To(gomega.Equal(90.0))
	usage = Usage{RefusedPerSecond: 500, MeanDuration: 2 * time.Second}
	expect.Expect(usage.demandedSlots(30)).To(gomega.Equal(90.0), "a model without a group")
	usage = Usage{UsedSlots: 120, Slots: 30}
	expect.Expect(usage.demandedSlots(30)).To(gomega.Equal(120.0), "at least the used slots")
}
