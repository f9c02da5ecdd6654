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
	// backoffInterval is the mean time between two backoffs while faults are injected.
	backoffInterval = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound a backoff, in seconds.
	minBackoff = 0.3
	maxBackoff = 4.0
	// backoffStream selects a random stream for backoffs that is independent of the plan's.
	backoffStream = 45
	// finalBackoff is the backoff that is checked once all faults have ended, in seconds.
	// noticeDuration is how long the server refuses calls. It is shorter than the backoff, so that each
	// node gets the notice only once.
	finalBackoff   = 9
	noticeDuration = 6 * time.Second
	// maxRefusalsPerNode is how many refused calls each node may send: the one whose refusal carries
	// the notice, and two that may have been in flight.
	maxRefusalsPerNode = 3
)

// backoffAnnouncement makes servers request backoffs and accept calls again.
var backoffAnnouncement = announcement{
	meanInterval: backoffInterval, path: func(server string) string { return "/backoffs/" + server },
	query: func(random *rand.Rand) string {
		return backoffQuery(minBackoff + random.Float64()*(maxBackoff-minBackoff))
	},
}

func backoffQuery(seconds float64) string {
	return "?seconds=" + strconv.FormatFloat(seconds, 'f', 2, 64)
}

// exerciseBackoffs makes all plain servers request a long backoff from each node once. If one of
// them did not, calls would go to that server instead and nothing would be tested.
func (runner *runner) exerciseBackoffs(ctx context.Context) {
	for _, server := range runner.fleet.plainServers {
		runner.fleet.sendControl(backoffAnnouncement.path(server) + backoffQuery(finalBackoff))
	}
	select {
	case <-ctx.Done():
	case <-time.After(noticeDuration):
	}
	for _, server := range runner.fleet.plainServers {
		runner.fleet.sendControl(backoffAnnouncement.path(server))
	}
}

// exerciseDrain withdraws the limit of the checked server and makes the server report in its responses that
// it is draining, while its registry entry does not say so.
func (runner *runner) exerciseDrain(ctx context.Context, seed uint64) {
	runner.fleet.sendControl(limitAnnouncement.path(runner.checkedServer(seed)))
	runner.fleet.sendControl("/drains/" + runner.checkedServer(seed) + "?value=1")
	select {
	case <-ctx.Done():
	case <-time.After(noticeDuration):
	}
}

// checkDrainNotice reports whether the checked server got calls too long after it had told a node that
// it is draining. One late call per node is allowed, since each node may learn of the drain only
// from a call of its own.
func checkDrainNotice(server string, nodes int, observed standin.Observed) []string {
	if late := observed.ToldDrain[server]; late > nodes {
		return []string{fmt.Sprintf("server %s announced that it is draining and got %d calls more than %v later, from %d nodes", server, late, standin.WorstCaseTolerance.DrainGrace, nodes)}
	}
	return nil
}

// checkBackoffs reports whether the checked server got too many calls during its backoff. It requests
// no backoff while faults are injected.
func checkBackoffs(server string, nodes int, observed standin.Observed) []string {
	if refused := observed.Backoffs[server]; refused > maxRefusalsPerNode*nodes {
		return []string{fmt.Sprintf("server %s requested a backoff from %d nodes for %d s and refused %d calls; at most %d per node are allowed",
			server, nodes, finalBackoff, refused, maxRefusalsPerNode)}
	}
	return nil
}
