package formation

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/roster"
)

const (
	// orderAttempts is the number of times that an order without a reply is sent.
	orderAttempts = 3
	// orderTimeout bounds one attempt.
	orderTimeout = 2 * callTimeout
	// joinGrace is the time that a group may take to become ready in addition to the expected time
	// of its slowest member. Concurrent loads slow each other down. It also bounds the wait for a
	// staged model.
	joinGrace = 30 * time.Second
	// maxCloseTime is how long a closing head may take to finish its calls, and how long a head is ordered to
	// open or close if it doesn't reply.
	maxCloseTime = 9 * time.Second
	// releaseMargin is added to the stall timeout when waiting to release the members of a group
	// with an unreachable head.
	releaseMargin = 1500 * time.Millisecond
)

var errNotListed = errors.New("request report: server is not in the server list")

// reportResult is a server's report, or the error of the request.
type reportResult struct {
	server *roster.Server
	report Report
	err    error
}

// requestReports requests reports from servers concurrently.
func (controller *Controller) requestReports(ids []string) []reportResult {
	results := make([]reportResult, len(ids))
	waiters := conc.WaitGroup{}
	for index, id := range ids {
		server, ok := controller.Servers().Servers[id]
		if !ok {
			results[index].err = errNotListed
			continue
		}
		waiters.Go(func() {
			ctx, cancel := controller.ContextWithTimeout(callTimeout)
			defer cancel()
			controller.Counts.Reports.Add(1)
			report, err := controller.Report(ctx, server)
			results[index] = reportResult{server: server, report: report, err: err}
			if err == nil || errors.Is(err, ErrRefused) {
				controller.endExclusion(server.ID)
			}
		})
	}
	waiters.Wait()
	return results
}

// sendOrder sends an order, and repeats it while there is no reply. An order without a reply may
// have been accepted. Repeating it is safe: a server that has accepted it replies Done, or rejects
// the repetition because its count of accepted orders no longer equals the expected one.
func (controller *Controller) sendOrder(server *roster.Server, order Order) (Result, error) {
	var lastErr error
	for range orderAttempts {
		if controller.Term() != order.Term {
			return Outdated, nil
		}
		ctx, cancel := controller.ContextWithTimeout(orderTimeout)
		controller.Counts.Orders.Add(1)
		result, err := controller.Order(ctx, server, order)
		cancel()
		controller.Logger.Info("former: order sent.", "Server", server.ID, "Kind", order.Kind.String(),
			"Group", order.Group, "Model", order.Model, "Term", order.Term, "Result", result.String(), "Error", errorText(err))
		if err == nil || errors.Is(err, ErrRefused) {
			controller.endExclusion(server.ID)
		}
		switch {
		case err == nil && result == Outdated:
			controller.TermOutdated(order.Term)
			return result, nil
		case err == nil:
			return result, nil
		case errors.Is(err, ErrRefused):
			return Invalid, err
		}
		lastErr = err
	}
	return Invalid, lastErr
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// endGroup ends a group and releases its members once the head has left. An unreachable head may
// still serve on the other side of a network partition. In that case the reachable members leave,
// which stalls the head, and after the stall timeout the head no longer serves. If no member can be
// reached, nothing is known about the group and nothing is done: it may be complete and reachable
// from other nodes. A refused connection proves nothing, since connections may be refused in a
// partition too.
func (controller *Controller) endGroup(term int64, group Group, missing []string, attributes ...any) {
	if controller.makeHeadLeave(term, group, missing) {
		controller.mu.Lock()
		controller.headLeft[group.Name] = true
		controller.mu.Unlock()
		controller.Announce(Announcement{Change: Lost, Group: group})
		controller.Announce(Announcement{Change: Released, Group: group})
		return
	}
	if !controller.makeMembersLeave(term, group, missing) {
		controller.Logger.Warn("former: group not ended because none of its members can be reached.", append([]any{"Group", group.Name}, attributes...)...)
		return
	}
	controller.Announce(Announcement{Change: Lost, Group: group})
	controller.Logger.Info("former: group head can't be reached, waiting for it to stall before releasing the members.", "Group", group.Name, "Head", group.Head())
	controller.awaitHeadStall(term, group)
}

func (controller *Controller) makeHeadLeave(term int64, group Group, missing []string) bool {
	head, ok := controller.Servers().Servers[group.Head()]
	return ok && !slices.Contains(missing, head.ID) && controller.makeServerLeave(term, head, group)
}

// makeMembersLeave orders all members but the head to leave, and reports whether at least one
// provably has.
func (controller *Controller) makeMembersLeave(term int64, group Group, missing []string) bool {
	anyLeft := false
	for rank, id := range group.Members {
		server, ok := controller.Servers().Servers[id]
		if rank == 0 || !ok || slices.Contains(missing, id) {
			continue
		}
		anyLeft = controller.makeServerLeave(term, server, group) || anyLeft
	}
	return anyLeft
}

// awaitHeadStall releases the members of a group whose head could not be reached. It waits until
// the head has left after all, or until the stall timeout has passed and a newer server list
// doesn't show the head serving. The list is needed because a head without calls may not notice
// that a member left and may stay open for long.
func (controller *Controller) awaitHeadStall(term int64, group Group) {
	until := controller.Now() + controller.Bounds.StallTimeout + releaseMargin
	for controller.Now() < until || controller.mayBeServing(group, until) {
		if !controller.Sleep(headRetryInterval) || controller.Term() != term {
			return
		}
		if controller.makeHeadLeave(term, group, nil) {
			break
		}
	}
	controller.Announce(Announcement{Change: Released, Group: group})
}

// mayBeServing reports whether a group's head may still be serving according to a server list read
// after the given time. It returns true for an older list, which can't tell.
func (controller *Controller) mayBeServing(group Group, since time.Duration) bool {
	servers := controller.Servers()
	if servers.ReadAt < since {
		return true
	}
	head, ok := servers.Servers[group.Head()]
	return ok && head.Group.Name == group.Name && (head.Group.State == roster.Open || head.Group.State == roster.Closing)
}

// headRetryInterval is the interval at which an unreachable head is ordered again to leave.
const headRetryInterval = 1200 * time.Millisecond

// makeServerLeave orders a server to leave a group and reports whether it provably has.
func (controller *Controller) makeServerLeave(term int64, server *roster.Server, group Group) bool {
	result, err := controller.sendOrder(server, Order{
		Kind: Leave, Group: group.Name, Epoch: group.Epoch, Term: term, Expected: -1,
	})
	if err != nil {
		return false
	}
	switch result {
	case Begun, Done, Absent:
		return true
	case Conflict:
		// The server is in another group or in none.
		report := controller.requestReports([]string{server.ID})[0]
		return report.err == nil && report.report.Group.Name != group.Name
	default:
		return false
	}
}

// drainGroup ends a group gracefully: it gets no new calls and finishes its calls, then its members
// are released.
func (controller *Controller) drainGroup(term int64, group Group) {
	controller.Counts.Retired.Add(1)
	controller.Announce(Announcement{Change: Retired, Group: group})
	head, _ := controller.findMember(group.Name, group.Head())
	if head == nil {
		controller.endGroup(term, group, nil)
		return
	}
	if controller.orderHead(term, group, head, Close, []string{head.ID}) {
		controller.awaitClosed(term, group)
	}
	if controller.Term() == term {
		controller.endGroup(term, group, nil)
	}
}

// orderHead orders a head to open or close and reports whether it has accepted. A head that doesn't reply, or refuses
// the order, is ordered again unless one of the given members is lost: its process may only be paused.
func (controller *Controller) orderHead(term int64, group Group, head *roster.Server, kind OrderKind, ids []string) bool {
	judge := newJudge(controller.Bounds.StallTimeout, orderAttempts*orderTimeout+closePollInterval)
	deadline := controller.Now() + maxCloseTime
	for {
		result, err := controller.sendOrder(head, Order{Kind: kind, Group: group.Name, Epoch: group.Epoch, Term: term, Expected: -1})
		if err == nil {
			return result.Taken()
		}
		if asked, _ := controller.requestRound(group, ids); judge.decide(asked) == lost {
			return false
		}
		if controller.Now() >= deadline || !controller.Sleep(closePollInterval) || controller.Term() != term {
			return false
		}
	}
}

// resumeEnding ends a group that another node was ending. A group that was only closed may still
// have streams, so it is drained.
func (controller *Controller) resumeEnding(term int64, group Group) {
	if controller.View.IsRetired(group.Name) {
		// A list without the head's entry doesn't tell which server is the head.
		if complete, known := controller.lastCompleteGroup(group.Name); known {
			group = complete
		}
		controller.drainGroup(term, group)
		return
	}
	controller.endGroup(term, group, nil)
}

// retireUnlisted ends a group of which the server list doesn't show all members. If all listed
// members reply that they are in the group, the unlisted ones may only be cut off from the registry and still
// serve, so the group is drained. Ending a dozen such groups at once would make all their streams start
// again within a second, which uses up the fleet's retry budget. If a member is dead after all, the
// group's streams stall, and each node looks for second runs of its own streams.
func (controller *Controller) retireUnlisted(term int64, listed Group) {
	group, known := controller.lastCompleteGroup(listed.Name)
	if !known {
		group = listed
	}
	servers := controller.Servers().Servers
	shown := slices.DeleteFunc(slices.Clone(group.Members), func(id string) bool { return servers[id] == nil })
	if !known || len(shown) == len(group.Members) {
		controller.endGroup(term, listed, nil)
		return
	}
	lacksMembers := func() bool {
		servers = controller.Servers().Servers
		return slices.ContainsFunc(group.Members, func(id string) bool { return servers[id] == nil })
	}
	examined, found := controller.examine(term, group, shown, lacksMembers)
	switch {
	case found == lost || found == overdue:
		controller.endLost(term, examined, found)
		return
	case found == undecided || !lacksMembers():
		return
	}
	controller.Logger.Info("former: retiring group because the server list lacks some of its members.",
		"Group", group.Name, "Model", group.Model, "Members", group.Members, "Shown", shown)
	if servers[group.Head()] != nil {
		controller.drainGroup(term, group)
		return
	}
	controller.Counts.Retired.Add(1)
	controller.Announce(Announcement{Change: Retired, Group: group})
	if controller.Sleep(unlistedDrainTime) {
		controller.endGroup(term, group, nil)
	}
}

// unlistedDrainTime is how long a group may finish its streams if its head is unlisted and can't be
// ordered to close. A stream takes a second or two to end.
const unlistedDrainTime = 3 * time.Second

// retireForOtherModel retires a group whose servers complete a group of another model. It does
// nothing while another such retirement is in progress, so that the effect of the first is known
// before a second begins.
func (controller *Controller) retireForOtherModel(term int64, step Step) {
	if controller.retiringForOther.Swap(true) {
		return
	}
	started := controller.startGroupWork(step.Group.Name, func() {
		defer controller.retiringForOther.Store(false)
		controller.Counts.RetiredForOther.Add(1)
		controller.Logger.Info("former: retiring group for another model.", "Group", step.Group.Name, "From", step.Group.Model, "To", step.Model)
		controller.drainGroup(term, step.Group)
	})
	if !started {
		controller.retiringForOther.Store(false)
	}
}

// awaitClosed waits until a closing head has finished its calls or is lost. A head that doesn't reply may
// still have calls.
func (controller *Controller) awaitClosed(term int64, group Group) {
	judge := newJudge(controller.Bounds.StallTimeout, closePollInterval)
	deadline := controller.Now() + maxCloseTime
	for controller.Now() < deadline && controller.Sleep(closePollInterval) && controller.Term() == term {
		asked, answers := controller.requestRound(group, []string{group.Head()})
		if judge.decide(asked) == lost {
			return
		}
		state := answers[0].report.Group.State
		if answers[0].Response == InGroup && state != roster.Closing && state != roster.Open {
			return
		}
	}
}

// closePollInterval is the interval at which a closing head is polled. A stream takes a second or
// two to end.
const closePollInterval = 400 * time.Millisecond
