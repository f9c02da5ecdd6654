package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/state/configuration"
)

// In the first second after traffic began only calls of the small model were under
// way. Taken for the mix of the day, they had five of six large groups ended.
func TestFirstCallsDontDecideWhatIsWanted(t *testing.T) {
	expect := gomega.NewWithT(t)
	held := sight{shares: map[string]float64{"large": 0.67, "small": 0.33}}
	for at := 100 * time.Millisecond; at <= time.Second; at += 100 * time.Millisecond {
		held = held.next(map[string]float64{"large": 0, "small": 4}, map[string]bool{}, nil, at)
	}
	expect.Expect(held.shares["large"]).To(gomega.BeNumerically(">", 0.55))
	for at := time.Second; at <= time.Minute; at += 100 * time.Millisecond {
		held = held.next(map[string]float64{"large": 1, "small": 3}, map[string]bool{}, nil, at)
	}
	expect.Expect(held.shares["large"]).To(gomega.BeNumerically("~", 0.25, 0.02))
}

// After losses all places of the large model are taken and its calls are turned
// away, so fewer of them are under way. It must not seem to need fewer groups.
func TestModelThatIsTurnedAwayNeedsNoLess(t *testing.T) {
	expect := gomega.NewWithT(t)
	held := sight{shares: map[string]float64{"large": 0.67, "small": 0.33}}
	for at := time.Duration(0); at <= time.Minute; at += 100 * time.Millisecond {
		held = held.next(map[string]float64{"large": 6, "small": 12}, map[string]bool{"large": true}, nil, at)
	}
	expect.Expect(held.shares["large"]).To(gomega.BeNumerically(">=", 0.67))
}

// Work has shifted: nearly all calls are of the small model, whose places are all taken,
// while the operator's stated shares keep half of the servers for the large one, of whose
// places a third is taken. The shares must follow the work within some ten seconds, and
// stay by what is stated where both are in use.
func TestIdleModelGivesItsServersToTheWorkSeen(t *testing.T) {
	expect := gomega.NewWithT(t)
	play := func(large, small float64) sight {
		held := sight{shares: map[string]float64{"large": 0.5, "small": 0.5}}
		for at := time.Duration(0); at <= 30*time.Second; at += 100 * time.Millisecond {
			held = held.next(map[string]float64{"large": 20, "small": 70}, map[string]bool{}, map[string]float64{"large": large, "small": small}, at)
		}
		return held
	}
	expect.Expect(play(0.33, 0.95).trust()).To(gomega.BeNumerically(">", 0.8))
	expect.Expect(play(0.50, 0.95).trust()).To(gomega.Equal(demandTrust))
	expect.Expect(play(0.20, 0.30).trust()).To(gomega.Equal(demandTrust), "nothing is short")
}

// replay is a fleet of domains whose servers run two models, in virtual time. Calls that find no place are refused,
// and some of their callers come again.
type replay struct {
	// offered is how many calls of each model would be under way if there were places for all.
	offered map[string]float64
	// counted says that refused calls count as demand.
	counted bool

	at      time.Duration
	engine  configuration.Engine
	former  *Former
	domains []Domain
}

const (
	replaySlots    = 30
	replayDuration = 1200 * time.Millisecond
	// replayAgain is how often a refused caller asks on average.
	replayAgain = 1.6
	// replayChange is how long it takes from one plan to the next until its groups stand.
	replayChange = 5 * time.Second
)

func newReplay(large, small float64, counted bool) *replay {
	replay := &replay{offered: map[string]float64{"large": large, "small": small}, counted: counted}
	replay.engine = configuration.Engine{Slots: replaySlots, Models: []configuration.Model{
		{Name: "large", Size: 16, Share: 0.67, LoadTime: 15 * time.Second}, {Name: "small", Size: 4, Share: 0.33, LoadTime: 8 * time.Second},
	}}
	replay.former = &Former{
		Parts: Parts{Load: replay.load, Now: func() time.Duration { return replay.at }}, seen: map[string]sight{}, haves: map[string]int{},
	}
	for range 6 {
		replay.domains = append(replay.domains, Domain{Servers: 37, Groups: map[string]int{"large": 1, "small": 4}, Loading: map[string]int{}, Soon: map[string]int{}})
	}
	return replay
}

func (replay *replay) groups(model string) int {
	groups := 0
	for number := range replay.domains {
		groups += replay.domains[number].Groups[model]
	}
	return groups
}

func (replay *replay) load(_, model string) Usage {
	places := replaySlots * replay.groups(model)
	taken := min(replay.offered[model], float64(places))
	usage := Usage{Taken: int(taken), Places: places, Duration: replayDuration}
	if replay.counted {
		usage.Refused = replayAgain * (replay.offered[model] - taken) / replayDuration.Seconds()
	}
	return usage
}

// run plans ten times a second, and has the groups of the plan every few seconds.
func (replay *replay) run(span time.Duration) {
	for ; replay.at < span; replay.at += 100 * time.Millisecond {
		for _, model := range replay.engine.Models {
			replay.former.haves["drafts/"+model.Name] = replay.groups(model.Name)
		}
		demands := replay.former.demands(Service{Name: "drafts", Engine: &replay.engine}, 37*len(replay.domains))
		for number, layout := range design(replay.domains, demands, false) {
			domain := &replay.domains[number]
			domain.Planned = layout.named(demands)
			if replay.at%replayChange == 0 {
				domain.Groups = layout.named(demands)
			}
		}
	}
}

// Guards against a model that stays short since its refused calls don't count: all its places are taken, and the servers
// of a model that needs no more than it has are kept for the shares that the operator stated.
func TestModelWhoseCallsAreRefusedGetsMoreServers(t *testing.T) {
	expect := gomega.NewWithT(t)
	groups := map[bool]int{}
	for _, counted := range []bool{false, true} {
		replay := newReplay(90, 1300, counted)
		replay.run(time.Minute)
		groups[counted] = replay.groups("small")
		t.Logf("refusals counted %v: %d groups of the large model, %d of the small one", counted, replay.groups("large"), groups[counted])
		expect.Expect(replay.groups("large")).To(gomega.BeNumerically(">=", 3), "groups that the large model's calls need")
	}
	expect.Expect(groups[true]).To(gomega.BeNumerically(">=", groups[false]+4))
}

// Guards against a plan that follows a burst: groups that are ended for it have their servers away when it is over.
func TestBurstOfRefusalsEndsNoGroup(t *testing.T) {
	expect := gomega.NewWithT(t)
	replay := newReplay(150, 640, true)
	replay.run(30 * time.Second)
	large, small := replay.groups("large"), replay.groups("small")
	replay.offered["small"] *= 1.8
	replay.run(34 * time.Second)
	replay.offered["small"] /= 1.8
	replay.run(45 * time.Second)
	expect.Expect(replay.groups("large")).To(gomega.Equal(large))
	expect.Expect(replay.groups("small")).To(gomega.BeNumerically(">=", small))
}

// Guards against callers that come again after a refusal, and so count many times: a plan that followed them would end the groups
// of all other models.
func TestRefusalsCountForNoMoreThanThreeTimesThePlaces(t *testing.T) {
	expect := gomega.NewWithT(t)
	usage := Usage{Taken: 30, Places: 30, Refused: 10, Duration: 2 * time.Second}
	expect.Expect(usage.demand(30)).To(gomega.Equal(50.0))
	usage.Refused = 500
	expect.Expect(usage.demand(30)).To(gomega.Equal(90.0))
	usage = Usage{Refused: 500, Duration: 2 * time.Second}
	expect.Expect(usage.demand(30)).To(gomega.Equal(90.0), "a model without a group")
	usage = Usage{Taken: 120, Places: 30}
	expect.Expect(usage.demand(30)).To(gomega.Equal(120.0), "never less than what is under way")
}
