package follower

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/overlay"
)

func ranked(rank int) func() int {
	return func() int { return rank }
}

// Who asks the store for the configuration depends on how old the configuration is, whatever
// the age of the list of servers, and on nobody's being there to bring it.
func TestWhoAsksForTheConfiguration(t *testing.T) {
	const fresh, stale = confirmedPatience - time.Millisecond, confirmedPatience
	for name, one := range map[string]struct {
		standing    Standing
		age, before time.Duration
		asks        bool
	}{
		"the reader for all":               {Standing{Role: overlay.Root, Rank: ranked(0)}, 0, 0, true},
		"a root that others inform":        {Standing{Role: overlay.Root, Rank: ranked(1)}, fresh, 0, false},
		"a root that nobody informs":       {Standing{Role: overlay.Root, Rank: ranked(1)}, stale, 0, true},
		"a root where all roots are away":  {Standing{Role: overlay.Root, Rank: ranked(1), RootsAway: true}, fresh, 0, true},
		"a root now and then":              {Standing{Role: overlay.Root, Rank: ranked(1)}, fresh, informedCheck, true},
		"a relay that nobody informs":      {Standing{Role: overlay.Relay, Rank: ranked(3)}, stale, 0, true},
		"a relay that misses a version":    {Standing{Role: overlay.Relay, Rank: ranked(3), Misses: true}, fresh, 0, true},
		"a leaf that is told":              {Standing{Role: overlay.Leaf, Rank: ranked(3), Fed: true}, stale, informedCheck, false},
		"a leaf that misses a version":     {Standing{Role: overlay.Leaf, Rank: ranked(3), Fed: true, Misses: true}, fresh, 0, true},
		"a leaf whose relay has just gone": {Standing{Role: overlay.Leaf, Rank: ranked(3)}, fresh, 0, false},
		"a leaf that nobody informs":       {Standing{Role: overlay.Leaf, Rank: ranked(3)}, stale, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(one.standing.asks(one.age, one.before)).To(gomega.Equal(one.asks))
		})
	}
}

// Nodes read the registry one after the other where the one that should doesn't.
func TestWhenTheRegistryIsRead(t *testing.T) {
	expect := gomega.NewWithT(t)
	limit := func(role overlay.Role, rank int, fed bool) time.Duration {
		return Standing{Role: role, Rank: ranked(rank), Fed: fed}.listLimit()
	}
	expect.Expect(limit(overlay.Root, 0, false)).To(gomega.Equal(listEvery))
	expect.Expect(limit(overlay.Root, 1, false)).To(gomega.Equal(ListPatience + listStep))
	expect.Expect(limit(overlay.Relay, 27, false)).To(gomega.Equal(ListPatience + listStepsMost))
	expect.Expect(limit(overlay.Leaf, 3, true)).To(gomega.BeNumerically("==", never))
	expect.Expect(limit(overlay.Starting, 0, false)).To(gomega.BeNumerically("==", never))
}

// Guards against leaves that read the whole registry at the moment in which their relay ends, though another takes
// them at once.
func TestLeafThatLosesItsRelayWaitsToBeToldAgain(t *testing.T) {
	expect := gomega.NewWithT(t)
	follower := idleFollower()
	now, fed := time.Hour, true
	follower.Now = func() time.Duration { return now }
	follower.Standing = func() Standing { return Standing{Role: overlay.Leaf, Fed: fed, Rank: func() int { return 0 }} }
	for range 20 {
		now += ListTick
		expect.Expect(follower.listDue()).To(gomega.BeFalse(), "told by its relay")
	}
	fed = false
	now += ListTick
	expect.Expect(follower.listDue()).To(gomega.BeFalse(), "its relay has just ended")
	now += ListTick
	expect.Expect(follower.listDue()).To(gomega.BeFalse(), "it looks for another")
	now += firstPatience
	expect.Expect(follower.listDue()).To(gomega.BeTrue(), "nobody takes it")
}
