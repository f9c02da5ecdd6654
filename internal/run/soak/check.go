package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hazelslip/platform/standin"
)

const (
	// quarantineDelay is how long the fleet may take to quarantine a request after the third server
	// crashed on it, and maxLateSends how often the request may reach servers after that.
	quarantineDelay = 3 * time.Second
	maxLateSends    = 3
	// drainDelay is how long a plain server may get new calls after it announced that it is leaving:
	// the time that the deployments allow, plus what the registry and a busy machine add.
	drainDelay = 5 * time.Second
)

// checkResponses reports invalid responses, by comparing what callers received with what servers ran.
func checkResponses(results []standin.Result, observed standin.Observed) []string {
	violations := []string{}
	runs := map[string]int{}
	for _, run := range observed.Runs {
		runs[run.ID]++
	}
	for number := range results {
		result := &results[number]
		if result.Violation != "" {
			violations = append(violations, fmt.Sprintf("%s at node %d: %s", result.ID, result.Node+1, result.Violation))
		}
		if standin.GuaranteesNotRun(result.Status) && runs[result.ID] > 0 {
			violations = append(violations, fmt.Sprintf("%s at node %d was reported as not run but ran %d times", result.ID, result.Node+1, runs[result.ID]))
		}
		if result.Kind == standin.Book && runs[result.ID] > 1 {
			violations = append(violations, fmt.Sprintf("%s must run at most once but ran %d times", result.ID, runs[result.ID]))
		}
	}
	return append(violations, observed.Violations...)
}

// checkBudget reports a window in which the servers of a service got more retries than the retry
// budget of the operator allows. The requests are those of which a call reached a server.
func checkBudget(observed standin.Observed) []string {
	bounds := standin.DefaultBounds()
	violations := []string{}
	for _, kinds := range [][]standin.Kind{{standin.Draft}, {standin.Book, standin.Ping}} {
		firsts, arrivals := map[string]time.Duration{}, []standin.Arrival{}
		for _, arrival := range observed.Arrivals {
			if !slices.ContainsFunc(kinds, func(kind standin.Kind) bool { return strings.Contains(arrival.RequestID, string(kind)+"-") }) {
				continue
			}
			arrivals = append(arrivals, arrival)
			if first, known := firsts[arrival.RequestID]; !known || arrival.At < first {
				firsts[arrival.RequestID] = arrival.At
			}
		}
		if use := standin.MaxRetryUse(slices.Collect(maps.Values(firsts)), arrivals, bounds); use.Share() > 1 {
			violations = append(violations, fmt.Sprintf("retry budget exceeded: %d retries of %v within %s, allowed %.1f", use.Retries, kinds, bounds.RetryWindow, use.Allowed))
		}
	}
	return violations
}

// checkHarmful reports a request that still reached servers after it had crashed three of them.
func checkHarmful(observed standin.Observed) []string {
	late := standin.LateCalls(observed.Harmful, quarantineDelay)
	if late <= maxLateSends {
		return nil
	}
	return []string{fmt.Sprintf("a request that had crashed three servers reached servers %d more times, more than %s later", late, quarantineDelay)}
}

// drain records when a plain server announced that it is leaving, on the stand-in's clock.
type drain struct {
	server string
	at     time.Duration
}

// checkDrains reports calls that started at a server later than drainDelay after the server announced
// that it is leaving.
func checkDrains(drains []drain, observed standin.Observed) []string {
	violations := []string{}
	for _, drain := range drains {
		late := 0
		for _, run := range observed.Runs {
			if run.Server == drain.server && run.At > drain.at+drainDelay {
				late++
			}
		}
		if late > 0 {
			violations = append(violations, fmt.Sprintf("%s got %d calls more than %s after it announced that it is leaving", drain.server, late, drainDelay))
		}
	}
	return violations
}
