package formation

import (
	"sort"
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/roster"
)

// Change is what news of a group says.
type Change string

// The changes of a group, in the order in which they happen.
const (
	// Opened: it serves.
	Opened Change = "Opened"
	// Retired: it gets no new calls and finishes those it has.
	Retired Change = "Retired"
	// Lost: it lost a member, and its calls go on elsewhere.
	Lost Change = "Lost"
	// Released: its head has left it; its members may join other groups.
	Released Change = "Released"
)

// News is one change of a group, made known by the node that ordered it. It is
// ahead of the list of servers by a second or two.
type News struct {
	Change Change
	Group  Group
}

const (
	// newsKept is how long news is passed on to peers.
	newsKept = 3 * time.Second
	// openedTrust is how long a group counts as serving by news alone, by the
	// time of the list of servers: a list that is so much newer than the news
	// shows the group if it is there. While the registry can't be read, news
	// stays good.
	openedTrust = 5 * time.Second
	// endedKept is how long names of ended groups are remembered. Names are not
	// used again; the list forgets a group within seconds.
	endedKept = 2 * time.Minute
)

type heard struct {
	News
	at time.Duration
	// born is when each member started, as the list showed it when the news came.
	born map[string]int64
}

// View is what a node knows of groups.
type View struct {
	now clock.Now
	// servers returns the list of servers, nil where there is none.
	servers func() *roster.Snapshot

	mu     sync.Mutex
	opened map[string]heard
	ended  map[string]heard
}

// ViewOption changes how a View is built.
type ViewOption func(*View)

// Servers lets the view see when the members of a group started.
func Servers(list func() *roster.Snapshot) ViewOption {
	return func(view *View) { view.servers = list }
}

// NewView returns a view without news.
func NewView(now clock.Now, options ...ViewOption) *View {
	view := &View{now: now, opened: map[string]heard{}, ended: map[string]heard{}}
	for _, option := range options {
		option(view)
	}
	return view
}

// births is when the members of a group started, as the list shows it now.
func (view *View) births(group *Group) map[string]int64 {
	if view.servers == nil {
		return nil
	}
	servers := view.servers().Servers
	born := make(map[string]int64, len(group.Members))
	for _, id := range group.Members {
		if server, ok := servers[id]; ok {
			born[id] = server.Born
		}
	}
	return born
}

// stands says whether no member started again since the group was opened: under
// its ID it is listed as before, and knows nothing of the group.
func (held *heard) stands(servers *roster.Snapshot) bool {
	for id, born := range held.born {
		if server, ok := servers.Servers[id]; ok && server.Born != born {
			return false
		}
	}
	return true
}

// stages puts the changes of a group in order.
var stages = map[Change]int{Opened: 1, Retired: 2, Lost: 3, Released: 4}

// Learn takes news and says whether it was new. News of one group may come in
// any order and more than once; what comes later in a group's life wins.
func (view *View) Learn(news News) bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	name := news.Group.Name
	held, known := view.ended[name]
	if !known {
		held, known = view.opened[name]
	}
	if stages[news.Change] == 0 || (known && stages[news.Change] <= stages[held.Change]) {
		return false
	}
	if news.Change == Opened {
		view.opened[name] = heard{News: news, at: view.now(), born: view.births(&news.Group)}
		return true
	}
	view.ended[name] = heard{News: news, at: view.now()}
	delete(view.opened, name)
	return true
}

// Ended says whether the group is known to have ended.
func (view *View) Ended(group string) bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	_, ended := view.ended[group]
	return ended
}

// Retired says whether the group finishes what it has, as far as is known.
func (view *View) Retired(group string) bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.ended[group].Change == Retired
}

// Free says whether members of the group may join others.
func (view *View) Free(group string) bool {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.ended[group].Change == Released
}

// Recent returns the news to pass on to peers.
func (view *View) Recent() []News {
	view.mu.Lock()
	defer view.mu.Unlock()
	now := view.now()
	recent := []News{}
	for name, held := range view.ended {
		switch {
		case now-held.at < newsKept:
			recent = append(recent, held.News)
		case now-held.at > endedKept:
			delete(view.ended, name)
		}
	}
	for _, held := range view.opened {
		if now-held.at < newsKept {
			recent = append(recent, held.News)
		}
	}
	return recent
}

// Listed is a group as the list of servers shows it.
type Listed struct {
	Group
	// ByRank holds the members that the list shows, nil where one is missing.
	ByRank []*roster.Server
	Size   int
}

// Complete says whether the list shows all members.
func (listed *Listed) Complete() bool {
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

// HeadState is the state of the head, empty if the list doesn't show it.
func (listed *Listed) HeadState() string {
	if len(listed.ByRank) == 0 || listed.ByRank[0] == nil {
		return ""
	}
	return listed.ByRank[0].Group.State
}

// All says whether every member that the list shows is in the state.
func (listed *Listed) All(state string) bool {
	for _, server := range listed.ByRank {
		if server == nil || server.Group.State != state {
			return false
		}
	}
	return true
}

// Draining says whether a member that the list shows is leaving.
func (listed *Listed) Draining() bool {
	for _, server := range listed.ByRank {
		if server != nil && server.Draining {
			return true
		}
	}
	return false
}

// List gathers the groups that the list of servers shows, by name.
func List(servers *roster.Snapshot, services []Service) []*Listed {
	found := map[string]*Listed{}
	for _, service := range services {
		for _, server := range servers.ByService[service.Name] {
			if server.Group.Name != "" {
				gather(found, service, server)
			}
		}
	}
	groups := make([]*Listed, 0, len(found))
	for _, listed := range found {
		groups = append(groups, listed)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}

func gather(found map[string]*Listed, service Service, server *roster.Server) {
	membership := server.Group
	listed, ok := found[membership.Name]
	if !ok {
		listed = &Listed{Group: Group{Name: membership.Name, Epoch: membership.Epoch, Service: service.Name}}
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

// Serving returns the groups that take calls: those that the list shows whole
// with an open head, and those that news says were opened, less those that
// ended.
func (view *View) Serving(servers *roster.Snapshot, services []Service) []Group {
	serving := []Group{}
	seen := map[string]bool{}
	for _, listed := range List(servers, services) {
		if listed.HeadState() != roster.Open || !listed.Complete() || view.Ended(listed.Name) {
			continue
		}
		if listed.ByRank[0].Draining {
			continue
		}
		seen[listed.Name] = true
		serving = append(serving, listed.Group)
	}
	for _, group := range view.fresh(servers) {
		if !seen[group.Name] && plausible(&group, servers) {
			serving = append(serving, group)
		}
	}
	return serving
}

// fresh returns the groups that count as serving by news, beside a list.
func (view *View) fresh(servers *roster.Snapshot) []Group {
	view.mu.Lock()
	defer view.mu.Unlock()
	groups := []Group{}
	for name, held := range view.opened {
		if servers.ReadAt-held.at > openedTrust {
			delete(view.opened, name)
			continue
		}
		if !held.stands(servers) {
			continue
		}
		groups = append(groups, held.Group)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}

// plausible says whether nothing in the list speaks against a group that news
// says was opened: all members are there, the head isn't leaving, and no member
// is in a later group.
func plausible(group *Group, servers *roster.Snapshot) bool {
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
