package formation

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/roster"
)

const (
	// orderTries is how often an order without an answer is given again.
	orderTries = 3
	// looksWhileJoining is how often in a row a joining member may fail to
	// answer before the group is given up.
	looksWhileJoining = 2
	// joinMost bounds how long a group may take to be ready, beyond what its
	// slowest member should take: loads slow each other down.
	joinMost = 30 * time.Second
	// closeMost is how long a closing head may take to finish what it has.
	closeMost = 9 * time.Second
	// releaseMargin is waited beyond the life of a group without its head.
	releaseMargin = 1500 * time.Millisecond
)

var errNotListed = errors.New("the list doesn't show the server")

// answered is one server's report, or why there is none.
type answered struct {
	server *roster.Server
	report Report
	err    error
}

// ask asks servers for reports at once.
func (former *Former) ask(ids []string) []answered {
	answers := make([]answered, len(ids))
	waiters := conc.WaitGroup{}
	for number, id := range ids {
		server, ok := former.Servers().Servers[id]
		if !ok {
			answers[number].err = errNotListed
			continue
		}
		waiters.Go(func() {
			ctx, cancel := former.ContextWithTimeout(answerTime)
			defer cancel()
			former.Counts.Reports.Add(1)
			report, err := former.Report(ctx, server)
			answers[number] = answered{server: server, report: report, err: err}
		})
	}
	waiters.Wait()
	return answers
}

// give gives one order, again if there is no answer. An order that got none may
// have been taken; giving it again does no harm, since a server that has taken
// it says Done, or counts one more order than expected.
func (former *Former) give(server *roster.Server, order Order) (Result, error) {
	var failure error
	for range orderTries {
		if former.Term() != order.Term {
			return Outdated, nil
		}
		ctx, cancel := former.ContextWithTimeout(2 * answerTime)
		former.Counts.Orders.Add(1)
		result, err := former.Order(ctx, server, order)
		cancel()
		former.Logger.Info("former: an order was given.", "Server", server.ID, "Kind", order.Kind.String(),
			"Group", order.Group, "Model", order.Model, "Term", order.Term, "Result", result.String(), "Error", errorText(err))
		switch {
		case err == nil && result == Outdated:
			former.Outdated(order.Term)
			return result, nil
		case err == nil:
			return result, nil
		case errors.Is(err, ErrRefused):
			return Invalid, err
		}
		failure = err
	}
	return Invalid, failure
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// examine asks all members of a group whether they are there, and ends the
// group if one is not.
func (former *Former) examine(term int64, group Group) {
	dead := former.missing(group, group.Members)
	if len(dead) == 0 {
		former.mu.Lock()
		former.examined[group.Name] = former.Now()
		former.mu.Unlock()
		former.Counts.WholeSeen.Add(1)
		former.Logger.Info("former: a silent group is whole.", "Group", group.Name, "Model", group.Model)
		return
	}
	former.Counts.Lost.Add(1)
	former.Logger.Warn("former: a group lost members.", "Group", group.Name, "Model", group.Model, "Members", dead)
	for _, id := range dead {
		former.markLost(id)
	}
	former.end(term, group, dead)
}

// missing returns which of some members don't answer or are not in the group. One that
// refuses to be asked lives.
func (former *Former) missing(group Group, ids []string) []string {
	missing := []string{}
	for number, answer := range former.ask(ids) {
		if errors.Is(answer.err, ErrRefused) {
			continue
		}
		inGroup := answer.report.Group.Name == group.Name && answer.report.Group.State != roster.Broken
		if answer.err != nil || !inGroup {
			missing = append(missing, ids[number])
		}
	}
	return missing
}

// end takes a group apart. Its members are free once its head has left it. If
// the head can't be reached, it may live on the far side of a partition and
// serve: then the members that can be reached leave, at which the head stands
// still, and after the stall bound it serves nobody. If no member can be
// reached either, nothing is known and nothing done: the group may be whole,
// and other nodes may reach it. A refused connection proves nothing, since a
// partition may refuse too.
func (former *Former) end(term int64, group Group, dead []string) {
	if former.headLeaves(term, group, dead) {
		former.mu.Lock()
		former.left[group.Name] = true
		former.mu.Unlock()
		former.Announce(News{Change: Lost, Group: group})
		former.Announce(News{Change: Released, Group: group})
		return
	}
	if !former.memberLeaves(term, group, dead) {
		former.Logger.Warn("former: no member of a group can be reached; it is left alone.", "Group", group.Name)
		return
	}
	former.Announce(News{Change: Lost, Group: group})
	former.Logger.Info("former: a head can't be reached; its members wait.", "Group", group.Name, "Head", group.Head())
	former.outwait(term, group)
}

func (former *Former) headLeaves(term int64, group Group, dead []string) bool {
	head, ok := former.Servers().Servers[group.Head()]
	return ok && !slices.Contains(dead, head.ID) && former.leave(term, head, group)
}

// memberLeaves makes the members beside the head leave and says whether one of
// them provably has.
func (former *Former) memberLeaves(term int64, group Group, dead []string) bool {
	left := false
	for rank, id := range group.Members {
		server, ok := former.Servers().Servers[id]
		if rank == 0 || !ok || slices.Contains(dead, id) {
			continue
		}
		left = former.leave(term, server, group) || left
	}
	return left
}

// outwait releases the members of a group whose head couldn't be reached, when
// the head has left after all, or when it has stood still for so long that it
// serves nobody and the list doesn't show it serving: a head without calls may
// not notice that a member left, and stay open for long.
func (former *Former) outwait(term int64, group Group) {
	until := former.Now() + former.Bounds.Stall + releaseMargin
	for former.Now() < until || former.seemsOpen(group, until) {
		if !former.Sleep(headAgain) || former.Term() != term {
			return
		}
		if former.headLeaves(term, group, nil) {
			break
		}
	}
	former.Announce(News{Change: Released, Group: group})
}

// seemsOpen says whether a group's head may still be serving, by a list that
// was read after the given time. An older list can't tell.
func (former *Former) seemsOpen(group Group, since time.Duration) bool {
	servers := former.Servers()
	if servers.ReadAt < since {
		return true
	}
	head, ok := servers.Servers[group.Head()]
	return ok && head.Group.Name == group.Name && (head.Group.State == roster.Open || head.Group.State == roster.Closing)
}

// headAgain is how often a head that could not be reached is tried.
const headAgain = 1200 * time.Millisecond

// leave makes a server leave a group and says whether it provably has.
func (former *Former) leave(term int64, server *roster.Server, group Group) bool {
	result, err := former.give(server, Order{
		Kind: Leave, Group: group.Name, Epoch: group.Epoch, Term: term, Expected: -1,
	})
	if err != nil {
		return false
	}
	switch result {
	case Begun, Done, Absent:
		return true
	case Conflict:
		// It is in another group, or in none.
		report := former.ask([]string{server.ID})[0]
		return report.err == nil && report.report.Group.Name != group.Name
	default:
		return false
	}
}

// drain ends a group of which a member is leaving: no new calls, those it has
// are finished, then its members are free.
func (former *Former) drain(term int64, group Group) {
	former.Counts.Retired.Add(1)
	former.Announce(News{Change: Retired, Group: group})
	head, ok := former.Servers().Servers[group.Head()]
	if !ok {
		former.end(term, group, nil)
		return
	}
	result, err := former.give(head, Order{Kind: Close, Group: group.Name, Epoch: group.Epoch, Term: term, Expected: -1})
	if err == nil && result.Taken() {
		former.awaitClosed(group)
	}
	former.end(term, group, nil)
}

// finish ends a group that another node was ending. One that was only closed may
// still be at its streams.
func (former *Former) finish(term int64, group Group) {
	if former.View.Retired(group.Name) {
		former.drain(term, group)
		return
	}
	former.end(term, group, nil)
}

// retire ends a group of which the list doesn't show all members. Where those
// that it shows are there, the others may be cut off from the registry alone and
// serve: ended at once, all streams of a dozen groups moved in the same second,
// and the repeats that the fleet may send were used up. Such a group gets no new
// calls and finishes what it has. If a member is dead after all, its streams
// stand still and each node moves its own.
func (former *Former) retire(term int64, listed Group) {
	former.mu.Lock()
	group, known := former.whole[listed.Name]
	former.mu.Unlock()
	servers := former.Servers().Servers
	shown := slices.DeleteFunc(slices.Clone(group.Members), func(id string) bool { return servers[id] == nil })
	if !known || len(shown) == len(group.Members) || len(former.missing(group, shown)) > 0 {
		former.end(term, listed, nil)
		return
	}
	former.Logger.Info("former: the list doesn't show all members of a group; it finishes what it has.",
		"Group", group.Name, "Model", group.Model, "Members", group.Members, "Shown", shown)
	if servers[group.Head()] != nil {
		former.drain(term, group)
		return
	}
	former.Counts.Retired.Add(1)
	former.Announce(News{Change: Retired, Group: group})
	if former.Sleep(unlistedFinish) {
		former.end(term, group, nil)
	}
}

// unlistedFinish is how long a group whose head can't be told to close has to
// finish its streams, which take a second or two.
const unlistedFinish = 3 * time.Second

// lendOne ends a group whose servers complete one of another model, unless another
// is being ended: what the first one changes is seen before a second goes.
func (former *Former) lendOne(term int64, step Step) {
	if former.lending.Swap(true) {
		return
	}
	begun := former.begin(step.Group.Name, func() {
		defer former.lending.Store(false)
		former.Counts.Lent.Add(1)
		former.Logger.Info("former: a group lends its servers.", "Group", step.Group.Name, "From", step.Group.Model, "To", step.Model)
		former.drain(term, step.Group)
	})
	if !begun {
		former.lending.Store(false)
	}
}

// awaitClosed waits until a closing head has finished what it has.
func (former *Former) awaitClosed(group Group) {
	deadline := former.Now() + closeMost
	for former.Now() < deadline && former.Sleep(closeLook) {
		answer := former.ask([]string{group.Head()})[0]
		state := answer.report.Group.State
		if answer.err != nil || (state != roster.Closing && state != roster.Open) {
			return
		}
	}
}

// closeLook is how often a closing head is asked. A stream takes a second or
// two to end.
const closeLook = 400 * time.Millisecond
