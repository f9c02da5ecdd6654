package configuration

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against streams that are shed where the operator ranked none, and against ranks that aren't seen.
func TestServicesAreRankedByTheirStreamingRoutes(t *testing.T) {
	route := func(name string, kind Kind, priority int, service string) Route {
		return Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Priority: priority, Services: []WeightedService{{Name: service, Weight: 1}}}
	}
	for _, one := range []struct {
		name   string
		routes []Route
		ranked bool
	}{
		{"one priority", []Route{route("a", Streaming, 1, "drafts"), route("b", Streaming, 1, "drafts")}, false},
		{"another service's", []Route{route("a", Streaming, 1, "drafts"), route("b", Streaming, 0, "other")}, false},
		{"a plain call's", []Route{route("a", Streaming, 1, "drafts"), route("b", Idempotent, 0, "drafts")}, false},
		{"two priorities", []Route{route("a", Streaming, 1, "drafts"), route("b", Streaming, 0, "drafts")}, true},
	} {
		t.Run(one.name, func(t *testing.T) {
			table := NewTable()
			table.Offer(&Configuration{Version: 1, Routes: one.routes, Workspaces: []Workspace{{Name: "lake", Priority: 0, HasPriority: true}}})
			gomega.NewWithT(t).Expect(table.Load().Ranked("drafts")).To(gomega.Equal(one.ranked))
		})
	}
}
