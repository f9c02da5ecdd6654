package gateway

import (
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/catalogue"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/warmup"
	"hazelslip/internal/serve/forward"
	"hazelslip/internal/state/configuration"
	"hazelslip/internal/wire/frame"
)

const (
	// watchInterval is how often groups are checked for stalled streams.
	watchInterval = 40 * time.Millisecond
	// watchIdleInterval is how often groups are checked while this node has no calls in progress. A call that
	// begins just after a check is first checked one interval later, which is shorter than any silence that
	// counts as a stall.
	watchIdleInterval = 200 * time.Millisecond
	// leafInterval is how often a node that is fed by its upstream node checks whether that is still so. It
	// replaces checks that other nodes make several times in that span and that would mostly find nothing on
	// a leaf.
	leafInterval = 500 * time.Millisecond
	// leadershipInterval is how often the node checks whether it should become leader or stop being it.
	leadershipInterval = 100 * time.Millisecond
	// leadershipStartDelay is how long a node claims no term after its start, so that it first hears of the
	// current leader.
	leadershipStartDelay = 700 * time.Millisecond
)

// leafAwareInterval returns a function that gives the interval of a periodic task that leaves don't take part
// in: the given interval, or leafInterval while this node is a leaf.
func (node *Node) leafAwareInterval(tick time.Duration) func() time.Duration {
	return func() time.Duration {
		if node.peers.fedByUpstream() {
			return leafInterval
		}
		return tick
	}
}

func (node *Node) nextWatchInterval() time.Duration {
	if node.board.NoGroupCalls() && !node.limits.Any() && !node.detours.paths.AnyUnhealthy() {
		return watchIdleInterval
	}
	return watchInterval
}

// requestTargetUpdate requests that the call targets be recomputed.
func (node *Node) requestTargetUpdate() {
	select {
	case node.targetsDirty <- struct{}{}:
	default:
	}
}

// runTargetUpdates recomputes the call targets whenever an update was requested.
func (node *Node) runTargetUpdates() {
	for {
		select {
		case <-node.Stopping:
			return
		case <-node.targetsDirty:
			node.updateTargets()
		}
	}
}

func (node *Node) updateTargets() {
	rows := node.servingRows()
	pools := map[string][]dispatch.Spec{}
	for number := range rows {
		row := &rows[number].Row
		if spec, ok := node.targetSpec(row); ok {
			spec.CatalogueIndex = rows[number].Index
			name := forward.PoolName(row.Service, row.Model)
			pools[name] = append(pools[name], spec)
		}
	}
	node.board.Update(pools)
	if node.detours.hasUncertainFailures() {
		node.detours.recordRestarts(node.serverStarts(rows))
	}
	// A leaf may receive the servers before the configuration.
	if len(pools) > 0 && node.configuration.Load().HasVersion() {
		node.stateKnownOnce.Do(func() { close(node.stateKnown) })
	}
}

// serverStarts returns when each known server started: those of the server list and those that accept calls. A leaf has
// no server list.
func (node *Node) serverStarts(rows []catalogue.IndexedRow) map[string]int64 {
	starts := map[string]int64{}
	for id, server := range node.servers.Load().Servers {
		starts[id] = server.Born
	}
	for index := range rows {
		starts[rows[index].Row.Server] = rows[index].Row.Born
	}
	return starts
}

// servingRows returns the servers that accept calls: as received from the upstream node, or derived from the
// server list and the group announcements and then sent to the leaves.
func (node *Node) servingRows() []catalogue.IndexedRow {
	if received := node.peers.rows.Load(); received != nil && (node.peers.fedByUpstream() || !node.servers.Load().Known()) {
		return *received
	}
	if node.peers.catalogue.Publish(node.rowsFromList()) {
		node.peers.sendCatalogue()
	}
	return node.peers.catalogue.Since(0).Rows
}

// rowsFromList derives the servers that accept calls from the server list and the group announcements.
func (node *Node) rowsFromList() []catalogue.Row {
	servers := node.servers.Load()
	rows := []catalogue.Row{}
	snapshot := node.configuration.Load()
	for number := range snapshot.Configuration.Services {
		service := &snapshot.Configuration.Services[number]
		if service.Engine == nil {
			rows = append(rows, node.plainRows(servers.ByService[service.Name])...)
		}
	}
	for _, group := range node.groupView.Serving(servers, node.engineServices()) {
		head, ok := servers.Servers[group.Head()]
		if !ok {
			continue
		}
		rows = append(rows, catalogue.Row{
			Server: head.ID, Born: head.Born, Address: head.Address, DataCentre: head.DataCentre,
			Group: group.Name, Service: group.Service, Model: group.Model, Cold: node.isCold(head),
		})
	}
	return rows
}

// isCold reports whether a server has not warmed up and can handle only few requests.
func (node *Node) isCold(server *roster.Server) bool {
	return node.warmups.IsCold(ratelimit.Run{Server: server.ID, Born: server.Born})
}

func (node *Node) plainRows(servers []*roster.Server) []catalogue.Row {
	rows := []catalogue.Row{}
	for _, server := range servers {
		if !server.Draining {
			rows = append(rows, catalogue.Row{
				Server: server.ID, Born: server.Born, Address: server.Address, DataCentre: server.DataCentre,
				Service: server.Service, Slots: server.Slots, Cold: node.isCold(server),
			})
		}
	}
	return rows
}

// targetSpec describes a row for the dispatch board. It returns false if the configuration in force doesn't
// have the row's service or model.
func (node *Node) targetSpec(row *catalogue.Row) (dispatch.Spec, bool) {
	spec := dispatch.Spec{
		ID: row.Server, Born: row.Born, Service: row.Service, Address: row.Address, DataCentre: row.DataCentre, Region: node.settings.regionOf(row.DataCentre),
		Group: row.Group, Slots: row.Slots, Cold: row.Cold,
	}
	if service, known := node.configuration.Load().Service(row.Service); known {
		bounds := node.settings.Bounds
		spec.ColdDuration = service.ColdTime
		spec.ColdLimit = warmup.Bound{PerSecond: service.ColdPerSecond, Overshoot: bounds.ColdOvershoot, Tolerance: bounds.ColdTolerance}
	}
	if row.Group == "" {
		spec.PassTimePerCall, spec.SlotReleaseInterval = plainCallTime, plainCallTime
		return spec, true
	}
	for _, service := range node.engineServices() {
		model, known := service.Engine.Model(row.Model)
		if service.Name != row.Service || !known {
			continue
		}
		spec.Slots, spec.PassTime = service.Engine.Slots, passTime(service.Engine, model)
		spec.TokenPrefillTime, spec.PassTimePerCall = promptTokenTime(service.Engine, model), passTimePerCall(service.Engine, model)
		spec.SlotReleaseInterval = slotReleaseInterval(service.Engine, model)
		spec.PromptPrefillTime = time.Duration(service.Engine.MeanPromptTokens) * spec.TokenPrefillTime
		return spec, true
	}
	return spec, false
}

// passTime returns the time between two events of a stream in a group whose slots are all taken.
func passTime(engine *configuration.Engine, model configuration.Model) time.Duration {
	step := engine.StepTime + time.Duration(engine.Slots)*engine.SequenceTime
	return time.Duration(float64(max(1, engine.StepsPerPass)) * float64(step) * model.Pace)
}

// promptTokenTime returns how long a group takes to prefill one prompt token.
func promptTokenTime(engine *configuration.Engine, model configuration.Model) time.Duration {
	if engine.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / engine.PrefillPerSecond * model.Pace)
}

// passTimePerCall returns by how much one more call lengthens a forward pass.
func passTimePerCall(engine *configuration.Engine, model configuration.Model) time.Duration {
	return time.Duration(float64(max(1, engine.StepsPerPass)) * float64(engine.SequenceTime) * model.Pace)
}

// slotReleaseInterval returns the average time until a slot of a full group becomes free.
func slotReleaseInterval(engine *configuration.Engine, model configuration.Model) time.Duration {
	passes := float64(engine.MeanCompletionTokens) / float64(max(1, engine.StepsPerPass))
	return time.Duration(passes * float64(passTime(engine, model)) / float64(max(1, engine.Slots)))
}

// plainCallTime is roughly the delay that one call causes for the next at a plain server. It is a part of the
// usual 15 ms of work per call, since several calls run at once.
const plainCallTime = 5 * time.Millisecond

// engineServices returns the services in the configuration in force whose servers form groups.
func (node *Node) engineServices() []formation.Service {
	snapshot := node.configuration.Load()
	cached := node.engineServiceCache.Load()
	if cached.version == snapshot.Configuration.Version {
		return cached.services
	}
	services := []formation.Service{}
	for number := range snapshot.Configuration.Services {
		service := &snapshot.Configuration.Services[number]
		if service.Engine != nil {
			services = append(services, formation.Service{Name: service.Name, Engine: service.Engine})
		}
	}
	node.engineServiceCache.Store(&cachedEngineServices{version: snapshot.Configuration.Version, services: services})
	return services
}

// modelUsage returns the load on the groups of a model.
func (node *Node) modelUsage(service, model string) formation.Usage {
	pool := forward.PoolName(service, model)
	occupancy := node.board.Occupancy(pool)
	rates, _ := node.demand.Rates(pool)
	usage := formation.Usage{UsedSlots: occupancy.ActiveCalls, Slots: occupancy.Slots, RefusedPerSecond: rates.Refused}
	if known, ok := node.configuration.Load().Service(service); ok && known.Engine != nil {
		if engineModel, served := known.Engine.Model(model); served {
			usage.MeanDuration = slotReleaseInterval(known.Engine, engineModel) * time.Duration(max(1, known.Engine.Slots))
		}
	}
	return usage
}

// watch updates the permits and pace factors, starts the probes that are due, and reports stalled groups to
// the leader.
func (node *Node) watch() {
	node.observePause()
	node.refreshPermits()
	node.updatePaces()
	node.detours.check()
	for _, probe := range node.board.DueDataCentreProbes() {
		node.GoNamed("probe", func() { node.probeDataCentre(&probe) })
	}
	for _, stalled := range node.board.WatchGroups() {
		if stalled.PathUnhealthy || !node.peers.stallReportDue(stalled.Group) {
			continue
		}
		node.logger.Warn("gateway: a group stalled.", "Group", stalled.Group, "Head", stalled.Head,
			"SilentMilliseconds", stalled.Duration.Milliseconds(), "Calls", stalled.Calls)
		node.reportStalledHead(stalled.Head, stalled.Group)
	}
}

// probeTimeout bounds connecting to a server of a data centre that may be cut off. It is many times the usual
// connection time.
const probeTimeout = 150 * time.Millisecond

// probeAll tries all named servers concurrently and returns those that were reached. It stops waiting once
// enough were reached, since it takes long to find that a server can't be reached. The result is not valid if this
// process was paused meanwhile: the timeouts then expired before the connections could be made.
func (node *Node) probeAll(names []string, try func(name string) bool, enough func(reached int) bool) (reached []string, valid bool) {
	began := node.now()
	results := make(chan string, len(names))
	for _, name := range names {
		node.GoNamed("probe", func() {
			if !try(name) {
				name = ""
			}
			results <- name
		})
	}
	for range names {
		if name := <-results; name != "" {
			reached = append(reached, name)
		}
		if enough(len(reached)) {
			break
		}
	}
	return reached, node.now()-began < probeTimeout+clock.MinPause
}

// probeDataCentre connects to servers of a data centre that may be cut off.
func (node *Node) probeDataCentre(probe *dispatch.DataCentreProbe) {
	reaches := func(address string) bool { return node.pool.HostReachable(address, probeTimeout) }
	reached, valid := node.probeAll(probe.Addresses, reaches, func(int) bool { return false })
	if !valid {
		return
	}
	if suspected, unreachable := probe.Done(len(reached) > 0); unreachable {
		node.logger.Warn("gateway: a data centre is unreachable.", "DataCentre", probe.DataCentre, "Tried", len(probe.Addresses), "CallsSuspected", suspected)
	}
}

// handleCallFailure is called for a server that could not be reached, that reset calls, or that refused a
// call because its group is incomplete. The failure is reported up the tree to the leader, which queries the
// members of the group.
func (node *Node) handleCallFailure(target *dispatch.Target, culprit string) {
	if target.Group == "" || node.detours.suppressReport(target) {
		return
	}
	if !node.peers.stallReportDue(target.Group) {
		return
	}
	node.logger.Warn("gateway: a call to a group failed.", "Group", target.Group, "Head", target.ID, "Culprit", culprit)
	node.reportStalledHead(target.ID, target.Group)
}

// reportStalledHead makes the leader query the members of a group, to find out whether one of them is lost.
func (node *Node) reportStalledHead(head, group string) {
	node.groupController.Suspect(head, group)
	node.peers.broadcastStall(&frame.SilentHead{Server: head, Group: group}, nil)
}

// announceGroupChange logs a change of a group that this node made, and announces it to the other nodes.
func (node *Node) announceGroupChange(announcement formation.Announcement) {
	node.logger.Info("gateway: a group changed.", "Group", announcement.Group.Name, "Change", string(announcement.Change),
		"Model", announcement.Group.Model, "Members", announcement.Group.Members)
	node.applyAnnouncement(announcement, nil)
}

// applyAnnouncement applies the announcement of a group change, and forwards it if it is new. It came over
// the given link, or from this node if the link is nil. Only the node that made the change logs it. Other
// nodes count it, since every relay would log every change again.
func (node *Node) applyAnnouncement(announcement formation.Announcement, from *overlay.Link) {
	retired := node.groupView.IsRetired(announcement.Group.Name)
	if !node.groupView.Apply(announcement) {
		return
	}
	node.announcementsApplied.Add(1)
	node.peers.broadcastAnnouncement(announcement, from)
	if announcement.Change == formation.Lost {
		if retired {
			node.quarantine.DropStalls(announcement.Group.Name)
		}
		node.peers.catalogue.MarkLost(announcement.Group.Name)
		node.peers.sendCatalogue()
		node.handleLostGroup(announcement.Group.Name)
	}
	node.requestTargetUpdate()
}

// handleLostGroup gives up the calls of a group that lost a member, or suspects those with events. Calls that were
// suspected while the group was stalled now count as interrupted by a server failure.
func (node *Node) handleLostGroup(group string) {
	for _, fingerprint := range node.quarantine.ConfirmGroupLoss(group) {
		node.suspectChanged(fingerprint)
	}
	if calls := node.board.MarkGroupLost(group); calls > 0 {
		node.logger.Info("gateway: the calls of a lost group look for another one.", "Group", group, "Calls", calls)
	}
}

func (node *Node) handleOutdatedTerm(term int64) {
	node.logger.Warn("gateway: a server has seen a higher term; this node stops leading.", "Term", term)
	node.elector.HandleRefusal(term)
}

// updateLeadership makes this node leader when it is its turn, yields the leadership when this node can't
// give orders, and advances the heartbeat while this node is leader.
func (node *Node) updateLeadership() {
	node.observeLeadershipPause()
	// A claim of a term waits for the store.
	defer node.leadershipPauses.Restart()
	eligible := node.peers.overlay.Role() == overlay.Root && node.servers.Load().Known() && node.Ready() == nil &&
		node.now()-node.startedAt > leadershipStartDelay && !node.cannotReachEngines()
	candidates := node.peers.leaderCandidates()
	node.yieldLeadership(candidates)
	if node.elector.TryTakeOver(candidates, eligible) {
		node.logger.Info("gateway: this node is now the leader.", "Term", node.elector.Term())
	}
	node.peers.advanceHeartbeat(node.elector.Term())
}

// sweep drops expired state, and closes idle connections to servers that no longer accept calls.
func (node *Node) sweep() {
	node.inbound.Sweep()
	node.quarantine.Sweep()
	if node.warmups.Sweep() {
		node.requestTargetUpdate()
	}
	runs := node.board.ServerRuns()
	node.limits.Sweep(func(run ratelimit.Run) bool { _, used := runs[run]; return used })
	node.sweepNotices(runs)
	targetAddresses := map[string]bool{}
	for _, pool := range node.board.State() {
		for _, target := range pool {
			targetAddresses[target.Address] = true
		}
	}
	node.pool.Sweep(func(address string) bool { return targetAddresses[address] })
	node.detours.pool.Sweep(func(string) bool { return true })
}

// recentAnnouncements returns the recent group announcements for a newly linked node.
func (node *Node) recentAnnouncements() []*frame.GroupNews {
	recent := []*frame.GroupNews{}
	for _, announcement := range node.groupView.RecentAnnouncements() {
		recent = append(recent, announcementToWire(announcement))
	}
	return recent
}
