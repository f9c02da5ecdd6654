package formation

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/roster"
)

// form makes a group of free servers.
func (former *Former) form(term int64, service Service, modelName string, members []string) {
	epoch, name := former.epoch(term)
	group := Group{Name: name, Epoch: epoch, Service: service.Name, Model: modelName, Members: members}
	former.mu.Lock()
	former.forming[name] = group
	former.mu.Unlock()
	defer func() {
		former.mu.Lock()
		delete(former.forming, name)
		former.mu.Unlock()
	}()
	reports, ok := former.usable(members)
	if !ok || !former.joinAll(term, group, reports) || !former.awaitReady(service, group, reports) {
		former.abandon(term, group)
		return
	}
	former.open(term, group)
}

// usable asks servers that are to form a group, and says whether all of them
// may.
func (former *Former) usable(members []string) ([]answered, bool) {
	reports := former.ask(members)
	all := true
	for number, answer := range reports {
		refused := errors.Is(answer.err, ErrRefused)
		if answer.err != nil && !refused {
			former.markLost(members[number])
			all = false
			continue
		}
		if refused || !former.mayJoin(&answer.report) {
			// What it reports, or the list, is behind; it shows soon what the server
			// is doing.
			former.settle(members[number])
			all = false
		}
	}
	return reports, all
}

// mayJoin says whether a server is in no group that may serve or come to serve. A
// server that only has a model loaded onto its host is busy too, and may join. A
// report that still shows a group whose head is known to have left it is behind.
func (former *Former) mayJoin(report *Report) bool {
	membership := report.Group
	if former.hasLeft(membership.Name) {
		return true
	}
	if membership.Name != "" && !former.View.Free(membership.Name) {
		return false
	}
	switch membership.State {
	case roster.Open, roster.Closing:
		return false
	case roster.Joining:
		return !report.Busy
	}
	return true
}

func (former *Former) hasLeft(group string) bool {
	former.mu.Lock()
	defer former.mu.Unlock()
	return former.left[group]
}

// joinAll orders every member to join, all at once.
func (former *Former) joinAll(term int64, group Group, reports []answered) bool {
	joined := make([]bool, len(reports))
	waiters := conc.WaitGroup{}
	for number, answer := range reports {
		waiters.Go(func() { joined[number] = former.join(term, group, answer) })
	}
	waiters.Wait()
	for _, ok := range joined {
		if !ok {
			return false
		}
	}
	return true
}

func (former *Former) join(term int64, group Group, member answered) bool {
	order := Order{
		Kind: Join, Group: group.Name, Epoch: group.Epoch, Model: group.Model, Members: group.Members,
		Term: term, Expected: member.report.Orders,
	}
	result, err := former.give(member.server, order)
	if err == nil && result.Taken() {
		return true
	}
	if err == nil && result != Conflict {
		return false
	}
	// The answer was lost, an earlier try of the same order was taken after all, or
	// the count of orders in the report was behind: the server itself tells, when
	// its report has caught up.
	former.Sleep(settleFor)
	again := former.ask([]string{member.server.ID})[0]
	if again.err != nil {
		return false
	}
	if again.report.Group.Name == group.Name {
		return true
	}
	if again.report.Orders == order.Expected || !former.mayJoin(&again.report) {
		return false
	}
	order.Expected = again.report.Orders
	result, err = former.give(member.server, order)
	return err == nil && result.Taken()
}

// awaitReady looks at the members until all are ready under the group's name
// and epoch.
func (former *Former) awaitReady(service Service, group Group, reports []answered) bool {
	model, _ := service.Engine.Model(group.Model)
	pause := firstLook
	expected := model.WarmupTime
	for _, answer := range reports {
		if !slices.Contains(answer.report.Staged, group.Model) {
			expected = model.LoadTime
		}
	}
	deadline := former.Now() + expected + joinMost
	failed := map[string]int{}
	waiting := group.Members
	for former.Now() < deadline && former.Sleep(pause) {
		waiting = former.notReady(group, waiting, failed)
		if waiting == nil {
			return false
		}
		if len(waiting) == 0 {
			return true
		}
		pause = nextLook
	}
	return false
}

const (
	// firstLook is when a member whose last group had the model is ready, and
	// nextLook how often the others are asked.
	firstLook = 220 * time.Millisecond
	nextLook  = 150 * time.Millisecond
)

// notReady returns the members that are still joining, nil if the group can't
// come about.
func (former *Former) notReady(group Group, ids []string, failed map[string]int) []string {
	waiting := []string{}
	for number, answer := range former.ask(ids) {
		id := ids[number]
		membership := answer.report.Group
		switch {
		case answer.err != nil:
			failed[id]++
			if failed[id] >= looksWhileJoining {
				former.markLost(id)
				return nil
			}
			waiting = append(waiting, id)
		case membership.Name != group.Name || membership.Epoch != group.Epoch || membership.State == roster.Broken:
			return nil
		case membership.State == roster.Joining:
			failed[id] = 0
			waiting = append(waiting, id)
		}
	}
	return waiting
}

// abandon gives up a group that was never opened. Its head leaves it all the
// same before its members are used: another node may see the group ready and
// open it.
func (former *Former) abandon(term int64, group Group) {
	former.Counts.Abandoned.Add(1)
	former.Logger.Warn("former: a group could not be formed.", "Group", group.Name, "Model", group.Model, "Members", group.Members)
	former.end(term, group, nil)
}

// open tells the head of a ready group to serve, and makes the group known
// when it does.
func (former *Former) open(term int64, group Group) {
	head, ok := former.Servers().Servers[group.Head()]
	if !ok {
		return
	}
	result, err := former.give(head, Order{Kind: Open, Group: group.Name, Epoch: group.Epoch, Term: term, Expected: -1})
	if err != nil || !result.Taken() {
		// It may have been taken, so the head must have left before a member is
		// used again.
		former.end(term, group, nil)
		return
	}
	former.Counts.Formed.Add(1)
	former.Logger.Info("former: a group serves.", "Group", group.Name, "Model", group.Model, "Members", group.Members)
	if former.Sleep(former.formTime(group.Service)) {
		former.Announce(News{Change: Opened, Group: group})
	}
}

func (former *Former) formTime(name string) time.Duration {
	for _, service := range former.Services() {
		if service.Name == name {
			return service.Engine.FormationTime
		}
	}
	return 0
}

// stage loads a model onto a free server's host.
func (former *Former) stage(term int64, model string, id string) {
	server, ok := former.Servers().Servers[id]
	if !ok {
		return
	}
	former.Counts.Staged.Add(1)
	result, err := former.give(server, Order{Kind: Stage, Model: model, Term: term, Expected: -1})
	if err != nil {
		former.markLost(id)
		return
	}
	switch result {
	case Begun:
		former.awaitStaged(server, func(server *roster.Server) bool { return server.HasStaged(model) })
	case Conflict:
		// It is loading by an order of whoever gave them before. Asked again in
		// each round it would refuse each time.
		former.Sleep(conflictPause)
		former.awaitStaged(server, func(server *roster.Server) bool { return len(server.Staged) > 0 })
	}
}

// conflictPause is how long a server that refused to load is not told again.
const conflictPause = 2 * time.Second

// awaitStaged waits until the list shows what is wanted on the server's host. A
// server that started again meanwhile has given up what it was loading.
func (former *Former) awaitStaged(server *roster.Server, enough func(server *roster.Server) bool) {
	deadline := former.Now() + joinMost
	for former.Now() < deadline && former.Sleep(nextLook) {
		listed, ok := former.Servers().Servers[server.ID]
		if !ok || listed.Born != server.Born || enough(listed) {
			return
		}
	}
}
