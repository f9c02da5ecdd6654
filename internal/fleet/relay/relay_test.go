package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/relay"
	"hazelslip/internal/policy/dispatch"
)

func members() []relay.Member {
	return []relay.Member{
		{Address: "a", Incarnation: 1, Fit: true, Capacity: 190},
		{Address: "b", Incarnation: 2, Fit: true, Capacity: 800},
		{Address: "c", Incarnation: 3, Fit: true, Capacity: 800},
		{Address: "d", Incarnation: 4, Fit: true, Capacity: 800, StoreAway: true},
		{Address: "e", Incarnation: 5, Capacity: 900},
	}
}

// All nodes must come to the same relay whatever order they heard of each other
// in: else the nodes of a data centre don't hear of each other.
func TestAllNodesOrderAlike(t *testing.T) {
	expect := gomega.NewWithT(t)
	sorted := relay.Order("east", members())
	expect.Expect(sorted[0].Address).To(gomega.BeElementOf("b", "c"))
	expect.Expect(sorted[3].Address).To(gomega.Equal("d"))
	expect.Expect(sorted[4].Address).To(gomega.Equal("e"))
	draw := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		shuffled := members()
		draw.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		expect.Expect(relay.Order("east", shuffled)).To(gomega.Equal(sorted))
		expect.Expect(relay.Version(shuffled)).To(gomega.Equal(relay.Version(members())))
	}
}

func TestVersionTellsEveryChange(t *testing.T) {
	expect := gomega.NewWithT(t)
	changes := []func(member *relay.Member){
		func(member *relay.Member) { member.Address = "x" },
		func(member *relay.Member) { member.Incarnation = 77 },
		func(member *relay.Member) { member.Term = 4096 },
		func(member *relay.Member) { member.Fit = false },
		func(member *relay.Member) { member.StoreAway = true },
		func(member *relay.Member) { member.Capacity = 1 },
	}
	for _, change := range changes {
		changed := members()
		change(&changed[2])
		expect.Expect(relay.Version(changed)).NotTo(gomega.Equal(relay.Version(members())))
	}
	expect.Expect(relay.Version(members()[1:])).NotTo(gomega.Equal(relay.Version(members())))
}

// A relay leaves out members that it believes the other side has. Where that is
// wrong, the old list must not pass for the new one.
func TestMembersThatWereLeftOutAreKept(t *testing.T) {
	expect := gomega.NewWithT(t)
	table := relay.NewTable()
	table.Take("east", relay.Digest{At: time.Second, Version: 7})
	expect.Expect(table.Fresh(time.Second, time.Second)).To(gomega.BeEmpty())
	table.Take("east", relay.Digest{At: time.Second, Version: 7, Members: members()})
	table.Take("east", relay.Digest{At: 2 * time.Second, Version: 7, Loads: map[string]dispatch.Share{"i-1": {Calls: 3}}})
	held := table.Fresh(2500*time.Millisecond, time.Second)["east"]
	expect.Expect(held.Members).To(gomega.HaveLen(5))
	expect.Expect(held.Loads["i-1"].Calls).To(gomega.Equal(3))
	table.Take("east", relay.Digest{At: 3 * time.Second, Version: 8})
	expect.Expect(table.Versions()).To(gomega.Equal(map[string]uint64{"east": 7}))
	table.Take("east", relay.Digest{At: time.Second, Version: 9, Members: members()[1:]})
	expect.Expect(table.Versions()).To(gomega.Equal(map[string]uint64{"east": 7}))
	expect.Expect(table.Fresh(4*time.Second, time.Second)).To(gomega.BeEmpty())
}
