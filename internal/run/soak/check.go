package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hazelslip/platform/standin"
)

const (
	// toldWithin is how long after the third server ended of a request the fleet may take
	// to know of it, and lateMost how often the request may reach servers after that.
	toldWithin = 3 * time.Second
	lateMost   = 3
	// drainedWithin is how long after a plain server announced that it leaves it may get
	// new calls: what the deployments allow, and what the registry and a busy machine add.
	drainedWithin = 5 * time.Second
)

// checkAnswers finds what callers got that they never may, beside what servers ran.
func checkAnswers(answers []standin.Result, seen standin.Observed) []string {
	wrong := []string{}
	runs := map[string]int{}
	for _, run := range seen.Runs {
		runs[run.ID]++
	}
	for number := range answers {
		answered := &answers[number]
		if answered.Violation != "" {
			wrong = append(wrong, fmt.Sprintf("%s at node %d: %s", answered.ID, answered.Node+1, answered.Violation))
		}
		if standin.GuaranteesNotRun(answered.Status) && runs[answered.ID] > 0 {
			wrong = append(wrong, fmt.Sprintf("%s at node %d was said not to have run, and ran %d times", answered.ID, answered.Node+1, runs[answered.ID]))
		}
		if answered.Kind == standin.Book && runs[answered.ID] > 1 {
			wrong = append(wrong, fmt.Sprintf("%s may run once and ran %d times", answered.ID, runs[answered.ID]))
		}
	}
	return append(wrong, seen.Violations...)
}

// checkBudget finds a span in which the servers of a service got more repeats than the
// operator allows.
func checkBudget(seen standin.Observed) []string {
	bounds := standin.DefaultBounds()
	wrong := []string{}
	for _, kinds := range [][]standin.Kind{{standin.Draft}, {standin.Book, standin.Ping}} {
		known := map[string]bool{}
		firsts, repeats := []time.Duration{}, []time.Duration{}
		for _, run := range seen.Runs {
			if !slices.ContainsFunc(kinds, func(kind standin.Kind) bool { return strings.Contains(run.ID, string(kind)+"-") }) {
				continue
			}
			if known[run.ID] {
				repeats = append(repeats, run.At)
			} else {
				firsts = append(firsts, run.At)
			}
			known[run.ID] = true
		}
		for _, from := range repeats {
			spent, earned := within(repeats, from, bounds.RetryWindow), within(firsts, from, bounds.RetryWindow)
			if float64(spent) > bounds.RetryRatio*float64(earned)+bounds.RetryLeast {
				wrong = append(wrong, fmt.Sprintf("%d repeats of %v within %s beside %d requests", spent, kinds, bounds.RetryWindow, earned))
				break
			}
		}
	}
	return wrong
}

// within counts the times in a span.
func within(times []time.Duration, from, span time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < from+span {
			count++
		}
	}
	return count
}

// checkHarmful finds a request that went on to servers after it had ended three.
func checkHarmful(seen standin.Observed) []string {
	late := standin.LateCalls(seen.Harmful, toldWithin)
	if late <= lateMost {
		return nil
	}
	return []string{fmt.Sprintf("a request that had ended three servers reached %d more, later than %s after", late, toldWithin)}
}

// drain is a plain server that left, on the stand-in's clock.
type drain struct {
	server string
	at     time.Duration
}

// checkDrains finds calls that began at servers that had left.
func checkDrains(drains []drain, seen standin.Observed) []string {
	wrong := []string{}
	for _, drain := range drains {
		late := 0
		for _, run := range seen.Runs {
			if run.Server == drain.server && run.At > drain.at+drainedWithin {
				late++
			}
		}
		if late > 0 {
			wrong = append(wrong, fmt.Sprintf("%s got %d calls later than %s after it announced that it leaves", drain.server, late, drainedWithin))
		}
	}
	return wrong
}
