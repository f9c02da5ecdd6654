package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
)

// Snapshot is an index over one Configuration. It is never changed.
type Snapshot struct {
	Configuration *Configuration

	byHost     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	// digests are the workspaces by the digests of their keys, worked out when one is first asked for.
	digests func() map[string]*Workspace
	// ranked are the services whose streaming routes the operator gave different priorities.
	ranked map[string]bool
}

func index(configuration *Configuration) *Snapshot {
	snapshot := &Snapshot{
		Configuration: configuration,
		byHost:        map[string][]*Route{},
		services:      make(map[string]*Service, len(configuration.Services)),
		workspaces:    make(map[string]*Workspace, len(configuration.Workspaces)),
		ranked:        ranked(configuration),
	}
	for number := range configuration.Routes {
		route := &configuration.Routes[number]
		snapshot.byHost[route.Host] = append(snapshot.byHost[route.Host], route)
	}
	for _, routes := range snapshot.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for number := range configuration.Services {
		snapshot.services[configuration.Services[number].Name] = &configuration.Services[number]
	}
	for number := range configuration.Workspaces {
		workspace := &configuration.Workspaces[number]
		for _, key := range workspace.Keys {
			snapshot.workspaces[key] = workspace
		}
	}
	snapshot.digests = sync.OnceValue(snapshot.digest)
	return snapshot
}

// digest works out the digests of all keys.
func (snapshot *Snapshot) digest() map[string]*Workspace {
	digests := make(map[string]*Workspace, len(snapshot.workspaces))
	for key, workspace := range snapshot.workspaces {
		digests[KeyDigest(key)] = workspace
	}
	return digests
}

// KeyDigest is what nodes name a key by to each other: its SHA-256 in hexadecimal.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByDigest returns the workspace that holds the key with a digest.
func (snapshot *Snapshot) WorkspaceByDigest(digest string) (*Workspace, bool) {
	workspace, ok := snapshot.digests()[digest]
	return workspace, ok
}

// Known says whether any version was ever taken.
func (snapshot *Snapshot) Known() bool {
	return snapshot.Configuration.Version > 0
}

// Match returns the route of a request: the longest prefix of its path among
// the routes of its host. The path is without the query.
func (snapshot *Snapshot) Match(host, path string) (*Route, bool) {
	for _, route := range snapshot.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns the service of that name.
func (snapshot *Snapshot) Service(name string) (*Service, bool) {
	service, ok := snapshot.services[name]
	return service, ok
}

// Workspace returns the workspace that holds the key.
func (snapshot *Snapshot) Workspace(key string) (*Workspace, bool) {
	workspace, ok := snapshot.workspaces[key]
	return workspace, ok
}

// Table holds the newest version that this process has seen.
type Table struct {
	snapshot atomic.Pointer[Snapshot]
}

// NewTable returns a table that knows no version.
func NewTable() *Table {
	table := &Table{}
	table.snapshot.Store(index(&Configuration{}))
	return table
}

// Load returns the newest version.
func (table *Table) Load() *Snapshot {
	return table.snapshot.Load()
}

// Offer puts a version in force if it is newer than what the table holds, and
// says whether it did. A version from a stale read of the store or from a peer
// that lags must not undo a newer one: a caller whose key was taken away would
// be let in again.
func (table *Table) Offer(configuration *Configuration) bool {
	offered := index(configuration)
	for {
		held := table.snapshot.Load()
		if configuration.Version <= held.Configuration.Version {
			return false
		}
		if table.snapshot.CompareAndSwap(held, offered) {
			return true
		}
	}
}

// ranked returns the services whose streaming routes have different priorities. Priorities of workspaces rank callers
// of one kind of stream among each other, at the servers.
func ranked(configuration *Configuration) map[string]bool {
	first, found := map[string]int{}, map[string]bool{}
	for number := range configuration.Routes {
		route := &configuration.Routes[number]
		if route.Kind != Streaming {
			continue
		}
		for _, service := range route.Services {
			priority, known := first[service.Name]
			if !known {
				first[service.Name] = route.Priority
			}
			found[service.Name] = found[service.Name] || (known && priority != route.Priority)
		}
	}
	return found
}

// Ranked says whether the operator gave streaming routes of a service different priorities.
func (snapshot *Snapshot) Ranked(service string) bool {
	return snapshot.ranked[service]
}
