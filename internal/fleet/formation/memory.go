package formation

import (
	"maps"
	"time"

	"hazelslip/internal/fleet/roster"
)

// rememberModels notes which model each server runs, for when it has left its
// group: the list shows a model only while it is in one, and a server starts the
// model that it ran last soonest, whatever lies on its host by then.
func (former *Former) rememberModels(servers *roster.Snapshot) {
	former.mu.Lock()
	defer former.mu.Unlock()
	if former.listed == servers {
		return
	}
	ran := make(map[string]string, len(servers.Servers))
	inList := map[string]bool{}
	for id, server := range servers.Servers {
		inList[server.Group.Name] = true
		switch server.Group.State {
		case roster.Ready, roster.Open, roster.Closing:
			ran[id] = server.Model
			continue
		}
		if former.listed == nil || former.listed.Servers[id] == nil || former.listed.Servers[id].Born == server.Born {
			ran[id] = former.ran[id]
		}
	}
	former.listed, former.ran = servers, ran
	former.forgetLocked(inList)
}

// forgetLocked drops marks that have passed and groups that the list doesn't show
// any more, so that neither grows with the servers and groups of a process's life.
func (former *Former) forgetLocked(inList map[string]bool) {
	now := former.Now()
	passed := func(_ string, mark mark) bool { return mark.until <= now }
	maps.DeleteFunc(former.lost, passed)
	maps.DeleteFunc(former.settling, passed)
	maps.DeleteFunc(former.left, func(group string, _ bool) bool { return !inList[group] })
}

// remember notes the members of complete groups, and forgets the groups that
// the list doesn't show any more.
func (former *Former) remember(listed []*Listed) {
	former.mu.Lock()
	defer former.mu.Unlock()
	whole := make(map[string]Group, len(listed))
	for _, group := range listed {
		if group.Complete() {
			whole[group.Name] = group.Group
		} else if held, ok := former.whole[group.Name]; ok {
			whole[group.Name] = held
		}
	}
	former.whole = whole
}

func (former *Former) markLost(id string) {
	former.mark(former.lost, id, lostFor)
}

// settle leaves a server alone whose report is behind.
func (former *Former) settle(id string) {
	former.mark(former.settling, id, settleFor)
}

// mark is until when a server is left alone, and in which run of its process: one
// that started again since has nothing to do with what was seen of it.
type mark struct {
	until time.Duration
	born  int64
}

func (former *Former) mark(marks map[string]mark, id string, span time.Duration) {
	made := mark{until: former.Now() + span}
	if server, ok := former.Servers().Servers[id]; ok {
		made.born = server.Born
	}
	former.mu.Lock()
	defer former.mu.Unlock()
	marks[id] = made
}

// holds says whether a mark holds for a server as it is listed now.
func (mark mark) holds(server *roster.Server, now time.Duration) bool {
	return mark.until > now && mark.born == server.Born
}
