package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"hazelslip/platform/standin"
)

const (
	// noticeEvery is the mean time between two backoffs while faults go on.
	noticeEvery = 1500 * time.Millisecond
	// backoffLeast and backoffMost bound a backoff, in seconds.
	backoffLeast = 0.3
	backoffMost  = 4.0
	// noticeStream tells the draw of backoffs from that of the plan.
	noticeStream = 45
	// keptBackoff is the backoff that is checked once all faults have ended, in seconds, and
	// keptFor for how long the server refuses: less, so that each node is told once.
	keptBackoff = 9
	keptFor     = 6 * time.Second
	// refusalsMost is how many calls each node may send a server that has told it once: two
	// may have been on their way.
	refusalsMost = 3
)

// backoffs makes servers ask for backoffs, and take calls again.
var backoffs = saying{
	every: noticeEvery, path: func(server string) string { return "/backoffs/" + server },
	query: func(draw *rand.Rand) string {
		return backoffQuery(backoffLeast + draw.Float64()*(backoffMost-backoffLeast))
	},
}

func backoffQuery(seconds float64) string {
	return "?seconds=" + strconv.FormatFloat(seconds, 'f', 2, 64)
}

// keepBackoffs makes all plain servers ask each node once for a backoff that lasts: calls would
// go elsewhere where one of them didn't.
func (soak *soak) keepBackoffs(ctx context.Context) {
	for _, server := range soak.fleet.plain {
		soak.fleet.tell(backoffs.path(server) + backoffQuery(keptBackoff))
	}
	select {
	case <-ctx.Done():
	case <-time.After(keptFor):
	}
	for _, server := range soak.fleet.plain {
		soak.fleet.tell(backoffs.path(server))
	}
}

// keepDrain makes the judged server say that it is draining, while its entry doesn't.
func (soak *soak) keepDrain(ctx context.Context, seed uint64) {
	soak.fleet.tell(limits.path(soak.judgedServer(seed)))
	soak.fleet.tell("/drains/" + soak.judgedServer(seed) + "?value=1")
	select {
	case <-ctx.Done():
	case <-time.After(keptFor):
	}
}

// checkDrainTold finds out whether the judged server got calls long after it had told a node that
// it is draining: each node may have had to be told by a call of its own.
func checkDrainTold(server string, nodes int, seen standin.Observed) []string {
	if late := seen.ToldDrain[server]; late > nodes {
		return []string{fmt.Sprintf("server %s said that it was draining, and got %d calls later than %v after that from %d nodes", server, late, standin.WorstCaseTolerance.DrainGrace, nodes)}
	}
	return nil
}

// checkBackoffs finds out whether the judged server, which asked for no backoff while faults went
// on, got calls in its backoff.
func checkBackoffs(server string, nodes int, seen standin.Observed) []string {
	if refused := seen.Backoffs[server]; refused > refusalsMost*nodes {
		return []string{fmt.Sprintf("server %s asked %d nodes for a backoff of %d s and refused %d calls, at most %d each are allowed",
			server, nodes, keptBackoff, refused, refusalsMost)}
	}
	return nil
}
