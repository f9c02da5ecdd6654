package follower

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/overlay"
)

func fixedRank(rank int) func() int {
	return func() int { return rank }
}

// Guards against a decision that depends on the wrong facts: a node asks the store for the configuration depending on
// the configuration's age, whatever the age of the server list, and if no other node supplies it.
func TestShouldAskForConfiguration(t *testing.T) {
	const fresh, stale = configurationMaxAge - time.Millisecond, configurationMaxAge
	for name, test := range map[string]struct {
		policy          ReadPolicy
		age, sinceAsked time.Duration
		want            bool
	}{
		"the reader":                              {ReadPolicy{Role: overlay.Root, Rank: fixedRank(0)}, 0, 0, true},
		"a root that other nodes supply":          {ReadPolicy{Role: overlay.Root, Rank: fixedRank(1)}, fresh, 0, false},
		"a root that no node supplies":            {ReadPolicy{Role: overlay.Root, Rank: fixedRank(1)}, stale, 0, true},
		"a root while the store answers no root":  {ReadPolicy{Role: overlay.Root, Rank: fixedRank(1), RootsUnavailable: true}, fresh, 0, true},
		"a supplied root after the read interval": {ReadPolicy{Role: overlay.Root, Rank: fixedRank(1)}, fresh, suppliedReadInterval, true},
		"a relay that no node supplies":           {ReadPolicy{Role: overlay.Relay, Rank: fixedRank(3)}, stale, 0, true},
		"a relay that misses a version":           {ReadPolicy{Role: overlay.Relay, Rank: fixedRank(3), MissesVersion: true}, fresh, 0, true},
		"a leaf that its relay supplies":          {ReadPolicy{Role: overlay.Leaf, Rank: fixedRank(3), FedByUpstream: true}, stale, suppliedReadInterval, false},
		"a leaf that misses a version":            {ReadPolicy{Role: overlay.Leaf, Rank: fixedRank(3), FedByUpstream: true, MissesVersion: true}, fresh, 0, true},
		"a leaf whose relay has just ended":       {ReadPolicy{Role: overlay.Leaf, Rank: fixedRank(3)}, fresh, 0, false},
		"a leaf that no node supplies":            {ReadPolicy{Role: overlay.Leaf, Rank: fixedRank(3)}, stale, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(test.policy.shouldAsk(test.age, test.sinceAsked)).To(gomega.Equal(test.want))
		})
	}
}

// Guards against nodes that all read the registry at once if the reader fails to: they take turns by rank.
func TestListMaxAgeByRoleAndRank(t *testing.T) {
	expect := gomega.NewWithT(t)
	listMaxAge := func(role overlay.Role, rank int, fed bool) time.Duration {
		return ReadPolicy{Role: role, Rank: fixedRank(rank), FedByUpstream: fed}.listMaxAge()
	}
	expect.Expect(listMaxAge(overlay.Root, 0, false)).To(gomega.Equal(readerListMaxAge))
	expect.Expect(listMaxAge(overlay.Root, 1, false)).To(gomega.Equal(ListMaxAge + listMaxAgeStep))
	expect.Expect(listMaxAge(overlay.Relay, 27, false)).To(gomega.Equal(ListMaxAge + maxListMaxAgeSteps))
	expect.Expect(listMaxAge(overlay.Leaf, 3, true)).To(gomega.BeNumerically("==", infiniteAge))
	expect.Expect(listMaxAge(overlay.Starting, 0, false)).To(gomega.BeNumerically("==", infiniteAge))
}

// Guards against leaves that read the whole registry when their relay ends, although another relay accepts them at
// once.
func TestLeafWaitsForNewRelayBeforeReadingRegistry(t *testing.T) {
	expect := gomega.NewWithT(t)
	follower := idleFollower()
	now, fed := time.Hour, true
	follower.Now = func() time.Duration { return now }
	follower.ReadPolicy = func() ReadPolicy {
		return ReadPolicy{Role: overlay.Leaf, FedByUpstream: fed, Rank: func() int { return 0 }}
	}
	for range 20 {
		now += ListCheckInterval
		expect.Expect(follower.listDue()).To(gomega.BeFalse(), "its relay sends it the list")
	}
	fed = false
	now += ListCheckInterval
	expect.Expect(follower.listDue()).To(gomega.BeFalse(), "its relay has just ended")
	now += ListCheckInterval
	expect.Expect(follower.listDue()).To(gomega.BeFalse(), "it is looking for another relay")
	now += firstListDelay
	expect.Expect(follower.listDue()).To(gomega.BeTrue(), "no relay accepts it")
}

// Guards against a leaf that checks seldom while its relay feeds it, and reads the whole registry at the first check after
// its relay has ended.
func TestLeafThatChecksSeldomWaitsForNewRelay(t *testing.T) {
	expect := gomega.NewWithT(t)
	follower := idleFollower()
	now, fed := time.Hour, true
	follower.Now = func() time.Duration { return now }
	follower.ReadPolicy = func() ReadPolicy {
		return ReadPolicy{Role: overlay.Leaf, FedByUpstream: fed, Rank: func() int { return 0 }}
	}
	expect.Expect(follower.listDue()).To(gomega.BeFalse(), "its relay sends it the list")
	fed = false
	now += 2 * firstListDelay
	expect.Expect(follower.listDue()).To(gomega.BeFalse(), "its relay has ended since the last check")
	now += firstListDelay
	expect.Expect(follower.listDue()).To(gomega.BeTrue(), "no relay accepts it")
}
