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

// newDrainableBoard returns a board of one head in each of two data centres.
func newDrainableBoard() (*dispatch.Board, *drain.Table, *time.Duration) {
	at := time.Minute
	now := func() time.Duration { return at }
	table := drain.New(drain.Clock(now))
	board := dispatch.New(dispatch.Clock(now), dispatch.Drains(table.Status))
	north, south := head("a"), head("b")
	north.DataCentre, south.DataCentre = "north", "south"
	for _, spec := range []*dispatch.Spec{&north, &south} {
		spec.ColdLimit, spec.ColdDuration = warmup.Bound{PerSecond: 5}, 2*time.Second
	}
	board.Update(map[string][]dispatch.Spec{pool: {north, south}})
	return board, table, &at
}

func setNorthDrained(table *drain.Table, offset int64, drained bool) {
	table.Apply(drain.Update{Records: []drain.Record{{DataCentre: "north", Position: storelog.Position{Offset: offset}, Drained: drained}}, End: storelog.Unknown})
}

// Guards against calls to a drained local data centre, and against waiting for its servers.
func TestPickSkipsDrainedDataCentre(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, table, _ := newDrainableBoard()
	setNorthDrained(table, 1, true)
	for range 20 {
		target, verdict := board.Pick(pool, dispatch.Criteria{DataCentre: "north"})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		expect.Expect(target.ID).To(gomega.Equal("b"))
	}
	_, verdict := board.Pick(pool, dispatch.Criteria{Exclude: []string{"b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
	expect.Expect(board.Occupancy(pool).Targets).To(gomega.Equal(1))
}

// Guards against sending a call whose target was chosen before its data centre was drained.
func TestAdmitWithholdsCallAfterDrain(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, table, _ := newDrainableBoard()
	target, _ := board.Pick(pool, dispatch.Criteria{Exclude: []string{"b"}})
	expect.Expect(target.Admit()).To(gomega.Succeed())
	setNorthDrained(table, 1, true)
	expect.Expect(errors.Is(target.Admit(), notice.ErrWithheld)).To(gomega.BeTrue())
	expect.Expect(target.Admit()).To(gomega.MatchError(dispatch.ErrDrained))
}

// Guards against a burst of calls to a server as soon as a drain ends.
func TestServerIsColdAfterDrain(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, table, at := newDrainableBoard()
	setNorthDrained(table, 1, true)
	setNorthDrained(table, 2, false)
	chosen := map[string]int{}
	for range 50 {
		if target, verdict := board.Pick(pool, dispatch.Criteria{DataCentre: "north", Exclude: []string{"b"}}); verdict == dispatch.Chosen {
			chosen[target.ID]++
		}
	}
	expect.Expect(chosen).To(gomega.Equal(map[string]int{"a": 3}))
	*at += 2 * time.Second
	for range 50 {
		board.Pick(pool, dispatch.Criteria{DataCentre: "north", Exclude: []string{"b"}})
	}
	_, verdict := board.Pick(pool, dispatch.Criteria{Exclude: []string{"b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen), "the server is warm")
}

// Guards against a cold server that keeps calls from other servers.
func TestCallsOverflowFromColdServer(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, table, _ := newDrainableBoard()
	setNorthDrained(table, 1, true)
	setNorthDrained(table, 2, false)
	chosen := map[string]int{}
	for range 50 {
		target, verdict := board.Pick(pool, dispatch.Criteria{DataCentre: "north"})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		chosen[target.ID]++
	}
	expect.Expect(chosen).To(gomega.Equal(map[string]int{"a": 3, "b": 47}))
}

// Guards against calls to servers outside the regions that the calls are confined to.
func TestPickHonoursRegions(t *testing.T) {
	expect := gomega.NewWithT(t)
	north, south := head("a"), head("b")
	north.Region, south.Region = "andes", "coast"
	board := newBoard(north, south)
	for range 20 {
		target, _ := board.Pick(pool, dispatch.Criteria{Regions: []string{"coast"}})
		expect.Expect(target.ID).To(gomega.Equal("b"))
	}
	_, verdict := board.Pick(pool, dispatch.Criteria{Regions: []string{"coast"}, Exclude: []string{"b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
	_, verdict = board.Pick(pool, dispatch.Criteria{Regions: []string{}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget), "no region is allowed")
}
