package gateway

import (
	"time"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/serve/forward"
	"hazelslip/internal/state/configuration"
	"hazelslip/internal/wire/exchange"
)

const (
	// watchTick is how often groups are looked at for streams that stand still.
	watchTick = 40 * time.Millisecond
	// tenureTick is how often the right to give orders is looked at.
	tenureTick = 100 * time.Millisecond
	// bootWait is how long a node that has just started takes no term, so that
	// it hears of the holder first.
	bootWait = 700 * time.Millisecond
)

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
	snapshot := node.configuration.Load()
	servers := node.servers.Load()
	pools := map[string][]dispatch.Spec{}
	for number := range snapshot.Configuration.Services {
		service := &snapshot.Configuration.Services[number]
		if service.Engine == nil {
			pools[forward.PoolName(service.Name, "")] = plainSpecs(servers.ByService[service.Name])
		}
	}
	for _, group := range node.view.Serving(servers, node.engineServices()) {
		spec, ok := groupSpec(&group, servers, node.engineServices())
		if ok {
			name := forward.PoolName(group.Service, group.Model)
			pools[name] = append(pools[name], spec)
		}
	}
	node.board.Update(pools)
}

func plainSpecs(servers []*roster.Server) []dispatch.Spec {
	specs := []dispatch.Spec{}
	for _, server := range servers {
		if !server.Draining {
			specs = append(specs, dispatch.Spec{
				ID: server.ID, Born: server.Born, Address: server.Address, DataCentre: server.DataCentre, Slots: server.Slots,
				PerCall: plainPerCall, Turnover: plainPerCall,
			})
		}
	}
	return specs
}

func groupSpec(group *formation.Group, servers *roster.Snapshot, services []formation.Service) (dispatch.Spec, bool) {
	head, ok := servers.Servers[group.Head()]
	if !ok {
		return dispatch.Spec{}, false
	}
	for _, service := range services {
		model, known := service.Engine.Model(group.Model)
		if service.Name != group.Service || !known {
			continue
		}
		return dispatch.Spec{
			ID: head.ID, Born: head.Born, Address: head.Address, DataCentre: head.DataCentre, Group: group.Name,
			Slots: service.Engine.Slots, Pass: passTime(service.Engine, model),
			PerToken: perToken(service.Engine, model), PerCall: perCall(service.Engine, model),
			Turnover: turnover(service.Engine, model),
		}, true
	}
	return dispatch.Spec{}, false
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

func (node *Node) modelLoad(service, model string) (taken, places int) {
	occupancy := node.board.Occupancy(forward.PoolName(service, model))
	return occupancy.Taken, occupancy.Places
}

// watch looks for groups that stand still and tells whoever mends them.
func (node *Node) watch() {
	silent := node.board.Watch()
	reported := make([]*exchange.SilentHead, 0, len(silent))
	fresh := false
	now := node.now()
	node.peers.mu.Lock()
	for _, found := range silent {
		reported = append(reported, &exchange.SilentHead{Server: found.Head, Group: found.Group})
		if now-node.peers.silent[found.Group] > silentAgain || node.peers.silent[found.Group] == 0 {
			node.peers.silent[found.Group] = now
			fresh = true
		}
	}
	node.peers.mu.Unlock()
	node.silentHeads.Store(&reported)
	if !fresh {
		return
	}
	for _, found := range silent {
		node.logger.Warn("gateway: a group stands still.", "Group", found.Group, "Head", found.Head,
			"SilentMilliseconds", found.For.Milliseconds(), "Calls", found.Calls)
		node.former.Suspect(found.Head, found.Group)
	}
	node.peers.poke()
}

// silentAgain is how often one group's silence is told at once.
const silentAgain = 300 * time.Millisecond

// callFailed is told of a server that could not be reached, or that refused a
// call because its group is not whole.
func (node *Node) callFailed(target *dispatch.Target, culprit string) {
	if target.Group == "" {
		return
	}
	node.logger.Warn("gateway: a group refused a call.", "Group", target.Group, "Head", target.ID, "Culprit", culprit)
	node.former.Suspect(target.ID, target.Group)
}

// announce makes news known here and to all peers.
func (node *Node) announce(news formation.News) {
	node.learnNews(news)
	node.peers.poke()
}

// learnNews takes news of a group and says whether it was new.
func (node *Node) learnNews(news formation.News) bool {
	if !node.view.Learn(news) {
		return false
	}
	moved := 0
	if news.Change == formation.Lost {
		moved = node.board.Lose(news.Group.Name)
	}
	node.logger.Info("gateway: a group changed.", "Group", news.Group.Name, "Change", string(news.Change),
		"Model", news.Group.Model, "Members", news.Group.Members, "CallsMoved", moved)
	node.changed()
	return true
}

func (node *Node) outdated(term int64) {
	node.logger.Warn("gateway: a server has seen a higher term; no more orders are given.", "Term", term)
	node.keeper.Outdated(term)
}

// lookTenure takes the right to give orders when it is this node's turn.
func (node *Node) lookTenure() {
	fit := node.Ready() == nil && node.now()-node.startedAt > bootWait
	if node.keeper.Look(node.peers.tenants(), fit) {
		node.logger.Info("gateway: this node gives orders now.", "Term", node.keeper.Term())
		node.peers.poke()
	}
}

// sweep closes idle connections to servers that are not listed any more.
func (node *Node) sweep() {
	listed := map[string]bool{}
	for _, server := range node.servers.Load().Servers {
		listed[server.Address] = true
	}
	node.pool.Sweep(func(address string) bool { return listed[address] })
}

// standing is what this node tells peers of itself.
func (node *Node) standing(wantList bool) *exchange.Standing {
	servers := node.servers.Load()
	standing := &exchange.Standing{
		Name: node.settings.Name, DataCentre: node.settings.DataCentre, Address: node.settings.Listen.Peer,
		Stopping: node.stopping.Load(), ConfigurationVersion: node.configuration.Load().Configuration.Version,
		ListEnd: servers.End, ListKnown: servers.Known(), WantList: wantList, StoreAway: node.storeAway.Load(),
		Term: node.keeper.Term(), HighestTerm: node.keeper.Highest(), Capacity: node.settings.Limits.Processor,
		Loads: loadsOf(node.board.Shares()),
	}
	if standing.ListKnown {
		standing.ListAgeMs = uint32(min(time.Hour, node.listAge()).Milliseconds())
	}
	if silent := node.silentHeads.Load(); silent != nil {
		standing.SilentHeads = append(standing.SilentHeads, *silent...)
	}
	return standing
}

// recentNews is the news of groups to pass on.
func (node *Node) recentNews() []*exchange.GroupNews {
	recent := []*exchange.GroupNews{}
	for _, news := range node.view.Recent() {
		recent = append(recent, toWire(news))
	}
	return recent
}
