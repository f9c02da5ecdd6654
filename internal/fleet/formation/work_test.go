package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
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
