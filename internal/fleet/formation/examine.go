package formation

import (
	"time"

	"hazelslip/internal/fleet/roster"
)

// examination is the repeated question to the members of a group until the evidence decides.
type examination struct {
	group     Group
	startedAt time.Duration
	judge     *judge
	// rounds counts the questions so far. last is the last one.
	rounds int
	last   *round
	// keptLogged is set once the log tells that the group is kept.
	keptLogged bool
}

// examineGroup asks the members of a suspected group until all reply or one is lost, and ends the group
// in that case. A member that is silent may only be paused. The group stays open meanwhile and keeps its
// streams, since an end can't be taken back.
func (controller *Controller) examineGroup(term int64, group Group) {
	examined := &examination{group: group, startedAt: controller.Now(), judge: newJudge(len(group.Members), controller.Bounds.StallTimeout)}
	controller.setExamining(group, true)
	defer controller.setExamining(group, false)
	pause := minExaminationPause
	for {
		found := controller.decide(examined)
		switch {
		case found == complete:
			controller.finishComplete(examined)
			return
		case found == lost:
			controller.endLost(term, examined, "former: group lost members.")
			return
		case found == overdue && controller.takeSuspicion(group):
			controller.endLost(term, examined, "former: group has members that are silent for too long.")
			return
		}
		controller.logKept(examined)
		if !controller.Sleep(pause) || controller.Term() != term || !controller.isExaminable(group) {
			return
		}
		pause = min(2*pause, maxExaminationPause)
	}
}

// decide asks the members once more.
func (controller *Controller) decide(examined *examination) verdict {
	examined.last, _ = controller.requestRound(examined.group, examined.group.Members)
	examined.rounds++
	return examined.judge.decide(examined.last)
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

func (controller *Controller) setExamining(group Group, examining bool) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if examining {
		controller.examining[group.Name] = group
		return
	}
	delete(controller.examining, group.Name)
}

func (controller *Controller) examinedGroups() int {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return len(controller.examining)
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
func (controller *Controller) endLost(term int64, examined *examination, message string) {
	group := examined.group
	controller.Counts.Lost.Add(1)
	missing := []string{}
	for index, response := range examined.last.responses {
		if !response.isReply() {
			missing = append(missing, group.Members[index])
		}
	}
	attributes := controller.evidenceAttributes(examined)
	controller.Logger.Warn(message, append([]any{"Group", group.Name, "Model", group.Model, "Members", missing}, attributes...)...)
	for _, index := range examined.judge.lost() {
		controller.excludeLost(group.Members[index])
	}
	controller.endGroup(term, group, missing, attributes...)
}

// logKept logs once that a group without a reply of all members is kept.
func (controller *Controller) logKept(examined *examination) {
	if examined.keptLogged {
		return
	}
	examined.keptLogged = true
	controller.Logger.Info("former: group kept while members are silent.", append([]any{"Group", examined.group.Name, "Model", examined.group.Model},
		controller.evidenceAttributes(examined)...)...)
}
