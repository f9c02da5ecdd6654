package gateway

import (
	"time"

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
	// watchTick is how often groups are looked at for streams that stand still.
	watchTick = 40 * time.Millisecond
	// watchIdle is the same while this node has no calls. One that begins just after a
	// look is first looked at by then, which is less than any silence that counts.
	watchIdle = 200 * time.Millisecond
	// leafTick is how often a node that is told all that it needs looks whether that is
	// still so, in place of what the other nodes do several times in that time: most of
	// these looks would find nothing.
	leafTick = 500 * time.Millisecond
	// tenureTick is how often the right to give orders is looked at.
	tenureTick = 100 * time.Millisecond
	// bootWait is how long a node that has just started takes no term, so that
	// it hears of the holder first.
	bootWait = 700 * time.Millisecond
)

// pace is how often this node does what leaves have no part in.
func (node *Node) pace(tick time.Duration) func() time.Duration {
	return func() time.Duration {
		if node.peers.fed() {
			return leafTick
		}
		return tick
	}
}

func (node *Node) watchPause() time.Duration {
	if node.board.Idle() && !node.limits.Any() && !node.detours.ways.Unsettled() {
		return watchIdle
	}
	return watchTick
}

// changed asks for the targets to be worked out again.
func (node *Node) changed() {
	select {
	case node.dirty <- struct{}{}:
	default:
	}
}

// followTargets works out the targets whenever something changed.
func (node *Node) followTargets() {
	for {
		select {
		case <-node.Stopping:
			return
		case <-node.dirty:
			node.updateTargets()
		}
	}
}

func (node *Node) updateTargets() {
	rows := node.rows()
	pools := map[string][]dispatch.Spec{}
	for number := range rows {
		row := &rows[number].Row
		if spec, ok := node.spec(row); ok {
			spec.Number = rows[number].Number
			name := forward.PoolName(row.Service, row.Model)
			pools[name] = append(pools[name], spec)
		}
	}
	node.board.Update(pools)
	// A leaf may be told of the servers before it has the configuration.
	if len(pools) > 0 && node.configuration.Load().Known() {
		node.knownOnce.Do(func() { close(node.known) })
	}
}

// rows returns the servers that take calls: as the node above tells, or by the list
// and the news of groups, which the leaves are then told of.
func (node *Node) rows() []catalogue.Numbered {
	if told := node.peers.rows.Load(); told != nil && (node.peers.fed() || !node.servers.Load().Known()) {
		return *told
	}
	if node.peers.catalogue.Publish(node.listedRows()) {
		node.peers.tellLeaves()
	}
	return node.peers.catalogue.Since(0).Rows
}

// listedRows returns the servers that take calls by the list and the news of groups.
func (node *Node) listedRows() []catalogue.Row {
	servers := node.servers.Load()
	rows := []catalogue.Row{}
	snapshot := node.configuration.Load()
	for number := range snapshot.Configuration.Services {
		service := &snapshot.Configuration.Services[number]
		if service.Engine == nil {
			rows = append(rows, node.plainRows(servers.ByService[service.Name])...)
		}
	}
	for _, group := range node.view.Serving(servers, node.engineServices()) {
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

// isCold says whether a server bears few requests as yet.
func (node *Node) isCold(server *roster.Server) bool {
	return node.cold.Cold(ratelimit.Run{Server: server.ID, Born: server.Born})
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

// spec describes a row for the board, unless the configuration in force doesn't
// know what it serves.
func (node *Node) spec(row *catalogue.Row) (dispatch.Spec, bool) {
	spec := dispatch.Spec{
		ID: row.Server, Born: row.Born, Service: row.Service, Address: row.Address, DataCentre: row.DataCentre, Region: node.settings.regionOf(row.DataCentre),
		Group: row.Group, Slots: row.Slots, Cold: row.Cold,
	}
	if service, known := node.configuration.Load().Service(row.Service); known {
		bounds := node.settings.Bounds
		spec.ColdTime = service.ColdTime
		spec.ColdBound = warmup.Bound{PerSecond: service.ColdPerSecond, Overshoot: bounds.ColdOvershoot, Tolerance: bounds.ColdTolerance}
	}
	if row.Group == "" {
		spec.PerCall, spec.Turnover = plainPerCall, plainPerCall
		return spec, true
	}
	for _, service := range node.engineServices() {
		model, known := service.Engine.Model(row.Model)
		if service.Name != row.Service || !known {
			continue
		}
		spec.Slots, spec.Pass = service.Engine.Slots, passTime(service.Engine, model)
		spec.PerToken, spec.PerCall = perToken(service.Engine, model), perCall(service.Engine, model)
		spec.Turnover = turnover(service.Engine, model)
		spec.PerPrompt = time.Duration(service.Engine.UsualPrompt) * spec.PerToken
		return spec, true
	}
	return spec, false
}

// passTime is how long a group with all places taken takes between two events
// of a stream.
func passTime(engine *configuration.Engine, model configuration.Model) time.Duration {
	step := engine.StepTime + time.Duration(engine.Slots)*engine.SequenceTime
	return time.Duration(float64(max(1, engine.StepsPerPass)) * float64(step) * model.Pace)
}

// perToken is how long a group takes to read one token of a prompt.
func perToken(engine *configuration.Engine, model configuration.Model) time.Duration {
	if engine.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / engine.PrefillPerSecond * model.Pace)
}

// perCall is by how much one more call lengthens a pass.
func perCall(engine *configuration.Engine, model configuration.Model) time.Duration {
	return time.Duration(float64(max(1, engine.StepsPerPass)) * float64(engine.SequenceTime) * model.Pace)
}

// turnover is how long it takes a full group until a place comes free.
func turnover(engine *configuration.Engine, model configuration.Model) time.Duration {
	passes := float64(engine.UsualAnswer) / float64(max(1, engine.StepsPerPass))
	return time.Duration(passes * float64(passTime(engine, model)) / float64(max(1, engine.Slots)))
}

// plainPerCall is about what one call costs the next at a plain server: part of
// the usual work of some 15 ms, since several run at once.
const plainPerCall = 5 * time.Millisecond

// engineServices returns the services of the version in force whose servers
// form groups.
func (node *Node) engineServices() []formation.Service {
	snapshot := node.configuration.Load()
	held := node.services.Load()
	if held.version == snapshot.Configuration.Version {
		return held.services
	}
	services := []formation.Service{}
	for number := range snapshot.Configuration.Services {
		service := &snapshot.Configuration.Services[number]
		if service.Engine != nil {
			services = append(services, formation.Service{Name: service.Name, Engine: service.Engine})
		}
	}
	node.services.Store(&engineServices{version: snapshot.Configuration.Version, services: services})
	return services
}

// modelLoad is what is asked of the groups of a model.
func (node *Node) modelLoad(service, model string) formation.Usage {
	pool := forward.PoolName(service, model)
	occupancy := node.board.Occupancy(pool)
	rates, _ := node.demand.Rates(pool)
	usage := formation.Usage{Taken: occupancy.Taken, Places: occupancy.Places, Refused: rates.Refused}
	if known, ok := node.configuration.Load().Service(service); ok && known.Engine != nil {
		if of, named := known.Engine.Model(model); named {
			usage.Duration = turnover(known.Engine, of) * time.Duration(max(1, known.Engine.Slots))
		}
	}
	return usage
}

// watch looks for groups that stand still and tells whoever mends them, for data centres
// that this node may be cut off from, and for permits that have run out.
func (node *Node) watch() {
	node.refreshPermits()
	node.lookPaces()
	node.detours.look()
	for _, probe := range node.board.Probes() {
		node.GoAs("probe", func() { node.probe(&probe) })
	}
	for _, found := range node.board.Watch() {
		if found.Unsure || !node.peers.freshSilence(found.Group) {
			continue
		}
		node.logger.Warn("gateway: a group stands still.", "Group", found.Group, "Head", found.Head,
			"SilentMilliseconds", found.For.Milliseconds(), "Calls", found.Calls)
		node.suspectHead(found.Head, found.Group)
	}
}

// probeTime bounds connecting to a server of a data centre that may be cut off: many
// times what it takes where it isn't.
const probeTime = 150 * time.Millisecond

// tryAll tries all servers that are named at once, and returns those that were reached. It doesn't wait for the others once
// enough were: one that isn't reached takes long to show.
func (node *Node) tryAll(names []string, try func(name string) bool, enough func(reached int) bool) []string {
	answers := make(chan string, len(names))
	for _, name := range names {
		node.GoAs("probe", func() {
			if !try(name) {
				name = ""
			}
			answers <- name
		})
	}
	reached := []string{}
	for range names {
		if name := <-answers; name != "" {
			reached = append(reached, name)
		}
		if enough(len(reached)) {
			break
		}
	}
	return reached
}

// probe connects to servers of a data centre.
func (node *Node) probe(probe *dispatch.Probe) {
	reaches := func(address string) bool { return node.pool.HostReachable(address, probeTime) }
	reached := node.tryAll(probe.Addresses, reaches, func(int) bool { return false })
	if moved, news := probe.Done(len(reached) > 0); news {
		node.logger.Warn("gateway: a data centre is not reached.", "DataCentre", probe.DataCentre, "Tried", len(probe.Addresses), "CallsMoved", moved)
	}
}

// callFailed is told of a server that could not be reached, that reset calls, or that refused one
// because its group is not whole. It is told up the tree, where the node that gives orders asks its members.
func (node *Node) callFailed(target *dispatch.Target, culprit string) {
	if target.Group == "" || node.detours.doubts(target) {
		return
	}
	if !node.peers.freshSilence(target.Group) {
		return
	}
	node.logger.Warn("gateway: a group did not take a call.", "Group", target.Group, "Head", target.ID, "Culprit", culprit)
	node.suspectHead(target.ID, target.Group)
}

// suspectHead has the members of a group asked whether one is lost, by the node that gives orders.
func (node *Node) suspectHead(head, group string) {
	node.former.Suspect(head, group)
	node.peers.tellSilence(&frame.SilentHead{Server: head, Group: group}, nil)
}

// announce makes news known here and to all other nodes.
func (node *Node) announce(news formation.News) {
	node.logger.Info("gateway: a group changed.", "Group", news.Group.Name, "Change", string(news.Change),
		"Model", news.Group.Model, "Members", news.Group.Members)
	node.learnNews(news, nil)
}

// learnNews takes news of a group that came over a link, nil for this node's own, and
// passes on what is new. Where it was decided the log tells of it; here it is
// counted, since every relay would tell of everything once more.
func (node *Node) learnNews(news formation.News, from *overlay.Link) {
	if !node.view.Learn(news) {
		return
	}
	node.newsLearnt.Add(1)
	node.peers.tellNews(news, from)
	if news.Change == formation.Lost {
		node.peers.catalogue.Lose(news.Group.Name)
		node.peers.tellLeaves()
		node.loseGroup(news.Group.Name)
	}
	node.changed()
}

// loseGroup moves the calls of a group that lost a member. Those that left it when it
// stood still lie under an end of a server now.
func (node *Node) loseGroup(group string) {
	for _, fingerprint := range node.quarantine.Lost(group) {
		node.suspected(fingerprint)
	}
	if moved := node.board.Lose(group); moved > 0 {
		node.logger.Info("gateway: the calls of a lost group go on elsewhere.", "Group", group, "Calls", moved)
	}
}

func (node *Node) outdated(term int64) {
	node.logger.Warn("gateway: a server has seen a higher term; no more orders are given.", "Term", term)
	node.keeper.Outdated(term)
}

// lookTenure takes the right to give orders when it is this node's turn, and shows
// the others that it has it.
func (node *Node) lookTenure() {
	fit := node.peers.overlay.Role() == overlay.Root && node.servers.Load().Known() && node.Ready() == nil &&
		node.now()-node.startedAt > bootWait && !node.withoutEngines()
	tenants := node.peers.tenants()
	node.yieldTerm(tenants)
	if node.keeper.Look(tenants, fit) {
		node.logger.Info("gateway: this node gives orders now.", "Term", node.keeper.Term())
	}
	node.peers.beat(node.keeper.Term())
}

// sweep forgets suspects that count no more, and closes idle connections to servers that
// take no calls any more.
func (node *Node) sweep() {
	node.quarantine.Sweep()
	if node.cold.Sweep() {
		node.changed()
	}
	runs := node.board.ServerRuns()
	node.limits.Sweep(func(run ratelimit.Run) bool { _, used := runs[run]; return used })
	node.sweepNotices(runs)
	listed := map[string]bool{}
	for _, pool := range node.board.State() {
		for _, target := range pool {
			listed[target.Address] = true
		}
	}
	node.pool.Sweep(func(address string) bool { return listed[address] })
	node.detours.pool.Sweep(func(string) bool { return true })
}

// recentNews is the news of groups to tell a node that was just connected to.
func (node *Node) recentNews() []*frame.GroupNews {
	recent := []*frame.GroupNews{}
	for _, news := range node.view.Recent() {
		recent = append(recent, newsToWire(news))
	}
	return recent
}
