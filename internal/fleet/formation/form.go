package formation

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/roster"
)

// formGroup forms a group of free servers.
func (controller *Controller) formGroup(term int64, service Service, modelName string, members []string) {
	epoch, name := controller.nextEpoch(term)
	group := Group{Name: name, Epoch: epoch, Service: service.Name, Model: modelName, Members: members}
	controller.mu.Lock()
	controller.forming[name] = group
	controller.mu.Unlock()
	defer func() {
		controller.mu.Lock()
		delete(controller.forming, name)
		controller.mu.Unlock()
	}()
	reports, ok := controller.requestMemberReports(members)
	if !ok {
		// No order was sent, so no member has to leave.
		controller.recordAbandoned(group)
		return
	}
	if !controller.joinAll(term, group, reports) || !controller.awaitReady(service, group, reports) {
		controller.abandonGroup(term, group)
		return
	}
	controller.openGroup(term, group)
}

func (controller *Controller) recordAbandoned(group Group) {
	controller.Counts.Abandoned.Add(1)
	controller.Logger.Warn("former: group formation failed.", "Group", group.Name, "Model", group.Model, "Members", group.Members)
}

// requestMemberReports requests reports from servers that are to form a group. The second result
// states whether all of them may join.
func (controller *Controller) requestMemberReports(members []string) ([]reportResult, bool) {
	reports := controller.requestReports(members)
	allUsable := true
	for index, result := range reports {
		refused := errors.Is(result.err, ErrRefused)
		if result.err != nil && !refused {
			controller.excludeLost(members[index])
			allUsable = false
			continue
		}
		if refused || !controller.mayJoin(&result.report) {
			// The server's report or the server list is out of date. Both catch up within the
			// short exclusion.
			controller.excludeSettling(members[index])
			allUsable = false
		}
	}
	return reports, allUsable
}

// mayJoin reports whether a server is in no group that may be serving or may come to serve. A
// server that is only staging a model reports busy too, but may join. A report that still shows a
// group whose head is known to have left it is out of date and does not count.
func (controller *Controller) mayJoin(report *Report) bool {
	membership := report.Group
	if controller.headHasLeft(membership.Name) {
		return true
	}
	if membership.Name != "" && !controller.View.MembersFree(membership.Name) {
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

func (controller *Controller) headHasLeft(group string) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.headLeft[group]
}

// joinAll orders all members to join concurrently.
func (controller *Controller) joinAll(term int64, group Group, reports []reportResult) bool {
	joined := make([]bool, len(reports))
	waiters := conc.WaitGroup{}
	for index, result := range reports {
		waiters.Go(func() { joined[index] = controller.joinMember(term, group, result) })
	}
	waiters.Wait()
	for _, ok := range joined {
		if !ok {
			return false
		}
	}
	return true
}

// joinMember orders one server to join the group and reports whether it has accepted. It sends the
// order once more if a fresh report shows that the server may still join.
func (controller *Controller) joinMember(term int64, group Group, member reportResult) bool {
	order := Order{
		Kind: Join, Group: group.Name, Epoch: group.Epoch, Model: group.Model, Members: group.Members,
		Term: term, Expected: member.report.Orders,
	}
	result, err := controller.sendOrder(member.server, order)
	if err == nil && result.Taken() {
		return true
	}
	if err == nil && result != Conflict {
		return false
	}
	// The reply was lost, an earlier attempt of the same order was accepted after all, or the
	// count of orders in the report was out of date. A fresh report tells these cases apart once
	// it has caught up.
	controller.Sleep(settlingExclusion)
	fresh := controller.requestReports([]string{member.server.ID})[0]
	if fresh.err != nil {
		return false
	}
	if fresh.report.Group.Name == group.Name {
		return true
	}
	if fresh.report.Orders == order.Expected || !controller.mayJoin(&fresh.report) {
		return false
	}
	order.Expected = fresh.report.Orders
	result, err = controller.sendOrder(member.server, order)
	return err == nil && result.Taken()
}

// awaitReady polls the members until all are ready under the group's name and epoch.
func (controller *Controller) awaitReady(service Service, group Group, reports []reportResult) bool {
	model, _ := service.Engine.Model(group.Model)
	pause := firstReadyPoll
	expected := model.WarmupTime
	for _, result := range reports {
		if !slices.Contains(result.report.Staged, group.Model) {
			expected = model.LoadTime
		}
	}
	deadline := controller.Now() + expected + joinGrace
	judge := newJudge(controller.Bounds.StallTimeout, firstReadyPoll)
	waiting := group.Members
	for controller.Now() < deadline && controller.Sleep(pause) {
		waiting = controller.notReady(group, waiting, judge)
		if waiting == nil {
			return false
		}
		if len(waiting) == 0 {
			return true
		}
		pause = readyPollInterval
	}
	return false
}

const (
	// firstReadyPoll is the delay before the first poll: a member whose previous group ran the
	// same model is ready by then. readyPollInterval is the interval of the further polls.
	firstReadyPoll    = 220 * time.Millisecond
	readyPollInterval = 150 * time.Millisecond
)

// notReady returns the members that are still joining, or nil if the group can't become ready. A member that
// doesn't reply may only be paused, and goes on with its load after that.
func (controller *Controller) notReady(group Group, ids []string, judge *judge) []string {
	waiting := []string{}
	asked, answers := controller.requestRound(group, ids)
	judge.decide(asked)
	for index, answer := range answers {
		id := ids[index]
		switch answer.Response {
		case NotInGroup, OtherRun:
			return nil
		case InGroup:
			if answer.report.Group.Epoch != group.Epoch {
				return nil
			}
			if answer.report.Group.State == roster.Joining {
				waiting = append(waiting, id)
			}
		case RequestRefused:
			waiting = append(waiting, id)
		default:
			if judge.isLost(id) || judge.isOverdue(id) {
				controller.excludeLost(id)
				return nil
			}
			waiting = append(waiting, id)
		}
	}
	return waiting
}

// abandonGroup ends a group that this node did not open. Its head must still leave the group before
// the members are used again: another node may see the group ready and open it.
func (controller *Controller) abandonGroup(term int64, group Group) {
	controller.recordAbandoned(group)
	controller.endGroup(term, group, nil)
}

// openGroup orders the head of a ready group to serve, and announces the group when the head has
// accepted.
func (controller *Controller) openGroup(term int64, group Group) {
	head, ok := controller.Servers().Servers[group.Head()]
	if !ok {
		return
	}
	if !controller.orderHead(term, group, head, Open, group.Members) {
		// The order may have been accepted without a reply, so the head must leave before a
		// member is used again.
		controller.endGroup(term, group, nil)
		return
	}
	controller.Counts.Formed.Add(1)
	controller.Logger.Info("former: group opened.", "Group", group.Name, "Model", group.Model, "Members", group.Members)
	if controller.Sleep(controller.formTime(group.Service)) {
		controller.Announce(Announcement{Change: Opened, Group: group})
	}
}

// formTime returns the configured time between the opening of a group of the service and its
// announcement.
func (controller *Controller) formTime(name string) time.Duration {
	for _, service := range controller.Services() {
		if service.Name == name {
			return service.Engine.FormationTime
		}
	}
	return 0
}

// stageModel loads a model onto a free server's host and waits until the server list shows it
// there.
func (controller *Controller) stageModel(term int64, model string, id string) {
	server, ok := controller.Servers().Servers[id]
	if !ok {
		return
	}
	controller.Counts.Staged.Add(1)
	result, err := controller.sendOrder(server, Order{Kind: Stage, Model: model, Term: term, Expected: -1})
	if err != nil {
		controller.excludeLost(id)
		return
	}
	switch result {
	case Begun:
		controller.awaitStaged(server, func(server *roster.Server) bool { return server.HasStaged(model) })
	case Conflict:
		// The server is loading by an order of the previous leader. Ordered again in each round,
		// it would refuse each time.
		controller.Sleep(conflictPause)
		controller.awaitStaged(server, func(server *roster.Server) bool { return len(server.Staged) > 0 })
	}
}

// conflictPause is how long a server that refused to load is not ordered again.
const conflictPause = 2 * time.Second

// awaitStaged waits until enough returns true for the listed server. It stops waiting if the server
// restarts, since a restart cancels the load.
func (controller *Controller) awaitStaged(server *roster.Server, enough func(server *roster.Server) bool) {
	deadline := controller.Now() + joinGrace
	for controller.Now() < deadline && controller.Sleep(readyPollInterval) {
		listed, ok := controller.Servers().Servers[server.ID]
		if !ok || listed.Born != server.Born || enough(listed) {
			return
		}
	}
}
