package gateway

import (
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/catalogue"
	"hazelslip/internal/state/configuration"
)

// A node starts again and is told of the servers some ten milliseconds before it has the
// configuration. Requests that waited for it were let go at the first of the two, and
// refused for want of the second.
func TestNodeKnowsEnoughOnlyWithBoth(t *testing.T) {
	expect := gomega.NewWithT(t)
	node := idleNode(t)
	rows := []catalogue.Numbered{{Row: catalogue.Row{Server: "l-1", Address: "l-1:1", Service: "ledger", Slots: 6}}}
	node.peers.rows.Store(&rows)
	node.updateTargets()
	expect.Expect(node.known).NotTo(gomega.BeClosed())
	node.configuration.StoreIfNewer(&configuration.Configuration{Version: 1})
	node.updateTargets()
	expect.Expect(node.known).To(gomega.BeClosed())
}
