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
	// limitEvery is the mean time between two changes of a server's limit while faults go
	// on.
	limitEvery = time.Second
	// limitFor is for how long a server names a limit once they have ended: longer than
	// nodes may take to know of it, and a window of the limit.
	limitFor = 9 * time.Second
	// limitLeast and limitMost bound a limit, in requests a second: callers want some four
	// of each plain server.
	limitLeast = 0.3
	limitMost  = 0.8
	// limitStream tells the draw of limits from that of the plan.
	limitStream = 41
)

// judgedServer is the plain server whose limit is checked. It names none while faults go
// on, since they excuse the nodes.
func (soak *soak) judgedServer(seed uint64) string {
	return soak.fleet.plain[seed%uint64(len(soak.fleet.plain))]
}

// saying is what servers say of themselves, and take back, while faults go on.
type saying struct {
	// every is the mean time between two changes.
	every time.Duration
	// path is at the stand-in, of what a server says; without a query it takes it back.
	path func(server string) string
	// query draws what is said.
	query func(draw *rand.Rand) string
}

// limits makes servers name limits, change and end them.
var limits = saying{
	every: limitEvery, path: func(server string) string { return "/limits/" + server },
	query: func(draw *rand.Rand) string { return limitQuery(drawLimit(draw)) },
}

// say makes servers say something of themselves while faults go on. The server that is judged
// says nothing.
func (soak *soak) say(ctx context.Context, saying saying, judged string, draw *rand.Rand) {
	servers := slices.Concat(soak.fleet.engines, soak.fleet.plain)
	servers = slices.DeleteFunc(servers, func(server string) bool { return server == judged })
	for {
		select {
		case <-ctx.Done():
			for _, server := range servers {
				soak.fleet.tell(saying.path(server))
			}
			return
		case <-time.After(time.Duration(draw.ExpFloat64() * float64(saying.every))):
		}
		path := saying.path(servers[draw.IntN(len(servers))])
		if draw.IntN(3) > 0 {
			path += saying.query(draw)
		}
		soak.fleet.tell(path)
	}
}

func drawLimit(draw *rand.Rand) float64 {
	return limitLeast + draw.Float64()*(limitMost-limitLeast)
}

func limitQuery(rate float64) string {
	return "?rate=" + strconv.FormatFloat(rate, 'f', 2, 64)
}

// keepLimit makes one plain server name a limit once all faults have ended.
func (soak *soak) keepLimit(ctx context.Context, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, limitStream+1))
	soak.fleet.tell(limits.path(soak.judgedServer(seed)) + limitQuery(drawLimit(draw)))
	select {
	case <-ctx.Done():
	case <-time.After(limitFor):
	}
}

// checkLimits finds a server that got more calls than the limit that it named when no fault
// went on.
func checkLimits(server string, seen standin.Observed) []string {
	wrong := []string{}
	for _, breach := range seen.LimitBreaches {
		if breach.Server == server {
			wrong = append(wrong, fmt.Sprintf("a server that named a limit got too many calls: %s", breach))
		}
	}
	return wrong
}
