package dispatch_test

import (
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// Guards against calls that stay queued at servers although a part of their prompt is quarantined, and against calls
// that are ended although their server has begun to answer.
func TestUnansweredCallsAreCanceledByPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		canceled := map[string]bool{}
		begin := func(name string, parts ...uint64) func() {
			call := target.Begin(1000, 1, func() { canceled[name] = true }, ignoreSuspicion, parts...)
			return call.RecordEvent
		}
		begin("queued", 7, 8)
		begin("other", 9)
		begin("answered", 8)()
		expect.Expect(board.CancelUnanswered(8)).To(gomega.Equal(1))
		expect.Expect(canceled).To(gomega.Equal(map[string]bool{"queued": true}))
	})
}
