package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/ratelimit"
)

// limitedBoard is a board of two heads, of which a names a limit of two a second.
func limitedBoard() (*dispatch.Board, *ratelimit.Limits, *time.Duration) {
	at := time.Minute
	now := func() time.Duration { return at }
	limits := ratelimit.New(ratelimit.Clock(now))
	draw := rand.New(rand.NewPCG(1, 1))
	board := dispatch.New(dispatch.Clock(now), dispatch.Random(draw.IntN), dispatch.Notices(notice.New(limits)))
	board.Update(map[string][]dispatch.Spec{pool: {head("a"), head("b")}})
	limits.HandleResponse(ratelimit.Run{Server: "a"}, ratelimit.Response{HasLimit: true, Rate: 2})
	return board, limits, &at
}

func home(ratelimit.Run) ratelimit.PermitSource {
	return ratelimit.PermitSource{Issuer: true, Share: 1}
}

// Guards against calls that wait for a server that names a limit while another has places.
func TestCallsGoElsewhereBeforeALimitIsReached(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, limits, at := limitedBoard()
	chosen := map[string]int{}
	for range 500 {
		*at += 20 * time.Millisecond
		limits.Refresh(home)
		target, verdict := board.Pick(pool, dispatch.Wish{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		chosen[target.ID]++
	}
	expect.Expect(chosen["a"]).To(gomega.BeNumerically("~", 20, 4), "two a second for ten seconds")
}

// Guards against a limited server that is taken for full, or full ones for limited.
func TestOnlyLimitedServersAreWaitedFor(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, _, _ := limitedBoard()
	target, verdict := board.Pick(pool, dispatch.Wish{Exclude: []string{"b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Limited))
	expect.Expect(target.ID).To(gomega.Equal("a"))
	_, verdict = board.Pick(pool, dispatch.Wish{Exclude: []string{"a", "b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.None))
	board.PeerLoads(map[string]dispatch.Share{"a": {Calls: 16}, "b": {Calls: 16}})
	_, verdict = board.Pick(pool, dispatch.Wish{})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Full))
}

// Guards against groups that are planned as if a limited one had all its places.
func TestLimitedServerCountsWithThePlacesThatItUses(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, limits, _ := limitedBoard()
	board.PeerLoads(map[string]dispatch.Share{"a": {Calls: 3}})
	expect.Expect(board.Occupancy(pool)).To(gomega.Equal(dispatch.Occupancy{Targets: 2, Places: 19, Taken: 3, Limit: 2}))
	limits.Merge(ratelimit.Limit{Run: ratelimit.Run{Server: "a"}, Version: 9, Ended: true})
	expect.Expect(board.Occupancy(pool)).To(gomega.Equal(dispatch.Occupancy{Targets: 2, Places: 32, Taken: 3}))
}
