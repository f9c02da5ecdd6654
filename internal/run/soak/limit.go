package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hazelslip/platform/standin"
)

const (
	// limitInterval is the mean time between two changes of server limits while faults are
	// injected.
	limitInterval = time.Second
	// limitDuration is how long the checked server announces a limit after the faults. It exceeds
	// the time that nodes may take to learn of the limit plus one window of the limit.
	limitDuration = 9 * time.Second
	// minLimit and maxLimit bound a limit, in requests per second. Callers send each plain server
	// about 4 requests per second.
	minLimit = 0.3
	maxLimit = 0.8
	// limitStream selects a random stream for limits that is independent of the plan's.
	limitStream = 41
)

// checkedServer returns the plain server whose limit, backoff and drain are checked. It announces
// none while faults are injected, since a node need not respect them during a fault.
func (runner *runner) checkedServer(seed uint64) string {
	return runner.fleet.plainServers[seed%uint64(len(runner.fleet.plainServers))]
}

// announcement is a kind of notice that servers announce and withdraw while faults are injected.
type announcement struct {
	// meanInterval is the mean time between two changes.
	meanInterval time.Duration
	// path returns the stand-in's control path for a server. Without a query, the notice is withdrawn.
	path func(server string) string
	// query returns the query string of a random notice.
	query func(random *rand.Rand) string
}

// limitAnnouncement makes servers announce, change and withdraw limits.
var limitAnnouncement = announcement{
	meanInterval: limitInterval, path: func(server string) string { return "/limits/" + server },
	query: func(random *rand.Rand) string { return limitQuery(randomLimit(random)) },
}

// announceRandomly makes servers announce and withdraw notices until the context ends, then withdraws all
// of them. The checked server announces nothing.
func (runner *runner) announceRandomly(ctx context.Context, announcement announcement, checked string, random *rand.Rand) {
	servers := slices.Concat(runner.fleet.engines, runner.fleet.plainServers)
	servers = slices.DeleteFunc(servers, func(server string) bool { return server == checked })
	for {
		select {
		case <-ctx.Done():
			for _, server := range servers {
				runner.fleet.sendControl(announcement.path(server))
			}
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(announcement.meanInterval))):
		}
		path := announcement.path(servers[random.IntN(len(servers))])
		if random.IntN(3) > 0 {
			path += announcement.query(random)
		}
		runner.fleet.sendControl(path)
	}
}

func randomLimit(random *rand.Rand) float64 {
	return minLimit + random.Float64()*(maxLimit-minLimit)
}

func limitQuery(rate float64) string {
	return "?rate=" + strconv.FormatFloat(rate, 'f', 2, 64)
}

// exerciseLimit makes the checked server announce a limit once all faults have ended.
func (runner *runner) exerciseLimit(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, limitStream+1))
	runner.fleet.sendControl(limitAnnouncement.path(runner.checkedServer(seed)) + limitQuery(randomLimit(random)))
	select {
	case <-ctx.Done():
	case <-time.After(limitDuration):
	}
}

// checkLimits reports calls above the limit of the checked server, which announces limits only
// while no fault is active.
func checkLimits(server string, observed standin.Observed) []string {
	violations := []string{}
	for _, breach := range observed.LimitBreaches {
		if breach.Server == server {
			violations = append(violations, fmt.Sprintf("server limit exceeded: %s", breach))
		}
	}
	return violations
}
