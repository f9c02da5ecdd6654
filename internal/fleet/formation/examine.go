package formation

import (
	"time"

	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/roster"
)

// examination is the repeated question to members of a group until the evidence decides.
type examination struct {
	group     Group
	ids       []string
	startedAt time.Duration
	judge     *judge
	// rounds counts the questions so far. last is the last one.
	rounds int
	last   *round
}

// examine asks members of a group until all reply or one is lost. It returns undecided if this node no longer
// leads, or as soon as goOn is false. A member that is silent may only be paused. The group stays as it is
// meanwhile and keeps its streams, since an end can't be taken back.
func (controller *Controller) examine(term int64, group Group, ids []string, goOn func() bool) (*examination, verdict) {
	examined := &examination{group: group, ids: ids, startedAt: controller.Now(), judge: newJudge(controller.Bounds.StallTimeout, maxExaminationPause)}
	defer controller.beginAsking(group)()
	pause := minExaminationPause
	for {
		examined.last, _ = controller.requestRound(group, ids)
		examined.rounds++
		found := examined.judge.decide(examined.last)
		if found == complete || found == lost || (found == overdue && controller.takeSuspicion(group)) {
			return examined, found
		}
		if examined.rounds == 1 {
			controller.Logger.Info("former: group kept while members are silent.",
				append([]any{"Group", group.Name, "Model", group.Model}, controller.evidenceAttributes(examined)...)...)
		}
		examined.judge.maxPause = examinationPause(pause, controller.examinedMembers())
		if !controller.awaitSilent(examined, examined.judge.maxPause) || controller.Term() != term || !goOn() {
			return examined, undecided
		}
		pause = min(2*pause, maxExaminationPause)
	}
}

// awaitSilent waits between two rounds with a question to each silent member under way. A process that runs for a moment
// only answers what has waited, so that short breaks between its pauses are seen. It returns false if this node stops.
func (controller *Controller) awaitSilent(examined *examination, pause time.Duration) bool {
	waiters := conc.WaitGroup{}
	replied := make([]bool, len(examined.ids))
	for index, id := range examined.ids {
		if !examined.judge.isSilent(id) {
			continue
		}
		waiters.Go(func() { replied[index] = controller.repliesWithin(examined.group, id, pause) })
	}
	running := controller.Sleep(pause)
	waiters.Wait()
	for index, id := range examined.ids {
		if replied[index] {
			examined.judge.recordReply(id)
		}
	}
	return running
}

// repliesWithin reports whether a member of a group replies within a timeout.
func (controller *Controller) repliesWithin(group Group, id string, timeout time.Duration) bool {
	server, _ := controller.findMember(group.Name, id)
	if server == nil {
		return false
	}
	ctx, cancel := controller.ContextWithTimeout(timeout)
	defer cancel()
	controller.Counts.Reports.Add(1)
	report, err := controller.Report(ctx, server)
	return memberResponse(group, server, &report, err, nil).isReply()
}

// examineGroup examines all members of a suspected group, and ends the group if one is lost.
func (controller *Controller) examineGroup(term int64, group Group) {
	examined, found := controller.examine(term, group, group.Members, func() bool { return controller.isExaminable(group) })
	switch found {
	case complete:
		controller.finishComplete(examined)
	case lost, overdue:
		controller.endLost(term, examined, found)
	}
}

// isExaminable reports whether a group has neither ended nor begun to drain.
func (controller *Controller) isExaminable(group Group) bool {
	if controller.View.HasEnded(group.Name) {
		return false
	}
	servers := controller.Servers().Servers
	for _, id := range group.Members {
		if server, ok := servers[id]; ok && server.Draining {
			return false
		}
	}
	head, ok := servers[group.Head()]
	return !ok || head.Group.Name != group.Name || head.Group.State != roster.Broken
}

// examinedGroup is a group whose members are being asked, with the number of examinations and rounds that ask them.
type examinedGroup struct {
	Group
	askers int
}

// beginAsking records that members of a group are being asked, until the returned function is called. They are no
// references meanwhile.
func (controller *Controller) beginAsking(group Group) (end func()) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	examined, ok := controller.examining[group.Name]
	if !ok {
		examined = &examinedGroup{Group: group}
		controller.examining[group.Name] = examined
	}
	examined.askers++
	return func() {
		controller.mu.Lock()
		defer controller.mu.Unlock()
		if examined.askers--; examined.askers == 0 {
			delete(controller.examining, group.Name)
		}
	}
}

// othersExamined returns how many other groups are being examined.
func (controller *Controller) othersExamined(group string) int {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	others := len(controller.examining)
	if _, ok := controller.examining[group]; ok {
		others--
	}
	return others
}

// examinedMembers returns the number of members of all groups that are being examined.
func (controller *Controller) examinedMembers() int {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	members := 0
	for _, examined := range controller.examining {
		members += len(examined.Members)
	}
	return members
}

// takeSuspicion reports whether a group may be ended on the suspicion that a silent member is lost. One
// group of a model may be ended within a stall timeout: on a busy machine, many processes pause at once.
func (controller *Controller) takeSuspicion(group Group) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.suspicionLimit.take(group.Service+"/"+group.Model, controller.Now(), controller.Bounds.StallTimeout)
}

// finishComplete records that all members replied.
func (controller *Controller) finishComplete(examined *examination) {
	group := examined.group
	controller.mu.Lock()
	controller.foundCompleteAt[group.Name] = controller.Now()
	controller.mu.Unlock()
	controller.Counts.FoundComplete.Add(1)
	if examined.rounds == 1 {
		controller.Logger.Info("former: examined group is complete.", "Group", group.Name, "Model", group.Model)
		return
	}
	controller.Logger.Info("former: examined group is complete, all members reply again.", "Group", group.Name, "Model", group.Model,
		"Asked", examined.rounds, "Milliseconds", (controller.Now() - examined.startedAt).Milliseconds())
}

// endLost ends a group. Members that are lost are not used for a while. A member that didn't reply is not
// ordered to leave, since its order would only time out.
func (controller *Controller) endLost(term int64, examined *examination, found verdict) {
	group := examined.group
	controller.Counts.Lost.Add(1)
	missing := []string{}
	for index, response := range examined.last.responses {
		if !response.isReply() {
			missing = append(missing, examined.ids[index])
		}
	}
	message := "former: group lost members."
	if found == overdue {
		message = "former: group has members that are silent for too long."
		// The end of a retired group is no failure of the requests that it stalled.
		controller.Announce(Announcement{Change: Retired, Group: group})
	}
	attributes := controller.evidenceAttributes(examined)
	controller.Logger.Warn(message, append([]any{"Group", group.Name, "Model", group.Model, "Members", missing}, attributes...)...)
	for _, id := range missing {
		if examined.judge.isLost(id) {
			controller.excludeLost(id)
		}
	}
	controller.endGroup(term, group, missing, attributes...)
}
