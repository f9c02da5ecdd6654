package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/reach"
)

// rig is a way to some servers of which some are reached.
type rig struct {
	at      time.Duration
	ways    *reach.Ways
	way     *reach.Way
	reached map[string]bool
	probed  int
}

func newRig(servers int) *rig {
	made := &rig{at: time.Hour, reached: map[string]bool{}}
	number := 0
	made.ways = reach.New(reach.Clock(func() time.Duration { return made.at }), reach.Random(func(n int) int { number++; return number * 7 % n }))
	made.way = made.ways.Of(reach.Place{Service: "drafts", DataCentre: "east"})
	names := []string{}
	for server := range servers {
		names = append(names, name(server))
		made.reached[name(server)] = true
	}
	made.way.List(names)
	return made
}

func name(server int) string { return fmt.Sprintf("i-%d", server) }

// cut takes the way to all servers from a number on.
func (rig *rig) cut(from int) {
	for server := range rig.reached {
		rig.reached[server] = false
	}
	for server := range from {
		rig.reached[name(server)] = true
	}
}

// probe has the servers tried that are due, after a time.
func (rig *rig) probe(after time.Duration) {
	rig.at += after
	for _, due := range rig.ways.Due() {
		reached := []string{}
		for _, server := range due.Servers {
			rig.probed++
			if rig.reached[server] {
				reached = append(reached, server)
			}
		}
		due.Done(reached)
	}
}

// Guards against a node that needs many failed callers to learn that it reaches no server.
func TestWayIsLostAfterTwoServersThatAreNotReached(t *testing.T) {
	for _, servers := range []int{1, 2, 3, 60, 3060} {
		expect := gomega.NewWithT(t)
		rig := newRig(servers)
		rig.cut(0)
		for server := range min(2, servers) {
			expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Open))
			rig.way.Unopened(name(server), rig.at)
		}
		expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Doubted))
		rig.probe(0)
		expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Lost))
		expect.Expect(rig.probed).To(gomega.BeNumerically("<=", 4))
		expect.Expect(rig.ways.Lost(false)).To(gomega.Equal([]reach.Place{rig.way.Place}))
		expect.Expect(rig.ways.Without("drafts", rig.ways.Lost(false))).To(gomega.BeTrue())
		expect.Expect(rig.ways.Without("bookings", rig.ways.Lost(false))).To(gomega.BeFalse())
		expect.Expect(rig.way.Blocks(name(0))).To(gomega.BeTrue())
	}
}

// Guards against servers that end, or fall silent, being taken for a way that is lost.
func TestServersThatFailDoNotMakeAWayLost(t *testing.T) {
	cases := map[string]func(rig *rig){
		"one server, again and again": func(rig *rig) {
			for range 10 {
				rig.way.Unopened(name(0), rig.at)
			}
		},
		"a few, while others answer": func(rig *rig) {
			for server := range 5 {
				rig.way.Broke(name(server), rig.at)
				rig.at += time.Millisecond
				rig.way.Heard(name(9))
			}
		},
		"a rack": func(rig *rig) {
			rig.cut(40)
			for server := range 20 {
				rig.way.Broke(name(40+server), rig.at)
			}
		},
		"silence for a second": func(rig *rig) {
			rig.at += time.Second
			rig.way.Silent(300 * time.Millisecond)
		},
		"a time-out of a call sent before others were answered": func(rig *rig) {
			sent := rig.at
			rig.at += time.Second
			rig.way.Heard(name(9))
			rig.way.Broke(name(0), sent)
			rig.way.Broke(name(1), sent)
		},
	}
	for called, happen := range cases {
		t.Run(called, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			rig := newRig(60)
			happen(rig)
			rig.probe(0)
			expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Open))
			expect.Expect(rig.ways.Unsettled()).To(gomega.BeFalse())
		})
	}
}

// Guards against calls that avoid all servers of a way for as long as it is only doubted.
func TestOnlyServersThatFailedAreBlockedInDoubt(t *testing.T) {
	expect := gomega.NewWithT(t)
	rig := newRig(60)
	rig.way.Unopened(name(0), rig.at)
	rig.way.Broke(name(1), rig.at)
	expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Doubted))
	expect.Expect([]bool{rig.way.Blocks(name(0)), rig.way.Blocks(name(1)), rig.way.Blocks(name(2))}).To(gomega.Equal([]bool{true, true, false}))
	due := rig.ways.Due()
	expect.Expect([]bool{due[0].Whole(0), due[0].Whole(1), due[0].Whole(2)}).To(gomega.Equal([]bool{false, false, true}))
}

// Guards against a way that is lost in part: the servers that are reached get calls.
func TestServersThatAreReachedAreCalledOverALostWay(t *testing.T) {
	expect := gomega.NewWithT(t)
	rig := newRig(63)
	rig.cut(4)
	rig.way.Unopened(name(10), rig.at)
	rig.way.Unopened(name(11), rig.at)
	for range 400 {
		rig.probe(250 * time.Millisecond)
		if rig.way.Standing() == reach.Open {
			rig.way.Unopened(name(10), rig.at)
			rig.way.Unopened(name(11), rig.at)
		}
	}
	expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Lost))
	expect.Expect(rig.probed).To(gomega.BeNumerically("<", 400*4))
	rig.way.Opened(name(0))
	expect.Expect(rig.way.Blocks(name(0))).To(gomega.BeFalse())
	expect.Expect(rig.ways.Lost(false)).To(gomega.Equal([]reach.Place{rig.way.Place}), "other nodes are asked for what these can't take")
	expect.Expect(rig.way.Blocks(name(20))).To(gomega.BeTrue())
	rig.way.Unopened(name(0), rig.at)
	expect.Expect(rig.way.Blocks(name(0))).To(gomega.BeTrue())
}

// Guards against a way that is whole again and stays lost, and against one that flaps.
func TestLostWayIsTriedUntilItIsWhole(t *testing.T) {
	expect := gomega.NewWithT(t)
	rig := newRig(60)
	rig.cut(0)
	rig.way.Broke(name(0), rig.at)
	rig.way.Broke(name(1), rig.at)
	for range 40 {
		rig.probe(40 * time.Millisecond)
		expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Lost))
	}
	expect.Expect(rig.probed).To(gomega.BeNumerically("<=", 4+2*7))
	rig.cut(60)
	for range 14 {
		rig.probe(40 * time.Millisecond)
	}
	expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Open))
	rig.way.Unopened(name(0), rig.at)
	rig.way.Unopened(name(1), rig.at)
	expect.Expect(rig.way.Standing()).To(gomega.Equal(reach.Open), "it has just been found whole")
}
