package dispatch_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/warmup"
	"hazelslip/internal/state/storelog"
)

// drainable is a board of one head in each of two data centres.
func drainable() (*dispatch.Board, *drain.Table, *time.Duration) {
	at := time.Minute
	now := func() time.Duration { return at }
	table := drain.New(drain.Clock(now))
	board := dispatch.New(dispatch.Clock(now), dispatch.Drains(table.Status))
	one, other := head("a"), head("b")
	one.DataCentre, other.DataCentre = "north", "south"
	for _, spec := range []*dispatch.Spec{&one, &other} {
		spec.ColdBound, spec.ColdTime = warmup.Bound{PerSecond: 5}, 2*time.Second
	}
	board.Update(map[string][]dispatch.Spec{pool: {one, other}})
	return board, table, &at
}

func drainNorth(table *drain.Table, offset int64, drained bool) {
	table.Merge([]drain.Record{{DataCentre: "north", Position: storelog.Position{Offset: offset}, Drained: drained}})
}

// Guards against calls to a drained data centre that is near, and against waiting for it.
func TestTargetOfADrainedDataCentreIsNotChosen(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, table, _ := drainable()
	drainNorth(table, 1, true)
	for range 20 {
		target, verdict := board.Pick(pool, dispatch.Wish{DataCentre: "north"})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		expect.Expect(target.ID).To(gomega.Equal("b"))
	}
	_, verdict := board.Pick(pool, dispatch.Wish{Exclude: []string{"b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.None))
	expect.Expect(board.Occupancy(pool).Targets).To(gomega.Equal(1))
}

// Guards against a call that is sent since its target was chosen before the drain.
func TestCallChosenBeforeADrainIsWithheld(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, table, _ := drainable()
	target, _ := board.Pick(pool, dispatch.Wish{Exclude: []string{"b"}})
	expect.Expect(target.Admit()).To(gomega.Succeed())
	drainNorth(table, 1, true)
	expect.Expect(errors.Is(target.Admit(), notice.ErrWithheld)).To(gomega.BeTrue())
	expect.Expect(target.Admit()).To(gomega.MatchError(dispatch.ErrDrained))
}

// Guards against servers that get a rush as soon as a drain ends.
func TestServerOutOfADrainGetsFewCallsAtFirst(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, table, at := drainable()
	drainNorth(table, 1, true)
	drainNorth(table, 2, false)
	chosen := map[string]int{}
	for range 50 {
		if target, verdict := board.Pick(pool, dispatch.Wish{DataCentre: "north", Exclude: []string{"b"}}); verdict == dispatch.Chosen {
			chosen[target.ID]++
		}
	}
	expect.Expect(chosen).To(gomega.Equal(map[string]int{"a": 3}))
	*at += 2 * time.Second
	for range 50 {
		board.Pick(pool, dispatch.Wish{DataCentre: "north", Exclude: []string{"b"}})
	}
	_, verdict := board.Pick(pool, dispatch.Wish{Exclude: []string{"b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen), "it is warm")
}

// Guards against a cold server that keeps calls from the others.
func TestCallsGoElsewhereWhileAServerIsCold(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, table, _ := drainable()
	drainNorth(table, 1, true)
	drainNorth(table, 2, false)
	chosen := map[string]int{}
	for range 50 {
		target, verdict := board.Pick(pool, dispatch.Wish{DataCentre: "north"})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		chosen[target.ID]++
	}
	expect.Expect(chosen).To(gomega.Equal(map[string]int{"a": 3, "b": 47}))
}

// Guards against calls to servers outside of the regions that they are bound to.
func TestCallsStayInTheirRegions(t *testing.T) {
	expect := gomega.NewWithT(t)
	one, other := head("a"), head("b")
	one.Region, other.Region = "andes", "coast"
	board := newBoard(one, other)
	for range 20 {
		target, _ := board.Pick(pool, dispatch.Wish{Regions: []string{"coast"}})
		expect.Expect(target.ID).To(gomega.Equal("b"))
	}
	_, verdict := board.Pick(pool, dispatch.Wish{Regions: []string{"coast"}, Exclude: []string{"b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.None))
	_, verdict = board.Pick(pool, dispatch.Wish{Regions: []string{}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.None), "no region is common to all that bind it")
}
