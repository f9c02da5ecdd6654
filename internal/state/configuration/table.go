package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
)

// Snapshot is an index of one Configuration. It is immutable.
type Snapshot struct {
	Configuration *Configuration

	byHost     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	// byDigest returns the workspaces by the digests of their keys, which are computed on the first call.
	byDigest func() map[string]*Workspace
	// prioritizesStreams holds the services whose streaming routes have different priorities.
	prioritizesStreams map[string]bool
}

// newSnapshot builds the index of a configuration. Routes of a host are sorted by the length of their path prefix,
// longest first.
func newSnapshot(configuration *Configuration) *Snapshot {
	snapshot := &Snapshot{
		Configuration:      configuration,
		byHost:             map[string][]*Route{},
		services:           make(map[string]*Service, len(configuration.Services)),
		workspaces:         make(map[string]*Workspace, len(configuration.Workspaces)),
		prioritizesStreams: servicesWithStreamPriorities(configuration),
	}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		snapshot.byHost[route.Host] = append(snapshot.byHost[route.Host], route)
	}
	for _, routes := range snapshot.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for index := range configuration.Services {
		snapshot.services[configuration.Services[index].Name] = &configuration.Services[index]
	}
	for index := range configuration.Workspaces {
		workspace := &configuration.Workspaces[index]
		for _, key := range workspace.Keys {
			snapshot.workspaces[key] = workspace
		}
	}
	snapshot.byDigest = sync.OnceValue(snapshot.indexByDigest)
	return snapshot
}

// indexByDigest computes the digests of all keys.
func (snapshot *Snapshot) indexByDigest() map[string]*Workspace {
	digests := make(map[string]*Workspace, len(snapshot.workspaces))
	for key, workspace := range snapshot.workspaces {
		digests[KeyDigest(key)] = workspace
	}
	return digests
}

// KeyDigest returns the SHA-256 digest of a key in hexadecimal. Nodes identify keys to each other by this digest.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByDigest returns the workspace of the key with a digest.
func (snapshot *Snapshot) WorkspaceByDigest(digest string) (*Workspace, bool) {
	workspace, ok := snapshot.byDigest()[digest]
	return workspace, ok
}

// HasVersion reports whether the snapshot holds a version that was put in force.
func (snapshot *Snapshot) HasVersion() bool {
	return snapshot.Configuration.Version > 0
}

// Match returns the route of a request: among the routes of the host, the one with the longest prefix of the path. The
// path must not contain the query.
func (snapshot *Snapshot) Match(host, path string) (*Route, bool) {
	for _, route := range snapshot.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns the service with a name.
func (snapshot *Snapshot) Service(name string) (*Service, bool) {
	service, ok := snapshot.services[name]
	return service, ok
}

// Workspace returns the workspace of a key.
func (snapshot *Snapshot) Workspace(key string) (*Workspace, bool) {
	workspace, ok := snapshot.workspaces[key]
	return workspace, ok
}

// Table holds the newest version of the configuration that this process has read.
type Table struct {
	snapshot atomic.Pointer[Snapshot]
}

// NewTable returns a table without a version.
func NewTable() *Table {
	table := &Table{}
	table.snapshot.Store(newSnapshot(&Configuration{}))
	return table
}

// Load returns the snapshot of the newest version.
func (table *Table) Load() *Snapshot {
	return table.snapshot.Load()
}

// StoreIfNewer puts a version in force if it is newer than the current one, and reports whether it did. A version from
// a stale read of the store or from a lagging peer must not replace a newer one. Otherwise, a caller whose key was
// revoked would be admitted again.
func (table *Table) StoreIfNewer(configuration *Configuration) bool {
	candidate := newSnapshot(configuration)
	for {
		current := table.snapshot.Load()
		if configuration.Version <= current.Configuration.Version {
			return false
		}
		if table.snapshot.CompareAndSwap(current, candidate) {
			return true
		}
	}
}

// servicesWithStreamPriorities returns the services whose streaming routes have different priorities. It ignores the
// priorities of workspaces, which rank the callers of one kind of stream at the servers.
func servicesWithStreamPriorities(configuration *Configuration) map[string]bool {
	priorities, found := map[string]int{}, map[string]bool{}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		if route.Kind != Streaming {
			continue
		}
		for _, service := range route.Services {
			priority, known := priorities[service.Name]
			if !known {
				priorities[service.Name] = route.Priority
			}
			found[service.Name] = found[service.Name] || (known && priority != route.Priority)
		}
	}
	return found
}

// PrioritizesStreams reports whether the streaming routes of a service have different priorities.
func (snapshot *Snapshot) PrioritizesStreams(service string) bool {
	return snapshot.prioritizesStreams[service]
}
