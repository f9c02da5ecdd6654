package formation

import (
	"maps"
	"time"

	"hazelslip/internal/fleet/roster"
)

// recordLastModels records which model each server runs, for the time after it has left its group:
// the server list shows the model only while the server is in a group. A server starts its last
// model fastest, whatever is staged on its host by then. It reports whether the server list is new.
func (controller *Controller) recordLastModels(servers *roster.Snapshot) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.lastList == servers {
		return false
	}
	models := make(map[string]string, len(servers.Servers))
	listedGroups := map[string]bool{}
	for id, server := range servers.Servers {
		listedGroups[server.Group.Name] = true
		switch server.Group.State {
		case roster.Ready, roster.Open, roster.Closing:
			models[id] = server.Model
			continue
		}
		if controller.lastList == nil || controller.lastList.Servers[id] == nil || controller.lastList.Servers[id].Born == server.Born {
			models[id] = controller.lastModels[id]
		}
	}
	controller.lastList, controller.lastModels = servers, models
	controller.pruneLocked(listedGroups)
	return true
}

// pruneLocked drops ended exclusions and groups that the server list no longer shows, so that
// neither grows over the life of the process. The caller holds the mutex.
func (controller *Controller) pruneLocked(listedGroups map[string]bool) {
	now := controller.Now()
	expired := func(_ string, excluded exclusion) bool { return excluded.until <= now }
	maps.DeleteFunc(controller.lost, expired)
	maps.DeleteFunc(controller.settling, expired)
	maps.DeleteFunc(controller.headLeft, func(group string, _ bool) bool { return !listedGroups[group] })
}

// recordCompleteGroups records the members of complete groups, and drops groups that the server
// list no longer shows.
func (controller *Controller) recordCompleteGroups(listed []*ListedGroup) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	completeGroups := make(map[string]*ListedGroup, len(listed))
	for _, group := range listed {
		if group.Complete() {
			completeGroups[group.Name] = group
		} else if previous, ok := controller.lastComplete[group.Name]; ok {
			completeGroups[group.Name] = previous
		}
	}
	controller.lastComplete = completeGroups
}

func (controller *Controller) excludeLost(id string) {
	controller.exclude(controller.lost, id, lostExclusion)
}

// endExclusion ends the exclusion of a lost server that replies again.
func (controller *Controller) endExclusion(id string) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	delete(controller.lost, id)
}

// excludeSettling excludes a server with an outdated report for a short time.
func (controller *Controller) excludeSettling(id string) {
	controller.exclude(controller.settling, id, settlingExclusion)
}

// exclusion states until when a server is not used, and for which run of its process. An exclusion
// does not apply to a later run, since what was observed concerns the earlier run only.
type exclusion struct {
	until     time.Duration
	startedAt int64
}

func (controller *Controller) exclude(exclusions map[string]exclusion, id string, duration time.Duration) {
	added := exclusion{until: controller.Now() + duration}
	if server, ok := controller.Servers().Servers[id]; ok {
		added.startedAt = server.Born
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	exclusions[id] = added
}

// appliesTo reports whether the exclusion applies to the listed server at the given time.
func (exclusion exclusion) appliesTo(server *roster.Server, now time.Duration) bool {
	return exclusion.until > now && exclusion.startedAt == server.Born
}
