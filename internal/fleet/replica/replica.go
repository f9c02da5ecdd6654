// Package replica forms groups of backend servers that serve one model replica, determines which groups serve, and
// retires groups that cannot.
//
// A group serves only while each member has a fresh report that names the group, the same members and the state
// ready. Nothing else makes a group serve: neither a record in the log nor a node that remembers having formed the
// group. A server reports one group at a time, so no server can be in two serving groups, and a stale order causes
// downtime of at most one group.
//
// # Usage
//
//	snapshot := replica.Assemble(table.Snapshot(), now)
//	for _, group := range snapshot.Groups {
//		if group.Serving { ... }
//	}
package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/peer/engine"
)

// StaleAfter is the age at which a member's report stops counting. It allows for one read by the watcher and one pull
// by a peer, with one failed attempt of each.
const StaleAfter = 4 * time.Second

// Group is a replica group as reported by its members.
type Group struct {
	Number       uint64
	FabricDomain string
	Model        string
	Members      []string
	Leader       string
	Serving      bool
	// Draining is set when a member is leaving; the group then gets no new work.
	Draining bool
	// Loading is the number of members that are loading weights.
	Loading int
	// Missing lists the members without a fresh report that names the group.
	Missing []Missing
	// Unreachable is set when no member that belongs to the group answers.
	Unreachable bool
	// Cause says why the group is not serving.
	Cause            string
	Running          uint32
	QueuedTokens     uint32
	TokensPerSecond  uint32
	PrefillPerSecond uint32
	Concurrency      uint32
	// ReadAt is when the leader's report was requested.
	ReadAt time.Duration
}

// Missing is a member of a group that has no fresh report naming the group.
type Missing struct {
	Address string
	// UnresponsiveFor is how long the member has not answered, 0 if it answers but has departed.
	UnresponsiveFor time.Duration
	// Departed is set when the member answers but is not in the group as the group's other members report it.
	Departed bool
}

// Snapshot holds all groups, and the servers that are in none. It is immutable.
type Snapshot struct {
	Groups []*Group
	// Free lists by domain the servers that are idle, have a fresh report and are not leaving.
	Free map[string][]fabric.ServerStatus
	// IdleServers is the number of healthy servers outside serving groups, by domain.
	IdleServers map[string]int
	// Violations lists broken invariants; it must always be empty.
	Violations []string
}

// AcceptingGroups returns the groups that accept new work: groups that serve, have no leaving member and are not in
// retiring.
func (snapshot *Snapshot) AcceptingGroups(retiring []uint64) []*Group {
	accepting := []*Group{}
	for _, group := range snapshot.Groups {
		if group.Serving && !group.Draining && !slices.Contains(retiring, group.Number) {
			accepting = append(accepting, group)
		}
	}
	return accepting
}

// Find returns the group with the given number.
func (snapshot *Snapshot) Find(number uint64) (*Group, bool) {
	for _, group := range snapshot.Groups {
		if group.Number == number {
			return group, true
		}
	}
	return nil, false
}

// Assemble derives the groups from the reports of their members.
func Assemble(statuses *fabric.Snapshot, now time.Duration) *Snapshot {
	snapshot := &Snapshot{Free: map[string][]fabric.ServerStatus{}, IdleServers: map[string]int{}}
	for _, domain := range statuses.DomainNames() {
		assembleDomain(snapshot, domain, statuses.Domains[domain], now)
	}
	slices.SortFunc(snapshot.Groups, func(a, b *Group) int {
		return strings.Compare(fmt.Sprintf("%s/%020d", a.FabricDomain, a.Number), fmt.Sprintf("%s/%020d", b.FabricDomain, b.Number))
	})
	checkInvariants(snapshot)
	return snapshot
}

func assembleDomain(snapshot *Snapshot, domain string, servers []fabric.ServerStatus, now time.Duration) {
	byAddress := map[string]*fabric.ServerStatus{}
	groups := map[uint64]*Group{}
	for index := range servers {
		server := &servers[index]
		byAddress[server.Address] = server
		if server.RequestedAt != 0 && server.Report.Group != 0 && groups[server.Report.Group] == nil {
			groups[server.Report.Group] = &Group{
				Number: server.Report.Group, FabricDomain: domain, Model: server.Report.Model, Members: server.Report.Members,
			}
		}
		if healthy(server, now) && server.Report.Group == 0 && !server.Leaving() {
			snapshot.Free[domain] = append(snapshot.Free[domain], *server)
		}
	}
	serving := 0
	for _, group := range groups {
		group.evaluate(byAddress, now)
		if group.Unreachable && group.superseded() {
			continue
		}
		snapshot.Groups = append(snapshot.Groups, group)
		if group.Serving {
			serving += len(group.Members)
		}
	}
	for index := range servers {
		if healthy(&servers[index], now) {
			snapshot.IdleServers[domain]++
		}
	}
	snapshot.IdleServers[domain] = max(0, snapshot.IdleServers[domain]-serving)
}

// healthy reports whether the server answered the last read and has a fresh report.
func healthy(server *fabric.ServerStatus, now time.Duration) bool {
	return server.UnresponsiveSince == 0 && server.Age(now) < StaleAfter
}

// evaluate determines whether the group serves, and if not, why.
func (group *Group) evaluate(servers map[string]*fabric.ServerStatus, now time.Duration) {
	causes := []string{}
	group.Unreachable = true
	for _, address := range group.Members {
		server, known := servers[address]
		missing, cause := group.evaluateMember(address, server, known, now)
		if cause != "" {
			causes = append(causes, cause)
		}
		if missing != nil {
			group.Missing = append(group.Missing, *missing)
		}
		if known && server.Leaving() {
			group.Draining = true
		}
		if known && healthy(server, now) && server.Report.Group == group.Number {
			group.Unreachable = false
		}
	}
	if len(group.Members) == 0 {
		causes = append(causes, "the group has no members")
	} else {
		group.copyLeaderReport(servers[group.Members[0]])
	}
	group.Cause = strings.Join(causes, "; ")
	group.Serving = len(causes) == 0
}

// superseded reports whether a member has moved on. An unreachable group with such a member exists only in the last
// report of a server that has not answered since.
func (group *Group) superseded() bool {
	return slices.ContainsFunc(group.Missing, func(missing Missing) bool { return missing.Departed })
}

// evaluateMember returns why a member keeps the group from serving, and an entry for Group.Missing if the member has no
// fresh report naming the group. A member that is loading weights is not missing.
func (group *Group) evaluateMember(address string, server *fabric.ServerStatus, known bool, now time.Duration) (*Missing, string) {
	switch {
	case !known || server.RequestedAt == 0:
		return &Missing{Address: address, UnresponsiveFor: StaleAfter}, fmt.Sprintf("member %s was never read", address)
	case server.UnresponsiveSince != 0:
		unresponsive := now - server.UnresponsiveSince
		return &Missing{Address: address, UnresponsiveFor: unresponsive}, fmt.Sprintf("member %s does not answer", address)
	case server.Age(now) >= StaleAfter:
		// No read has failed. The age of the report only shows that nobody has read a newer one.
		return &Missing{Address: address, UnresponsiveFor: StaleAfter}, fmt.Sprintf("member %s has no fresh report", address)
	case server.Report.Group == 0:
		return &Missing{Address: address, Departed: true}, fmt.Sprintf("member %s is in no group", address)
	case server.Report.Group != group.Number:
		return &Missing{Address: address, Departed: true}, fmt.Sprintf("member %s is in group %d", address, server.Report.Group)
	case !slices.Equal(server.Report.Members, group.Members) || server.Report.Model != group.Model:
		return &Missing{Address: address, Departed: true}, fmt.Sprintf("member %s reports other members or another model", address)
	case server.Report.State != engine.StateReady:
		group.Loading++
		return nil, fmt.Sprintf("member %s is loading weights", address)
	}
	return nil, ""
}

// copyLeaderReport copies the load of the group from the report of its first member, the leader.
func (group *Group) copyLeaderReport(server *fabric.ServerStatus) {
	group.Leader = group.Members[0]
	if server == nil {
		return
	}
	group.Running, group.QueuedTokens = server.Report.Running, server.Report.QueuedTokens
	group.TokensPerSecond, group.PrefillPerSecond = server.Report.TokensPerSecond, server.Report.PrefillPerSecond
	group.Concurrency, group.ReadAt = server.Report.Concurrency, server.RequestedAt
}

// checkInvariants verifies that no server is in two serving groups and that no group serves with a member missing.
// Assemble guarantees both; the check detects errors in Assemble.
func checkInvariants(snapshot *Snapshot) {
	owner := map[string]uint64{}
	for _, group := range snapshot.Groups {
		if !group.Serving {
			continue
		}
		if len(group.Missing) > 0 {
			snapshot.Violations = append(snapshot.Violations, fmt.Sprintf("group %d serves although it lacks a member", group.Number))
		}
		for _, member := range group.Members {
			if other, taken := owner[member]; taken {
				snapshot.Violations = append(snapshot.Violations, fmt.Sprintf("server %s is in two serving groups, %d and %d", member, other, group.Number))
			}
			owner[member] = group.Number
		}
	}
}
