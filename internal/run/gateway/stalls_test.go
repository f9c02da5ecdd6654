package gateway

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/pathhealth"
	"hazelslip/internal/policy/quarantine"
)

// stalledRequest returns a node where a request has been at three of ten groups that were silent together.
func stalledRequest(t *testing.T, jumping *jumpingClock) (node *Node, groups []formation.Group, request quarantine.Fingerprint) {
	node, request = nodeWithGroups(t, 10, Clock(jumping.now)), quarantine.Fingerprint(7)
	for number := range 10 {
		groups = append(groups, formation.Group{Name: fmt.Sprintf("g-%d", number), Members: []string{fmt.Sprintf("i-%d", number)}})
	}
	for _, group := range groups[:3] {
		node.quarantine.RecordStall(quarantine.Subject{Fingerprint: request}, group.Name, group.Head()+"/"+group.Name)
		jumping.advance(500 * time.Millisecond)
	}
	return node, groups, request
}

func (node *Node) failuresOf(request quarantine.Fingerprint) int {
	suspect, _ := node.quarantine.Suspect(request)
	return len(suspect.Failures)
}

// Guards against a request that is quarantined because sound groups were silent together and it was at three of them:
// the groups come back, or end some seconds later because they were retired, which no request is to blame for.
func TestSilenceOfSoundGroupsQuarantinesNothing(t *testing.T) {
	cases := map[string]struct {
		changes  []formation.Change
		failures int
	}{
		"the groups come back":         {},
		"the groups are retired":       {changes: []formation.Change{formation.Retired, formation.Lost, formation.Released}},
		"the groups have lost members": {changes: []formation.Change{formation.Lost, formation.Released}, failures: 3},
	}
	for name, ending := range cases {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			jumping := newJumpingClock()
			node, groups, request := stalledRequest(t, jumping)
			for _, change := range ending.changes {
				for _, group := range groups {
					node.applyAnnouncement(formation.Announcement{Change: change, Group: group}, nil)
				}
				jumping.advance(time.Second)
			}
			expect.Expect(node.failuresOf(request)).To(gomega.Equal(ending.failures))
			_, quarantined := node.quarantine.Quarantined(request)
			expect.Expect(quarantined).To(gomega.Equal(ending.failures == 3))
			node.quarantine.RecordSuccess(request)
			expect.Expect(node.failuresOf(request)).To(gomega.BeZero(), "an answer takes all suspicion back")
		})
	}
}

// Guards against a request that is quarantined because sound groups were silent together while the path to them was in
// doubt. The path turns out to be healthy, which says nothing about the groups: only their loss does.
func TestSilenceOnSuspectedPathIsNoFailure(t *testing.T) {
	cases := map[string]struct {
		stalled  bool
		lost     []formation.Change
		failures int
	}{
		"silent and back":                   {stalled: true},
		"silent and lost":                   {stalled: true, lost: []formation.Change{formation.Lost}, failures: 3},
		"the connections to servers closed": {failures: 3},
	}
	for name, ending := range cases {
		t.Run(name, func(t *testing.T) {
			for _, lostBeforeProbe := range []bool{false, true} {
				expect := gomega.NewWithT(t)
				jumping := newJumpingClock()
				node, request := nodeWithGroups(t, 3, Clock(jumping.now)), quarantine.Fingerprint(7)
				jumping.advance(time.Second)
				path := node.detours.paths.Get(pathhealth.Destination{})
				path.RecordSilence(300 * time.Millisecond)
				expect.Expect(path.Status()).To(gomega.Equal(pathhealth.Suspected))
				announce := func() {
					for number := range 3 {
						for _, change := range ending.lost {
							node.applyAnnouncement(formation.Announcement{Change: change, Group: formation.Group{Name: fmt.Sprintf("g-%d", number)}}, nil)
						}
					}
				}
				taken := []string{}
				for range 3 {
					target, _ := node.board.Pick("drafts/m", dispatch.Criteria{Exclude: taken})
					taken = append(taken, target.ID)
					node.detours.deferFailure(target, quarantine.Subject{Fingerprint: request}, ending.stalled)
				}
				if lostBeforeProbe {
					announce()
				}
				probe := node.board.DuePathProbes()[0]
				result := probe.Complete(probe.Servers)
				node.detours.pathChanged(path, &result)
				expect.Expect(path.Status()).To(gomega.Equal(pathhealth.Healthy))
				announce()
				expect.Expect(node.failuresOf(request)).To(gomega.Equal(ending.failures))
			}
		})
	}
}

// Guards against a request that crashes whole services unnoticed because their crashes end like a lost path, and against
// requests that are accused when a path was lost. Only servers that crash restart.
func TestFailuresOnLostPathCountOnceTheirServersRestart(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		expect := gomega.NewWithT(t)
		jumping := newJumpingClock()
		node, request := nodeWithGroups(t, 3, Clock(jumping.now)), quarantine.Fingerprint(7)
		jumping.advance(time.Second)
		path := node.detours.paths.Get(pathhealth.Destination{})
		probeUntil := func(status pathhealth.Status) {
			for path.Status() != status {
				jumping.advance(time.Second)
				probe := node.board.DuePathProbes()[0]
				reached := probe.Servers
				if status == pathhealth.Lost {
					reached = nil
				}
				if result := probe.Complete(reached); result.Changed() {
					node.detours.pathChanged(path, &result)
				}
			}
		}
		born := map[string]int64{}
		path.RecordSilence(300 * time.Millisecond)
		for range 3 {
			target, _ := node.board.Pick("drafts/m", dispatch.Criteria{Exclude: slices.Collect(maps.Keys(born))})
			born[target.ID] = target.Born
			node.detours.deferFailure(target, quarantine.Subject{Fingerprint: request}, false)
		}
		probeUntil(pathhealth.Lost)
		node.detours.recordRestarts(born)
		expect.Expect(node.failuresOf(request)).To(gomega.BeZero())
		probeUntil(pathhealth.Healthy)
		path.RecordSilence(300 * time.Millisecond)
		probeUntil(pathhealth.Healthy)
		expect.Expect(node.failuresOf(request)).To(gomega.BeZero(), "a later doubt says nothing about the time when the path was lost")
		expected := 0
		if restarted {
			born["i-0"], born["i-1"], born["i-2"], expected = 1, 1, 1, 3
		} else {
			jumping.advance(uncertainFailureTTL)
		}
		node.detours.recordRestarts(born)
		expect.Expect(node.failuresOf(request)).To(gomega.Equal(expected))
		expect.Expect(node.detours.hasUncertainFailures()).To(gomega.BeFalse())
	}
}
