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

const mostInASecond = 26*1.5 + 5

// spread lets nodes send as much as they may to one cold server, each call written up to 0.4 s
// after it was let through, and returns the most that arrive in a second.
func spread(draw *rand.Rand, nodes int, server string) int {
	const length = 4 * time.Second
	slots := make([]int, int(length/time.Millisecond)+400)
	for range nodes {
		part := bound.Part(nodes, rendezvous.UnitHash(server, draw.Uint64()))
		if part == 0 {
			continue
		}
		gate := &warmup.Gate{}
		for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
			for gate.Take(at, part) {
				slots[int(at/time.Millisecond)+draw.IntN(400)]++
			}
		}
	}
	most, sum := 0, 0
	for at := range slots {
		sum += slots[at]
		if at >= 1000 {
			sum -= slots[at-1000]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a cold server that crashes since each of many nodes sends it a little.
func TestNodesTogetherSendAColdServerNoMoreThanItBears(t *testing.T) {
	draw := rand.New(rand.NewPCG(suite.Seed(), 61))
	for _, nodes := range []int{1, 3, 29, 60, 91, 130, 300, 984, 2000, 6000} {
		most := 0
		for server := range 60 {
			most = max(most, spread(draw, nodes, fmt.Sprint(server)))
		}
		gomega.NewWithT(t).Expect(most).To(gomega.BeNumerically("<=", mostInASecond), "%d nodes", nodes)
		gomega.NewWithT(t).Expect(most).To(gomega.BeNumerically(">=", 20), "%d nodes warm it", nodes)
	}
}

func TestTableForgetsServersThatAreWarm(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	table := warmup.NewTable(func() time.Duration { return now })
	one, other := ratelimit.Run{Server: "i-1", Born: 1}, ratelimit.Run{Server: "i-1", Born: 2}
	table.Heard(one, 2*time.Second)
	expect.Expect(table.Cold(one)).To(gomega.BeTrue())
	expect.Expect(table.Cold(other)).To(gomega.BeFalse(), "another run")
	expect.Expect(table.Sweep()).To(gomega.BeFalse())
	now += 2 * time.Second
	expect.Expect(table.Cold(one)).To(gomega.BeFalse())
	expect.Expect(table.Sweep()).To(gomega.BeTrue())
	table.Heard(one, time.Second)
	table.Heard(one, 0)
	expect.Expect(table.Cold(one)).To(gomega.BeFalse())
}
