package soak

import (
	"fmt"
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/platform/standin"
)

const (
	// rewriteTime is how long the operator and the servers take to write lost records again after a restore.
	rewriteTime = 500 * time.Millisecond
	// maxLostLines bounds the number of cut answers that are described one by one.
	maxLostLines = 40
)

// timeline records what was done to the processes, on the clock of the stand-in.
type timeline struct {
	mu          sync.Mutex
	planned     []standin.PlannedWork
	disruptions []standin.Disruption
	failures    []standin.ServerFailure
	silences    []standin.Silence
}

// addPlanned records planned work. A configuration was acknowledged, or a process that got SIGTERM ended, at until.
func (timeline *timeline) addPlanned(kind standin.WorkKind, node int, from, until time.Duration) {
	timeline.mu.Lock()
	defer timeline.mu.Unlock()
	timeline.planned = append(timeline.planned, standin.PlannedWork{Kind: kind, Node: node, From: from, Until: until})
}

// addFault records a fault. Members are the servers whose work a failed server breaks off.
func (timeline *timeline) addFault(fault Fault, from, until time.Duration, members []string) {
	timeline.mu.Lock()
	defer timeline.mu.Unlock()
	switch fault.Kind {
	case NodeStop, NodeReload, Configure, PlainDrain, Harmful:
		// Planned work is recorded where it is sent, and harmful requests by the stand-in. Servers may leave.
		return
	case ServerSilent, ServersSilent:
		timeline.silences = append(timeline.silences, standin.Silence{Servers: max(1, len(fault.Servers)), From: from, Until: until})
		return
	case ServerEnd, ServerKill:
		// A group accepts requests for the stall time after it has lost a member.
		failure := standin.ServerFailure{Servers: members, From: from, Until: until + standin.DefaultBounds().Stall}
		timeline.failures = append(timeline.failures, failure)
		return
	case NodeKill, AllKill:
		until += restartDelay
	case StoreReturn:
		until += rewriteTime
	}
	timeline.disruptions = append(timeline.disruptions, standin.Disruption{Name: string(fault.Kind), From: from, Until: until})
}

// checkLost reports answers that nodes cut around planned work without an excuse, and returns how many answers
// were cut for any reason. The times of its lines count from the start of the load, as those of the plan.
func (timeline *timeline) checkLost(results []standin.Result, observed standin.Observed, start time.Time) (violations []string, cut int) {
	now, bootNow := time.Now(), clock.Boot()
	onClock := func(at time.Time) time.Duration { return bootNow - now.Sub(at) }
	answers := standin.NewAnswers(results, observed, onClock)
	for number := range answers {
		if answers[number].Cut && answers[number].WrittenAt > 0 {
			cut++
		}
	}
	timeline.mu.Lock()
	defer timeline.mu.Unlock()
	check := standin.LostCheck{
		Bounds: standin.DefaultLostBounds(), Origin: onClock(start), Answers: answers, Planned: timeline.planned,
		Disruptions: timeline.disruptions, Failures: timeline.failures, Silences: timeline.silences,
	}
	for _, call := range observed.Harmful {
		if call.EndedAt > 0 {
			check.Failures = append(check.Failures, standin.ServerFailure{Servers: []string{call.Server}, From: call.EndedAt, Until: call.EndedAt + standin.DefaultBounds().Stall})
		}
	}
	lost := check.Lost()
	if len(lost) == 0 {
		return nil, cut
	}
	violations = []string{fmt.Sprintf("%d answers were cut around planned work", len(lost))}
	for _, answer := range lost[:min(len(lost), maxLostLines)] {
		violations = append(violations, answer.String())
	}
	return violations, cut
}
