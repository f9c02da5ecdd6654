package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/warmup"
	"hazelslip/internal/testlib/suite"
)

var bound = warmup.Bound{PerSecond: 26, Overshoot: 1.5, Tolerance: 5}

const maxPerSecond = 26*1.5 + 5

// maxArrivalsInASecond lets all nodes send as many requests as they may to one cold server, each written up to 0.4 s
// after it was allowed. It returns the highest number of requests that arrive within a second.
func maxArrivalsInASecond(draw *rand.Rand, nodes int, server string) int {
	const length = 4 * time.Second
	arrivals := make([]int, int(length/time.Millisecond)+400)
	for range nodes {
		limit := bound.NodeLimit(nodes, rendezvous.UnitHash(server, draw.Uint64()))
		if limit == 0 {
			continue
		}
		limiter := &warmup.Limiter{}
		for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
			for limiter.Allow(at, limit) {
				arrivals[int(at/time.Millisecond)+draw.IntN(400)]++
			}
		}
	}
	most, sum := 0, 0
	for at := range arrivals {
		sum += arrivals[at]
		if at >= 1000 {
			sum -= arrivals[at-1000]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a cold server that crashes because each of many nodes sends it a few requests.
func TestFleetStaysWithinColdServerBound(t *testing.T) {
	draw := rand.New(rand.NewPCG(suite.Seed(), 61))
	for _, nodes := range []int{1, 3, 29, 60, 91, 130, 300, 984, 2000, 6000} {
		most := 0
		for server := range 60 {
			most = max(most, maxArrivalsInASecond(draw, nodes, fmt.Sprint(server)))
		}
		gomega.NewWithT(t).Expect(most).To(gomega.BeNumerically("<=", maxPerSecond), "%d nodes", nodes)
		gomega.NewWithT(t).Expect(most).To(gomega.BeNumerically(">=", 20), "%d nodes use the bound", nodes)
	}
}

func TestColdTableExpiresWarmServers(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	table := warmup.NewColdTable(func() time.Duration { return now })
	one, other := ratelimit.Run{Server: "i-1", Born: 1}, ratelimit.Run{Server: "i-1", Born: 2}
	table.Update(one, 2*time.Second)
	expect.Expect(table.IsCold(one)).To(gomega.BeTrue())
	expect.Expect(table.IsCold(other)).To(gomega.BeFalse(), "another run of the server")
	expect.Expect(table.Sweep()).To(gomega.BeFalse())
	now += 2 * time.Second
	expect.Expect(table.IsCold(one)).To(gomega.BeFalse())
	expect.Expect(table.Sweep()).To(gomega.BeTrue())
	table.Update(one, time.Second)
	table.Update(one, 0)
	expect.Expect(table.IsCold(one)).To(gomega.BeFalse())
}
