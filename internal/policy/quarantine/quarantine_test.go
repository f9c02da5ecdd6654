package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/testlib/suite"
)

func newList(options ...quarantine.Option) *quarantine.List {
	return quarantine.New(append([]quarantine.Option{quarantine.Clock(clock.Virtual())}, options...)...)
}

const asked = quarantine.Fingerprint(7)

func TestThirdEndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		for number := range 3 {
			_, refused := list.Refuses(asked)
			expect.Expect(refused).To(gomega.BeFalse())
			ends, news := list.Ended(asked, fmt.Sprint("i-", number))
			expect.Expect(ends).To(gomega.Equal(number + 1))
			expect.Expect(news).To(gomega.BeTrue())
		}
		verdict, refused := list.Refuses(asked)
		expect.Expect(refused).To(gomega.BeTrue())
		expect.Expect(verdict.Ends).To(gomega.HaveLen(3))
		_, refused = list.Refuses(asked + 1)
		expect.Expect(refused).To(gomega.BeFalse())
	})
}

// Twenty calls of one request break off when their one server ends, and several nodes
// tell of it. That is one end, not twenty.
func TestCallsOfOneServerAreOneEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		for range 20 {
			list.Ended(asked, "i-1/g1/0")
			time.Sleep(time.Millisecond)
		}
		expect.Expect(list.Take(quarantine.Suspect{Fingerprint: asked, Ends: []quarantine.End{{Run: "i-1/g1/0", At: time.Hour}}})).To(gomega.BeFalse())
		_, refused := list.Refuses(asked)
		expect.Expect(refused).To(gomega.BeFalse())
	})
}

// In a wave of losses a request lies under three ends by chance and is answered at last
// at another node. It is harmless, also where the ends are told after that.
func TestAnswerLiftsSuspicionForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		here, there := newList(), newList()
		for number := range 3 {
			here.Ended(asked, fmt.Sprint("i-", number))
		}
		before, _ := here.Suspect(asked)
		expect.Expect(there.Take(before)).To(gomega.BeTrue())
		time.Sleep(2 * time.Second)
		expect.Expect(there.Served(asked)).To(gomega.BeTrue())
		after, _ := there.Suspect(asked)
		expect.Expect(here.Take(after)).To(gomega.BeTrue())
		for _, list := range []*quarantine.List{here, there} {
			expect.Expect(list.Take(before)).To(gomega.BeFalse())
			_, refused := list.Refuses(asked)
			expect.Expect(refused).To(gomega.BeFalse())
			expect.Expect(list.State()).To(gomega.BeEmpty())
		}
	})
}

// All groups of a slow data centre stand still for a moment, and are whole. A request that
// was moved away from three of them must go on; once the third turns out to have lost a
// member, that one counts.
func TestGroupsThatOnlyStoodStillDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		for _, group := range []string{"g1", "g2", "g3"} {
			list.Doubt(asked, group, "i/"+group)
		}
		_, known := list.Suspect(asked)
		expect.Expect(known).To(gomega.BeFalse())
		expect.Expect(list.Lost("g3")).To(gomega.Equal([]quarantine.Fingerprint{asked}))
		expect.Expect(list.Lost("g3")).To(gomega.BeEmpty())
		suspect, _ := list.Suspect(asked)
		expect.Expect(suspect.Ends).To(gomega.HaveLen(1))
		time.Sleep(7 * time.Second)
		expect.Expect(list.Lost("g1")).To(gomega.BeEmpty())
	})
}

// An operator refuses a request of which answers are under way. They must not lift it.
func TestAnswersDoNotLiftAnOperatorsDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		expect.Expect(list.Refuse(asked)).To(gomega.BeTrue())
		expect.Expect(list.Served(asked)).To(gomega.BeFalse())
		_, refused := list.Refuses(asked)
		expect.Expect(refused).To(gomega.BeTrue())
		time.Sleep(2 * time.Second)
		expect.Expect(list.Lift(asked)).To(gomega.BeTrue())
		_, refused = list.Refuses(asked)
		expect.Expect(refused).To(gomega.BeFalse())
	})
}

func TestSuspicionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList(quarantine.Remembered(time.Minute), quarantine.Ends(1))
		list.Ended(asked, "i-1")
		time.Sleep(40 * time.Second)
		verdict, refused := list.Refuses(asked)
		expect.Expect(refused).To(gomega.BeTrue())
		expect.Expect(verdict.Left).To(gomega.Equal(20 * time.Second))
		time.Sleep(21 * time.Second)
		_, refused = list.Refuses(asked)
		expect.Expect(refused).To(gomega.BeFalse())
		list.Sweep()
		_, known := list.Suspect(asked)
		expect.Expect(known).To(gomega.BeFalse())
	})
}

// A wave of losses puts thousands of requests under one end each. The list stays small,
// and what is refused stays on it.
func TestListIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		for number := range 3 {
			list.Ended(asked, fmt.Sprint("i-", number))
		}
		for number := range 5000 {
			list.Ended(quarantine.Fingerprint(1000+number), "i-9")
		}
		expect.Expect(len(list.State())).To(gomega.BeNumerically("<=", 2048))
		_, refused := list.Refuses(asked)
		expect.Expect(refused).To(gomega.BeTrue())
	})
}

// Nodes tell each other what they know in any order, late and twice. In the end all know
// the same, whoever saw which end.
func TestNodesAgreeInTheEnd(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		clock := quarantine.Clock(func() time.Duration { return now })
		lists := []*quarantine.List{quarantine.New(clock), quarantine.New(clock), quarantine.New(clock)}
		tell := func(from, to int) {
			if suspect, known := lists[from].Suspect(asked); known {
				lists[to].Take(suspect)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			node := rapid.IntRange(0, 2).Draw(t, "node")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				lists[node].Ended(asked, fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "run")))
			case 2:
				if rapid.IntRange(0, 3).Draw(t, "lift") == 0 {
					lists[node].Lift(asked)
				}
			default:
				tell(node, rapid.IntRange(0, 2).Draw(t, "to"))
			}
		}
		for range 2 {
			for from := range lists {
				for to := range lists {
					tell(from, to)
				}
			}
		}
		runs := func(list *quarantine.List) []string {
			found := []string{}
			for _, state := range list.State() {
				found = append(found, state.Ends...)
			}
			return slices.Sorted(slices.Values(found))
		}
		_, first := lists[0].Refuses(asked)
		for _, list := range lists {
			if _, refused := list.Refuses(asked); refused != first {
				t.Fatal("the nodes don't agree whether the request is refused")
			}
			if !slices.Equal(runs(list), runs(lists[0])) {
				t.Fatalf("the nodes don't agree: %v and %v", runs(list), runs(lists[0]))
			}
		}
	})
}

// Two requests that differ only in where one part ends and the next begins are two.
func TestFingerprintTellsPartsApart(t *testing.T) {
	expect := gomega.NewWithT(t)
	one := quarantine.Of(quarantine.Asked{Workspace: "ab", Method: "c", Target: "/x", Body: []byte("y")})
	other := quarantine.Of(quarantine.Asked{Workspace: "a", Method: "bc", Target: "/x", Body: []byte("y")})
	expect.Expect(one).NotTo(gomega.Equal(other))
	expect.Expect(quarantine.Of(quarantine.Asked{Workspace: "ab", Method: "c", Target: "/xy"})).NotTo(gomega.Equal(one))
	parsed, err := quarantine.Parse(one.String())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(parsed).To(gomega.Equal(one))
	_, err = quarantine.Parse("xyz")
	expect.Expect(err).To(gomega.MatchError(quarantine.ErrFingerprint))
}
