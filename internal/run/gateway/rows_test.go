package gateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/catalogue"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/configuration"
)

// Guards against calls that end, or are no longer counted, because the rows of their service vanish for a moment: with a
// version of the configuration that lacks the service, or with a list that lacks its servers.
func TestCallsOutliveVanishedRows(t *testing.T) {
	service := configuration.Service{Name: "drafts", Engine: &configuration.Engine{Slots: 8, Models: []configuration.Model{{Name: "m", Pace: 1}}, StepTime: 10 * time.Millisecond}}
	listed := []catalogue.IndexedRow{{Row: catalogue.Row{Server: "i-1", Address: "i-1:1", Group: "g-1", Service: "drafts", Model: "m", DataCentre: "east"}}}
	vanish := map[string]func(node *Node, gone bool){
		"with a configuration": func(node *Node, gone bool) {
			next := &configuration.Configuration{Version: node.configuration.Load().Configuration.Version + 1}
			if !gone {
				next.Services = []configuration.Service{service}
			}
			node.configuration.StoreIfNewer(next)
		},
		"with a list": func(node *Node, gone bool) {
			rows := listed
			if gone {
				rows = nil
			}
			node.peers.rows.Store(&rows)
		},
	}
	for name, change := range vanish {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			jumping := newJumpingClock()
			node := idleNode(t, Clock(jumping.now))
			node.configuration.StoreIfNewer(&configuration.Configuration{Version: 1, Services: []configuration.Service{service}})
			node.peers.rows.Store(&listed)
			node.updateTargets()
			target, _ := node.board.Pick("drafts/m", dispatch.Criteria{})
			disturbed := 0
			call := target.Begin(100, 0, func() { disturbed++ }, func(dispatch.Suspicion) { disturbed++ })
			for range 20 {
				change(node, true)
				node.updateTargets()
				jumping.advance(150 * time.Millisecond)
				call.RecordEvent()
				node.board.WatchGroups()
			}
			_, verdict := node.board.Pick("drafts/m", dispatch.Criteria{})
			expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
			change(node, false)
			node.updateTargets()
			expect.Expect(disturbed).To(gomega.BeZero())
			again, _ := node.board.Pick("drafts/m", dispatch.Criteria{})
			expect.Expect(again.ActiveCalls()).To(gomega.Equal(1))
			call.End()
			expect.Expect(again.ActiveCalls()).To(gomega.BeZero())
		})
	}
}
