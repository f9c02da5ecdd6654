package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/member"
)

// Guards against a node that was stopped for a while and takes the duties of all other nodes, which it hasn't heard
// meanwhile.
func TestPausedNodeTakesNoDutiesOfOthers(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	table := member.New(member.Self{Incarnation: 1, DataCentre: "east", Address: "a"}, func() time.Duration { return now })
	for incarnation := range uint64(3) {
		table.RecordAnswer(member.Peer{Address: fmt.Sprint(incarnation), Incarnation: incarnation + 2, DataCentre: "east", Heard: now - time.Second})
	}
	now += 7 * time.Second
	table.RecordPause(7 * time.Second)
	table.Refresh()
	expect.Expect(table.Live()).To(gomega.HaveLen(4))
	now += 2 * time.Second
	table.Refresh()
	expect.Expect(table.Live()).To(gomega.HaveLen(1), "the silence of peers counts while the node runs")
}
