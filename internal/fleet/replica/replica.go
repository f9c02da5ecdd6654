// Package replica forms replica groups, tells which of them serve, and takes
// apart those that cannot.
//
// A group serves only while the fresh report of each of its members names the
// group, the same members, and readiness. Nothing else makes a group serve:
// not a record on the log, not a node that remembers having formed it. A server
// reports one group at a time, so no server can be in two serving groups, and a
// stale order costs downtime of one group at most.
//
// # Usage
//
//	snapshot := replica.Assemble(facts.Snapshot(), now)
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

// StaleAfter is the age at which a member's report no longer counts. It leaves
// room for one reading, one pull by a peer and one lost try of each.
const StaleAfter = 4 * time.Second

// Group is one replica group as the members' reports show it.
type Group struct {
	Number       uint64
	FabricDomain string
	Model        string
	Members      []string
	Leader       string
	Serving      bool
	// Draining marks a group with a leaving member: it gets no new work.
	Draining bool
	// Loading counts the members that load weights.
	Loading int
	// Missing lists the members without a fresh report that names the group.
	Missing []Missing
	// Dark marks a group of which no member answers.
	Dark bool
	// Cause says why the group is not serving.
	Cause            string
	Running          uint32
	QueuedTokens     uint32
	TokensPerSecond  uint32
	PrefillPerSecond uint32
	Concurrency      uint32
	// ReadAt is when the leader's report was asked for.
	ReadAt time.Duration
}

// Missing is one member that a group lacks.
type Missing struct {
	Address string
	// Silent is how long it has not answered; 0 where it answers but is
	// elsewhere.
	Silent time.Duration
	// Elsewhere marks a member that answers and is not in the group.
	Elsewhere bool
}

// Snapshot is every group and every server outside one. It never changes.
type Snapshot struct {
	Groups []*Group
	// Free holds by domain the servers that are idle, fresh and not leaving.
	Free map[string][]fabric.Fact
	// Stranded counts by domain the healthy servers outside serving groups.
	Stranded map[string]int
	// Violations lists what must never be seen.
	Violations []string
}

// Open returns the groups that take new work: those that serve, have no leaving
// member, and are not among the numbers that are about to be retired.
func (snapshot *Snapshot) Open(retiring []uint64) []*Group {
	open := []*Group{}
	for _, group := range snapshot.Groups {
		if group.Serving && !group.Draining && !slices.Contains(retiring, group.Number) {
			open = append(open, group)
		}
	}
	return open
}

// Find returns the group with a number.
func (snapshot *Snapshot) Find(number uint64) (*Group, bool) {
	for _, group := range snapshot.Groups {
		if group.Number == number {
			return group, true
		}
	}
	return nil, false
}

// Assemble reads the groups off the members' reports.
func Assemble(facts *fabric.Snapshot, now time.Duration) *Snapshot {
	snapshot := &Snapshot{Free: map[string][]fabric.Fact{}, Stranded: map[string]int{}}
	for _, domain := range facts.DomainNames() {
		assembleDomain(snapshot, domain, facts.Domains[domain], now)
	}
	slices.SortFunc(snapshot.Groups, func(a, b *Group) int {
		return strings.Compare(fmt.Sprintf("%s/%020d", a.FabricDomain, a.Number), fmt.Sprintf("%s/%020d", b.FabricDomain, b.Number))
	})
	assertDisjoint(snapshot)
	return snapshot
}

func assembleDomain(snapshot *Snapshot, domain string, servers []fabric.Fact, now time.Duration) {
	byAddress := map[string]*fabric.Fact{}
	groups := map[uint64]*Group{}
	for index := range servers {
		fact := &servers[index]
		byAddress[fact.Address] = fact
		if fact.At != 0 && fact.Report.Group != 0 && groups[fact.Report.Group] == nil {
			groups[fact.Report.Group] = &Group{
				Number: fact.Report.Group, FabricDomain: domain, Model: fact.Report.Model, Members: fact.Report.Members,
			}
		}
		if healthy(fact, now) && fact.Report.Group == 0 && !fact.Leaving() {
			snapshot.Free[domain] = append(snapshot.Free[domain], *fact)
		}
	}
	serving := 0
	for _, group := range groups {
		group.judge(byAddress, now)
		if group.Dark && group.left() {
			continue
		}
		snapshot.Groups = append(snapshot.Groups, group)
		if group.Serving {
			serving += len(group.Members)
		}
	}
	for index := range servers {
		if healthy(&servers[index], now) {
			snapshot.Stranded[domain]++
		}
	}
	snapshot.Stranded[domain] = max(0, snapshot.Stranded[domain]-serving)
}

func healthy(fact *fabric.Fact, now time.Duration) bool {
	return fact.FirstMissed == 0 && fact.Age(now) < StaleAfter
}

// judge decides whether the group serves, and if not, why.
func (group *Group) judge(servers map[string]*fabric.Fact, now time.Duration) {
	causes := []string{}
	group.Dark = true
	for _, address := range group.Members {
		fact, known := servers[address]
		missing, cause := group.judgeMember(address, fact, known, now)
		if cause != "" {
			causes = append(causes, cause)
		}
		if missing != nil {
			group.Missing = append(group.Missing, *missing)
		}
		if known && fact.Leaving() {
			group.Draining = true
		}
		if known && healthy(fact, now) && fact.Report.Group == group.Number {
			group.Dark = false
		}
	}
	if len(group.Members) == 0 {
		causes = append(causes, "it has no members")
	} else {
		group.readLeader(servers[group.Members[0]])
	}
	group.Cause = strings.Join(causes, "; ")
	group.Serving = len(causes) == 0
}

// left reports whether a member has moved on. A dark group of which that is
// true is only the memory of a server that has not answered since.
func (group *Group) left() bool {
	return slices.ContainsFunc(group.Missing, func(missing Missing) bool { return missing.Elsewhere })
}

func (group *Group) judgeMember(address string, fact *fabric.Fact, known bool, now time.Duration) (*Missing, string) {
	switch {
	case !known || fact.At == 0:
		return &Missing{Address: address, Silent: StaleAfter}, fmt.Sprintf("member %s was never read", address)
	case fact.FirstMissed != 0:
		silent := now - fact.FirstMissed
		return &Missing{Address: address, Silent: silent}, fmt.Sprintf("member %s does not answer", address)
	case fact.Age(now) >= StaleAfter:
		return &Missing{Address: address, Silent: fact.Age(now)}, fmt.Sprintf("member %s has no fresh report", address)
	case fact.Report.Group == 0:
		return &Missing{Address: address, Elsewhere: true}, fmt.Sprintf("member %s is in no group", address)
	case fact.Report.Group != group.Number:
		return &Missing{Address: address, Elsewhere: true}, fmt.Sprintf("member %s is in group %d", address, fact.Report.Group)
	case !slices.Equal(fact.Report.Members, group.Members) || fact.Report.Model != group.Model:
		return &Missing{Address: address, Elsewhere: true}, fmt.Sprintf("member %s names other members", address)
	case fact.Report.State != engine.StateReady:
		group.Loading++
		return nil, fmt.Sprintf("member %s loads weights", address)
	}
	return nil, ""
}

func (group *Group) readLeader(fact *fabric.Fact) {
	group.Leader = group.Members[0]
	if fact == nil {
		return
	}
	group.Running, group.QueuedTokens = fact.Report.Running, fact.Report.QueuedTokens
	group.TokensPerSecond, group.PrefillPerSecond = fact.Report.TokensPerSecond, fact.Report.PrefillPerSecond
	group.Concurrency, group.ReadAt = fact.Report.Concurrency, fact.At
}

// assertDisjoint checks the promise that no server is in two serving groups
// and that none serves with a member missing. It holds by construction; the
// check stands guard over the construction.
func assertDisjoint(snapshot *Snapshot) {
	owner := map[string]uint64{}
	for _, group := range snapshot.Groups {
		if !group.Serving {
			continue
		}
		if len(group.Missing) > 0 {
			snapshot.Violations = append(snapshot.Violations, fmt.Sprintf("group %d serves with a member missing", group.Number))
		}
		for _, member := range group.Members {
			if other, taken := owner[member]; taken {
				snapshot.Violations = append(snapshot.Violations, fmt.Sprintf("server %s is in groups %d and %d", member, other, group.Number))
			}
			owner[member] = group.Number
		}
	}
}
