package configuration

import (
	"testing"

	"github.com/onsi/gomega"
)

// Streams must not be shed by priority if the operator gave them all the same priority, and different priorities must
// be detected. Only streaming routes of the service itself count.
func TestStreamPrioritiesOfServices(t *testing.T) {
	route := func(name string, kind Kind, priority int, service string) Route {
		return Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Priority: priority, Services: []WeightedService{{Name: service, Weight: 1}}}
	}
	for _, test := range []struct {
		name        string
		routes      []Route
		prioritized bool
	}{
		{"the same priority", []Route{route("a", Streaming, 1, "drafts"), route("b", Streaming, 1, "drafts")}, false},
		{"a different priority for another service", []Route{route("a", Streaming, 1, "drafts"), route("b", Streaming, 0, "other")}, false},
		{"a different priority for a plain call", []Route{route("a", Streaming, 1, "drafts"), route("b", Idempotent, 0, "drafts")}, false},
		{"two priorities", []Route{route("a", Streaming, 1, "drafts"), route("b", Streaming, 0, "drafts")}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			table.StoreIfNewer(&Configuration{Version: 1, Routes: test.routes, Workspaces: []Workspace{{Name: "lake", Priority: 0, HasPriority: true}}})
			gomega.NewWithT(t).Expect(table.Load().PrioritizesStreams("drafts")).To(gomega.Equal(test.prioritized))
		})
	}
}
