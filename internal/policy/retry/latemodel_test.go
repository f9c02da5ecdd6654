package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/retry"
	"hazelslip/internal/testlib/suite"
)

// makeLate makes the counts of some nodes late from now on: constantly or in turns with sound links, on both ways or one.
func (fleet *modelledFleet) makeLate(random *rand.Rand) {
	highest := time.Duration(random.Int64N(int64(3 * time.Second)))
	late := countDelay{up: highest, down: highest}
	switch random.IntN(3) {
	case 0:
		late.up = modelStep
	case 1:
		late.down = modelStep
	}
	period := time.Duration(random.IntN(2)) * (200*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))))
	share := []float64{0.1, 0.5, 1}[random.IntN(3)]
	for _, node := range fleet.nodes {
		node.late = nil
		if random.Float64() < share {
			node.late = func(now time.Duration) countDelay {
				if period > 0 && now/period%2 == 0 {
					return defaultCountDelay
				}
				return late
			}
		}
	}
}

// Guards against nodes that use more than the allowance because the counts of other nodes take long: on the way to the node
// that adds them up, on the way back, or both, at all nodes or at a part of them.
func TestLateCountsStayWithinTheAllowance(t *testing.T) {
	for _, shape := range fleetShapes()[:4] {
		for _, late := range []countDelay{
			{up: 300 * time.Millisecond, down: 300 * time.Millisecond},
			{up: time.Second, down: time.Second},
			{up: 2 * time.Second, down: modelStep},
			{up: modelStep, down: 2 * time.Second},
		} {
			for _, part := range []int{1, 3} {
				expect := gomega.NewWithT(t)
				random := rand.New(rand.NewPCG(suite.Seed(), 71))
				fleet := newModelledFleet(random, shape.nodes, retry.Allowance{Ratio: 0.2, Base: shape.base, Window: modelWindow})
				for number, node := range fleet.nodes {
					if number%part == 0 {
						node.late = func(time.Duration) countDelay { return late }
					}
				}
				for step := range 6 * windowSteps {
					failing := 0.0
					if step > 2*windowSteps {
						failing = 0.9
					}
					fleet.step(shape.rate, failing)
				}
				highest, at := fleet.maxUse()
				expect.Expect(highest).To(gomega.BeNumerically("<=", maxAllowedUse), "%d nodes, %.0f requests/s, one in %d late by %+v: window from %v on", shape.nodes, shape.rate, part, late, time.Duration(at)*modelStep)
			}
		}
	}
}

// Makes counts late, restarts nodes, moves callers and changes failures at random. Guards against any window in which the
// fleet sends more retries than it may.
func TestRandomLateFleetsStayWithinTheAllowance(t *testing.T) {
	shapes := fleetShapes()
	for round := range suite.Rounds(8) {
		seed := suite.Seed()*1000 + uint64(round)
		random := rand.New(rand.NewPCG(seed, 72))
		shape := shapes[random.IntN(len(shapes))]
		fleet := newModelledFleet(random, shape.nodes, retry.Allowance{Ratio: 0.2, Base: shape.base, Window: modelWindow})
		failing := 0.0
		for range 6 * windowSteps {
			switch random.IntN(120) {
			case 0:
				fleet.restart(random.Float64(), time.Duration(random.IntN(3000))*time.Millisecond)
			case 1:
				for _, node := range fleet.nodes {
					node.weight = random.ExpFloat64() * random.ExpFloat64()
				}
			case 2, 3, 4:
				failing = random.Float64()
			case 5, 6, 7:
				fleet.makeLate(random)
			}
			fleet.step(shape.rate, failing)
		}
		highest, at := fleet.maxUse()
		if highest > maxAllowedUse {
			t.Errorf("seed %d, %d nodes, %.0f requests/s: %.3f of the allowance used in the window from %v on", seed, shape.nodes, shape.rate, highest, time.Duration(at)*modelStep)
		}
	}
}
