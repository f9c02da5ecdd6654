package gateway

import (
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/catalogue"
	"hazelslip/internal/state/configuration"
)

// Guards against releasing requests that wait for the node's state too early. A restarted node receives the
// servers some ten milliseconds before the configuration. Waiting requests used to be released at the first
// of the two and were then refused for lack of the second.
func TestStateKnownNeedsServersAndConfiguration(t *testing.T) {
	expect := gomega.NewWithT(t)
	node := idleNode(t)
	rows := []catalogue.IndexedRow{{Row: catalogue.Row{Server: "l-1", Address: "l-1:1", Service: "ledger", Slots: 6}}}
	node.peers.rows.Store(&rows)
	node.updateTargets()
	expect.Expect(node.stateKnown).NotTo(gomega.BeClosed())
	node.configuration.StoreIfNewer(&configuration.Configuration{Version: 1})
	node.updateTargets()
	expect.Expect(node.stateKnown).To(gomega.BeClosed())
}
