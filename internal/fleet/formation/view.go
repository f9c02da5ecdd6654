package formation

import (
	"sort"
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/roster"
)

// Change is the kind of change that an announcement states.
type Change string

// The changes of a group, in the order in which they happen.
const (
	// Opened means that the group serves.
	Opened Change = "Opened"
	// Retired means that the group gets no new calls and finishes its current ones.
	Retired Change = "Retired"
	// Lost means that the group lost a member and its calls move to other groups.
	Lost Change = "Lost"
	// Released means that the head has left the group or no longer serves, so the members may join
	// other groups.
	Released Change = "Released"
)

// Announcement is one change of a group, published by the node that ordered it. Announcements are a
// second or two ahead of the server list.
type Announcement struct {
	Change Change
	Group  Group
}

const (
	// announcementRelayTime is how long an announcement is relayed to peers.
	announcementRelayTime = 3 * time.Second
	// announcedServingTTL is how long a group counts as serving by its announcement alone. It is
	// measured against the time at which the server list was read: a list that is newer by this
	// much shows the group if it exists. While the registry can't be read, the announcement stays
	// valid.
	announcedServingTTL = 5 * time.Second
	// endedGroupTTL is how long the names of ended groups are kept. Names are not reused, and the
	// server list drops a group within seconds.
	endedGroupTTL = 2 * time.Minute
)

// receivedAnnouncement is an announcement as this node received it.
type receivedAnnouncement struct {
	Announcement
	receivedAt time.Duration
	// memberStarts is when each member's process started, as listed when the announcement arrived.
	memberStarts map[string]int64
}

// View holds what a node knows about groups.
type View struct {
	now clock.Now
	// servers returns the server list. It is nil for a view without a server list.
	servers func() *roster.Snapshot

	mu     sync.Mutex
	opened map[string]receivedAnnouncement
	ended  map[string]receivedAnnouncement
}

// ViewOption configures a View.
type ViewOption func(*View)

// WithServerList gives the view a server list, from which it detects that a member restarted.
func WithServerList(list func() *roster.Snapshot) ViewOption {
	return func(view *View) { view.servers = list }
}

// NewView returns a view without announcements.
func NewView(now clock.Now, options ...ViewOption) *View {
	view := &View{now: now, opened: map[string]receivedAnnouncement{}, ended: map[string]receivedAnnouncement{}}
	for _, option := range options {
		option(view)
	}
	return view
}

// memberStarts returns when the process of each listed member of a group started.
func (view *View) memberStarts(group *Group) map[string]int64 {
	if view.servers == nil {
		return nil
	}
	servers := view.servers().Servers
	starts := make(map[string]int64, len(group.Members))
	for _, id := range group.Members {
		if server, ok := servers[id]; ok {
			starts[id] = server.Born
		}
	}
	return starts
}

// membersUnchanged reports whether no member restarted since the group was announced. A restarted
// member is listed under the same ID as before, but is no longer in the group.
func (received *receivedAnnouncement) membersUnchanged(servers *roster.Snapshot) bool {
	for id, start := range received.memberStarts {
		if server, ok := servers.Servers[id]; ok && server.Born != start {
			return false
		}
	}
	return true
}

// changeOrder gives the order of the changes in a group's life.
var changeOrder = map[Change]int{Opened: 1, Retired: 2, Lost: 3, Released: 4}

// Apply applies an announcement and reports whether it was new. Announcements of one group may
// arrive in any order and repeatedly; the latest change in the group's life takes precedence.
func (view *View) Apply(announcement Announcement) bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	name := announcement.Group.Name
	previous, known := view.ended[name]
	if !known {
		previous, known = view.opened[name]
	}
	if changeOrder[announcement.Change] == 0 || (known && changeOrder[announcement.Change] <= changeOrder[previous.Change]) {
		return false
	}
	if announcement.Change == Opened {
		view.opened[name] = receivedAnnouncement{Announcement: announcement, receivedAt: view.now(), memberStarts: view.memberStarts(&announcement.Group)}
		return true
	}
	view.ended[name] = receivedAnnouncement{Announcement: announcement, receivedAt: view.now()}
	delete(view.opened, name)
	return true
}

// HasEnded reports whether the group is known to have been retired, lost or released.
func (view *View) HasEnded(group string) bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	_, ended := view.ended[group]
	return ended
}

// IsRetired reports whether the group's latest known change is Retired.
func (view *View) IsRetired(group string) bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.ended[group].Change == Retired
}

// MembersFree reports whether the members of the group may join other groups.
func (view *View) MembersFree(group string) bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.ended[group].Change == Released
}

// RecentAnnouncements returns the announcements to relay to peers, and drops expired ones.
func (view *View) RecentAnnouncements() []Announcement {
	view.mu.Lock()
	defer view.mu.Unlock()
	now := view.now()
	recent := []Announcement{}
	for name, received := range view.ended {
		switch {
		case now-received.receivedAt < announcementRelayTime:
			recent = append(recent, received.Announcement)
		case now-received.receivedAt > endedGroupTTL:
			delete(view.ended, name)
		}
	}
	for _, received := range view.opened {
		if now-received.receivedAt < announcementRelayTime {
			recent = append(recent, received.Announcement)
		}
	}
	return recent
}

// ListedGroup is a group as the server list shows it.
type ListedGroup struct {
	Group
	// ByRank holds the listed members by rank, nil for a missing one.
	ByRank []*roster.Server
	Size   int
}

// Complete reports whether all members are listed.
func (listed *ListedGroup) Complete() bool {
	if len(listed.ByRank) != listed.Size {
		return false
	}
	for _, server := range listed.ByRank {
		if server == nil {
			return false
		}
	}
	return true
}

// HeadState returns the state of the head, or "" if the head is not listed.
func (listed *ListedGroup) HeadState() string {
	if len(listed.ByRank) == 0 || listed.ByRank[0] == nil {
		return ""
	}
	return listed.ByRank[0].Group.State
}

// AllInState reports whether every member up to the highest listed rank is listed and in the state.
func (listed *ListedGroup) AllInState(state string) bool {
	for _, server := range listed.ByRank {
		if server == nil || server.Group.State != state {
			return false
		}
	}
	return true
}

// Draining reports whether a listed member is draining.
func (listed *ListedGroup) Draining() bool {
	for _, server := range listed.ByRank {
		if server != nil && server.Draining {
			return true
		}
	}
	return false
}

// ListedGroups returns the groups that the server list shows, sorted by name.
func ListedGroups(servers *roster.Snapshot, services []Service) []*ListedGroup {
	found := map[string]*ListedGroup{}
	for _, service := range services {
		for _, server := range servers.ByService[service.Name] {
			if server.Group.Name != "" {
				addToListedGroup(found, service, server)
			}
		}
	}
	groups := make([]*ListedGroup, 0, len(found))
	for _, listed := range found {
		groups = append(groups, listed)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}

func addToListedGroup(found map[string]*ListedGroup, service Service, server *roster.Server) {
	membership := server.Group
	listed, ok := found[membership.Name]
	if !ok {
		listed = &ListedGroup{Group: Group{Name: membership.Name, Epoch: membership.Epoch, Service: service.Name}}
		found[membership.Name] = listed
	}
	for len(listed.ByRank) <= membership.Rank {
		listed.ByRank = append(listed.ByRank, nil)
		listed.Members = append(listed.Members, "")
	}
	listed.ByRank[membership.Rank] = server
	listed.Members[membership.Rank] = server.ID
	if model, ok := service.Engine.Model(server.Model); ok {
		listed.Model = model.Name
		listed.Size = model.Size
	}
}

// Serving returns the groups that accept calls: the complete listed groups with an open head that
// is not draining, and the groups that were announced as opened, without the groups that have
// ended.
func (view *View) Serving(servers *roster.Snapshot, services []Service) []Group {
	serving := []Group{}
	seen := map[string]bool{}
	for _, listed := range ListedGroups(servers, services) {
		if listed.HeadState() != roster.Open || !listed.Complete() || view.HasEnded(listed.Name) {
			continue
		}
		if listed.ByRank[0].Draining {
			continue
		}
		seen[listed.Name] = true
		serving = append(serving, listed.Group)
	}
	for _, group := range view.announcedServing(servers) {
		if !seen[group.Name] && isConsistentWithList(&group, servers) {
			serving = append(serving, group)
		}
	}
	return serving
}

// announcedServing returns the groups that count as serving by their announcements, in addition to
// the listed ones.
func (view *View) announcedServing(servers *roster.Snapshot) []Group {
	view.mu.Lock()
	defer view.mu.Unlock()
	groups := []Group{}
	for name, received := range view.opened {
		if servers.ReadAt-received.receivedAt > announcedServingTTL {
			delete(view.opened, name)
			continue
		}
		if !received.membersUnchanged(servers) {
			continue
		}
		groups = append(groups, received.Group)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}

// isConsistentWithList reports whether the server list doesn't contradict the announcement of a
// group: all members are listed, the head is neither draining nor broken, and no member is in a
// later group.
func isConsistentWithList(group *Group, servers *roster.Snapshot) bool {
	for rank, id := range group.Members {
		server, ok := servers.Servers[id]
		if !ok || server.Group.Epoch > group.Epoch {
			return false
		}
		if rank == 0 && (server.Draining || server.Group.State == roster.Broken) {
			return false
		}
	}
	return len(group.Members) > 0
}
