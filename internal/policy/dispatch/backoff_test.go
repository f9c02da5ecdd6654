package dispatch_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/ratelimit"
)

// newBoardWithNotices returns a board of two heads, the statements of their servers, and the clock.
func newBoardWithNotices() (*dispatch.Board, *notice.Notices, *time.Duration) {
	at := time.Minute
	now := func() time.Duration { return at }
	notices := notice.New(ratelimit.New(ratelimit.Clock(now)), notice.Clock(now))
	board := dispatch.New(dispatch.Clock(now), dispatch.Random(func(int) int { return 0 }), dispatch.Notices(notices))
	board.Update(map[string][]dispatch.Spec{pool: {head("a"), head("b")}})
	return board, notices, &at
}

func recordBackoff(notices *notice.Notices, server string, duration time.Duration) {
	notices.HandleResponse(notices.Record(ratelimit.Run{Server: server}), notice.Response{Backoff: notice.Backoff{Span: duration}})
}

// Guards against choosing a server in its backoff because it has the fewest calls.
func TestPickSkipsServerInBackoff(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, notices, at := newBoardWithNotices()
	recordBackoff(notices, "a", 3*time.Second)
	board.SetPeerLoads(map[string]dispatch.ServerLoad{"b": {Calls: 3}})
	for *at < time.Minute+3*time.Second {
		target, verdict := board.Pick(pool, dispatch.Criteria{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		expect.Expect(target.ID).To(gomega.Equal("b"))
		*at += 100 * time.Millisecond
	}
	target, _ := board.Pick(pool, dispatch.Criteria{})
	expect.Expect(target.ID).To(gomega.Equal("a"))
}

// Guards against a call to a server in its backoff when all servers are in one, and against a result that
// doesn't say which backoff ends first.
func TestPickReturnsEarliestBackoffEnd(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, notices, at := newBoardWithNotices()
	recordBackoff(notices, "a", 3*time.Second)
	recordBackoff(notices, "b", 2*time.Second)
	target, verdict := board.Pick(pool, dispatch.Criteria{Exclude: []string{"a"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.BackedOff))
	expect.Expect(target.ID).To(gomega.Equal("b"))
	expect.Expect(target.BackoffEndsAt() - *at).To(gomega.Equal(2 * time.Second))
	expect.Expect(board.Occupancy(pool)).To(gomega.Equal(dispatch.Occupancy{}))
	*at += 2 * time.Second
	_, verdict = board.Pick(pool, dispatch.Criteria{})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
}

// Guards against BackedOff as the result, which makes callers wait for a backoff, when another server is only
// full.
func TestPickReportsFullBeforeBackedOff(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, notices, _ := newBoardWithNotices()
	recordBackoff(notices, "a", 3*time.Second)
	board.SetPeerLoads(map[string]dispatch.ServerLoad{"b": {Calls: 16}})
	_, verdict := board.Pick(pool, dispatch.Criteria{})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Full))
}

// Guards against a server's drain that is forgotten when the targets are updated or the server heads another
// group. A new run of the server takes calls again.
func TestServerDrainSurvivesRegrouping(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, notices, _ := newBoardWithNotices()
	for _, server := range []string{"a", "b"} {
		notices.HandleResponse(notices.Record(ratelimit.Run{Server: server}), notice.Response{Draining: true})
	}
	for _, group := range []string{"g1", "g2"} {
		regrouped := head("a")
		regrouped.Group = group
		board.Update(map[string][]dispatch.Spec{pool: {regrouped}})
		_, verdict := board.Pick(pool, dispatch.Criteria{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
	}
	restarted := head("a")
	restarted.Born = 9
	board.Update(map[string][]dispatch.Spec{pool: {restarted}})
	_, verdict := board.Pick(pool, dispatch.Criteria{})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
}

// Guards against a pause after a refused call that cuts short a longer pause after a lost connection.
func TestShorterAvoidKeepsLongerOne(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, _, at := newBoardWithNotices()
	target, _ := board.Pick(pool, dispatch.Criteria{})
	target.Avoid(700 * time.Millisecond)
	target.Avoid(150 * time.Millisecond)
	*at += 600 * time.Millisecond
	expect.Expect(target.Avoided(*at)).To(gomega.BeTrue())
	*at += 100 * time.Millisecond
	expect.Expect(target.Avoided(*at)).To(gomega.BeFalse())
}
