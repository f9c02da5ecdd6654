package dispatch_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/ratelimit"
)

// noticedBoard is a board of two heads, and what their servers say.
func noticedBoard() (*dispatch.Board, *notice.Notices, *time.Duration) {
	at := time.Minute
	now := func() time.Duration { return at }
	notices := notice.New(ratelimit.New(ratelimit.Clock(now)), notice.Clock(now))
	board := dispatch.New(dispatch.Clock(now), dispatch.Random(func(int) int { return 0 }), dispatch.Notices(notices))
	board.Update(map[string][]dispatch.Spec{pool: {head("a"), head("b")}})
	return board, notices, &at
}

func backoff(notices *notice.Notices, server string, span time.Duration) {
	notices.HandleResponse(notices.Record(ratelimit.Run{Server: server}), notice.Response{Backoff: notice.Backoff{Span: span}})
}

// Guards against a server in its backoff that looks empty and so is the first choice.
func TestServerInItsBackoffIsNotChosen(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, notices, at := noticedBoard()
	backoff(notices, "a", 3*time.Second)
	board.PeerLoads(map[string]dispatch.Share{"b": {Calls: 3}})
	for *at < time.Minute+3*time.Second {
		target, verdict := board.Pick(pool, dispatch.Wish{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		expect.Expect(target.ID).To(gomega.Equal("b"))
		*at += 100 * time.Millisecond
	}
	target, _ := board.Pick(pool, dispatch.Wish{})
	expect.Expect(target.ID).To(gomega.Equal("a"))
}

// Guards against a choice of the least bad, and callers that are told nothing of when to return.
func TestPoolInItsBackoffNamesTheServerThatOpensFirst(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, notices, at := noticedBoard()
	backoff(notices, "a", 3*time.Second)
	backoff(notices, "b", 2*time.Second)
	target, verdict := board.Pick(pool, dispatch.Wish{Exclude: []string{"a"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.BackedOff))
	expect.Expect(target.ID).To(gomega.Equal("b"))
	expect.Expect(target.OpensAt() - *at).To(gomega.Equal(2 * time.Second))
	expect.Expect(board.Occupancy(pool)).To(gomega.Equal(dispatch.Occupancy{}))
	*at += 2 * time.Second
	_, verdict = board.Pick(pool, dispatch.Wish{})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
}

// Guards against a server in its backoff for which callers are told to wait though another is
// only full.
func TestFullServerIsNotABackoff(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, notices, _ := noticedBoard()
	backoff(notices, "a", 3*time.Second)
	board.PeerLoads(map[string]dispatch.Share{"b": {Calls: 16}})
	_, verdict := board.Pick(pool, dispatch.Wish{})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Full))
}

// Guards against a drain that a new list of targets, or another group of the server, ends.
func TestDrainOutlivesGroups(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, notices, _ := noticedBoard()
	for _, server := range []string{"a", "b"} {
		notices.HandleResponse(notices.Record(ratelimit.Run{Server: server}), notice.Response{Draining: true})
	}
	for _, group := range []string{"g1", "g2"} {
		again := head("a")
		again.Group = group
		board.Update(map[string][]dispatch.Spec{pool: {again}})
		_, verdict := board.Pick(pool, dispatch.Wish{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.None))
	}
	born := head("a")
	born.Born = 9
	board.Update(map[string][]dispatch.Spec{pool: {born}})
	_, verdict := board.Pick(pool, dispatch.Wish{})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
}

// Guards against a pause after a refusal that cuts short a longer one after a lost connection.
func TestShorterPauseDoesNotShortenALongerOne(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, _, at := noticedBoard()
	target, _ := board.Pick(pool, dispatch.Wish{})
	target.Avoid(700 * time.Millisecond)
	target.Avoid(150 * time.Millisecond)
	*at += 600 * time.Millisecond
	expect.Expect(target.Avoided(*at)).To(gomega.BeTrue())
	*at += 100 * time.Millisecond
	expect.Expect(target.Avoided(*at)).To(gomega.BeFalse())
}
