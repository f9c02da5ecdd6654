package overlay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/wire/frame"
)

const (
	// longAnswerTimeout bounds an answer that may be long: some hundred KB over a 20 Mbit/s link with packet loss.
	longAnswerTimeout = 1500 * time.Millisecond
	// minFailureBackoff is how long a node that did not answer is not tried again. It doubles with each consecutive
	// failure, up to maxFailureBackoff.
	minFailureBackoff = 500 * time.Millisecond
	maxFailureBackoff = 15 * time.Second
	// refusalBackoff is the backoff for a node that answered with a refusal. Such a node may just be starting.
	refusalBackoff = 100 * time.Millisecond
	// isolatedRetryInterval bounds the backoff on a node that has no link to any other node.
	isolatedRetryInterval = 400 * time.Millisecond
	// forgetAfterFailures is the number of consecutive failures after which a node is removed from the directory.
	forgetAfterFailures = 12
	// headsPerDataCentre is how many nodes of each data centre are announced to other nodes: the relays and the nodes
	// that rank next.
	headsPerDataCentre = 5
	// storeTimeout bounds a call to the store's directory.
	storeTimeout = 700 * time.Millisecond
	// directoryInterval is how often a root reads the store's directory, to find nodes that none of its known nodes
	// know.
	directoryInterval = 15 * time.Second
)

// directoryEntry is a known node and the state of attempts to reach it.
type directoryEntry struct {
	tree.Member
	failures int
	retryAt  time.Duration
	// stoppingUntil is the time until which the node is ignored because it announced its shutdown.
	stoppingUntil time.Duration
}

// addMember adds a node to the directory, or updates it. A new node of this data centre that ranks before this node
// triggers an upstream selection.
func (overlay *Overlay) addMember(member tree.Member) {
	if member.Address == "" || member.DataCentre == "" || member.Address == overlay.Self.Address {
		return
	}
	overlay.mu.Lock()
	entry, known := overlay.directory[member.Address]
	changed := !known || entry.Member != member
	if changed {
		overlay.directory[member.Address] = &directoryEntry{Member: member}
	}
	overlay.mu.Unlock()
	if changed && member.DataCentre == overlay.Self.DataCentre && tree.Compare(member, overlay.Self) < 0 {
		overlay.requestReselect()
	}
}

// requestReselect triggers a new upstream selection.
func (overlay *Overlay) requestReselect() {
	select {
	case overlay.reselect <- struct{}{}:
	default:
	}
}

func (overlay *Overlay) addHeads(heads []*frame.Node) {
	for _, head := range heads {
		overlay.addMember(fromWire(head))
	}
}

func (overlay *Overlay) setRoot(dataCentre, address string) {
	if dataCentre == "" {
		return
	}
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	overlay.roots[dataCentre] = address
}

// backOff excludes a node from attempts for the given delay. A delay of 0 selects the exponential failure backoff.
func (overlay *Overlay) backOff(address string, delay time.Duration) {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	entry, known := overlay.directory[address]
	if !known {
		return
	}
	if delay == 0 {
		delay = min(maxFailureBackoff, minFailureBackoff<<min(entry.failures, 5))
		entry.failures++
	}
	if overlay.Now()-overlay.startedAt < bootGracePeriod {
		// The other node may be starting as well.
		delay = min(delay, bootRetryInterval)
	}
	isolated := len(overlay.links) == 0
	if isolated {
		// This node may be the one that is cut off.
		delay = min(delay, isolatedRetryInterval)
	}
	entry.retryAt = overlay.Now() + delay
	if entry.failures >= forgetAfterFailures && !isolated {
		delete(overlay.directory, address)
	}
}

// markStopping records that a node announced its shutdown.
func (overlay *Overlay) markStopping(address string) {
	overlay.backOff(address, stoppingBackoff)
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	if entry, known := overlay.directory[address]; known {
		entry.stoppingUntil = overlay.Now() + stoppingBackoff
	}
}

// markAlive records that a node answered, and resets its backoff.
func (overlay *Overlay) markAlive(address string) {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	if entry, known := overlay.directory[address]; known {
		entry.failures, entry.retryAt, entry.stoppingUntil = 0, 0, 0
	}
}

// deadAfterFailures is the number of consecutive failures after which a node in backoff counts as dead, so that the
// next node takes its position. A node that failed once may only be slow, and a leaf that took its position would act
// as a relay until its next upstream selection.
const deadAfterFailures = 3

// candidates returns the nodes that may be alive. With includeFailing, it also returns nodes in backoff with fewer
// than deadAfterFailures consecutive failures.
func (overlay *Overlay) candidates(includeFailing bool) []tree.Member {
	return overlay.filterMembers(func(entry *directoryEntry, now time.Duration) bool {
		return now >= entry.retryAt || (includeFailing && entry.failures < deadAfterFailures)
	})
}

// healthyMembers returns the nodes that have not failed recently. A node that refused is in a short backoff, but is
// alive.
func (overlay *Overlay) healthyMembers() []tree.Member {
	return overlay.filterMembers(func(entry *directoryEntry, now time.Duration) bool {
		return now >= entry.retryAt || entry.failures == 0
	})
}

// filterMembers returns the nodes that match, without those that announced their shutdown.
func (overlay *Overlay) filterMembers(match func(entry *directoryEntry, now time.Duration) bool) []tree.Member {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	now := overlay.Now()
	members := make([]tree.Member, 0, len(overlay.directory))
	for _, entry := range overlay.directory {
		if now >= entry.stoppingUntil && match(entry, now) {
			members = append(members, entry.Member)
		}
	}
	return members
}

// position returns this node's position in the tree and the upstream candidates to try. With includeFailing, the
// candidates include nodes that failed recently.
func (overlay *Overlay) position(includeFailing bool) tree.Position {
	position := tree.PositionOf(overlay.Self, overlay.candidates(true), overlay.RelayCount)
	if includeFailing {
		return position
	}
	available := map[string]bool{}
	for _, member := range overlay.candidates(false) {
		available[member.Address] = true
	}
	position.Upstreams = slices.DeleteFunc(position.Upstreams, func(address string) bool { return !available[address] })
	return position
}

// groupByDataCentre groups nodes by data centre, each group in tree order.
func groupByDataCentre(members []tree.Member) map[string][]tree.Member {
	groups := map[string][]tree.Member{}
	for _, member := range members {
		groups[member.DataCentre] = append(groups[member.DataCentre], member)
	}
	for dataCentre, group := range groups {
		groups[dataCentre] = tree.Order(group)
	}
	return groups
}

// headsCacheTTL is how long a computed head list is reused. Sorting some hundred nodes for each frame cost a relay as
// much as the frames did.
const headsCacheTTL = 500 * time.Millisecond

// bootHeadsCacheTTL replaces headsCacheTTL while the nodes discover each other.
const bootHeadsCacheTTL = 50 * time.Millisecond

// headList holds the first nodes of each data centre and a hash of their addresses.
type headList struct {
	nodes   []*frame.Node
	hash    uint64
	builtAt time.Duration
}

// heads returns the first nodes of each data centre, including this node.
func (overlay *Overlay) heads() *headList {
	now, ttl := overlay.Now(), headsCacheTTL
	if now-overlay.startedAt < bootGracePeriod {
		ttl = bootHeadsCacheTTL
	}
	if cached := overlay.cachedHeads.Load(); cached != nil && now-cached.builtAt < ttl {
		return cached
	}
	list, digest := &headList{builtAt: now}, xxhash.New()
	groups := groupByDataCentre(append(overlay.healthyMembers(), overlay.Self))
	names := make([]string, 0, len(groups))
	for dataCentre := range groups {
		names = append(names, dataCentre)
	}
	slices.Sort(names)
	for _, dataCentre := range names {
		group := groups[dataCentre]
		for _, member := range group[:min(headsPerDataCentre, len(group))] {
			list.nodes = append(list.nodes, toWire(member))
			_, _ = digest.WriteString(member.Address + " ")
		}
	}
	list.hash = digest.Sum64()
	overlay.cachedHeads.Store(list)
	return list
}

// DataCentreCount returns the number of data centres with known nodes, including this node's own.
func (overlay *Overlay) DataCentreCount() int {
	return len(groupByDataCentre(append(overlay.candidates(true), overlay.Self)))
}

// sourceGrace is how long discovery waits for the remaining sources after one has returned nodes. Sources that are
// alive answer within some milliseconds of each other.
const sourceGrace = 15 * time.Millisecond

// discover queries all seeds for nodes at once. It also reads the store's directory if there are no seeds, or if this
// is not the fleet's first start, since the directory must list nodes by then. It waits until one source has returned
// nodes, or none will. Waiting for every seed after a power loss of all nodes cost each node 0.3 s in which it
// refused its callers, because some seeds did not answer.
func (overlay *Overlay) discover() {
	sources := []func() bool{}
	for _, seed := range overlay.Seeds {
		if seed != overlay.Self.Address {
			sources = append(sources, func() bool { return overlay.queryNodes(seed) })
		}
	}
	if len(sources) == 0 || !overlay.FirstStart {
		sources = append(sources, overlay.readDirectory)
	}
	answers := make(chan bool, len(sources))
	for _, source := range sources {
		overlay.Go(func() { answers <- source() })
	}
	timer := time.NewTimer(2 * attachTimeout)
	defer timer.Stop()
	for range sources {
		select {
		case answered := <-answers:
			if answered {
				timer.Reset(sourceGrace)
			}
		case <-timer.C:
			return
		case <-overlay.Stopping:
			return
		}
	}
}

// bootstrap finds the other nodes. When all nodes start for the first time, no node knows any other: each makes
// itself known to one seed, and queries again once all nodes have done so. Nodes that took their position from their
// first, incomplete answers, as nearly all nodes did, were relays or roots for seconds, with additional store calls
// and connections.
func (overlay *Overlay) bootstrap() {
	if !overlay.FirstStart || !overlay.queryAnySeed() {
		overlay.discover()
	}
	if !overlay.FirstStart {
		return
	}
	delay := rediscoverDelay + rand.N(rediscoverJitter)
	if slices.Contains(overlay.Seeds, overlay.Self.Address) {
		delay = seedRediscoverDelay
	}
	if !overlay.Sleep(delay) {
		return
	}
	if slices.Contains(overlay.Seeds, overlay.Self.Address) || !overlay.queryAnySeed() {
		overlay.discover()
	}
}

// queryAnySeed queries the seeds one after the other in random order until one answers. It reports whether one did.
func (overlay *Overlay) queryAnySeed() bool {
	for _, index := range rand.Perm(len(overlay.Seeds)) {
		if seed := overlay.Seeds[index]; seed != overlay.Self.Address && overlay.queryNodes(seed) {
			return true
		}
	}
	return false
}

// queryNodes queries a node for the nodes that it knows, and makes this node known to it. It reports whether the node
// answered.
func (overlay *Overlay) queryNodes(address string) bool {
	conn, answer, err := overlay.openConn(address, frame.Purpose_Ask)
	if err != nil {
		overlay.backOff(address, 0)
		return false
	}
	conn.Close()
	overlay.addMember(fromWire(answer.GetWelcome().GetSender()))
	if answer.Stopping {
		overlay.markStopping(address)
	} else {
		overlay.markAlive(address)
	}
	overlay.addHeads(answer.Heads)
	return true
}

// QueryDetours queries a node for the nodes that accept requests from other nodes: itself and some of its downstream
// nodes. A node that is shutting down returns none.
func (overlay *Overlay) QueryDetours(address string) []*frame.Detour {
	conn, answer, err := overlay.openConn(address, frame.Purpose_Ask)
	if err != nil {
		return nil
	}
	conn.Close()
	if answer.Stopping {
		return nil
	}
	return answer.Detours
}

// HealthyPeers returns the peer addresses of the nodes that have not failed recently, in random order, those of this
// node's data centre first.
func (overlay *Overlay) HealthyPeers() []string {
	local, remote := []string{}, []string{}
	for _, member := range overlay.healthyMembers() {
		if member.DataCentre == overlay.Self.DataCentre {
			local = append(local, member.Address)
		} else {
			remote = append(remote, member.Address)
		}
	}
	for _, addresses := range [][]string{local, remote} {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	}
	return append(local, remote...)
}

// readDirectory adds the nodes of the store's directory, and reports whether the read succeeded.
func (overlay *Overlay) readDirectory() bool {
	ctx, cancel := overlay.ContextWithTimeout(storeTimeout)
	defer cancel()
	members, err := overlay.ListNodes(ctx)
	if err != nil {
		overlay.Logger.Warn("overlay: cannot read the store's node directory.", "Error", err.Error())
		return false
	}
	for _, member := range members {
		overlay.addMember(member)
	}
	return true
}

// announceToHeads makes this node known to the first nodes of its data centre. Those that rank behind it can then
// attach to it.
func (overlay *Overlay) announceToHeads() {
	queries := conc.WaitGroup{}
	group := groupByDataCentre(overlay.candidates(false))[overlay.Self.DataCentre]
	for _, member := range group[:min(headsPerDataCentre, len(group))] {
		queries.Go(func() { overlay.queryNodes(member.Address) })
	}
	queries.Wait()
}

// register adds this node to the store's directory if it is not registered yet, and then reads the directory.
func (overlay *Overlay) register() {
	overlay.mu.Lock()
	registered := overlay.registered
	overlay.mu.Unlock()
	if registered {
		return
	}
	ctx, cancel := overlay.ContextWithTimeout(storeTimeout)
	defer cancel()
	if err := overlay.Register(ctx); err != nil {
		overlay.Logger.Warn("overlay: cannot register the node in the store's directory.", "Error", err.Error())
		return
	}
	overlay.mu.Lock()
	overlay.registered = true
	overlay.mu.Unlock()
	overlay.readDirectory()
}

// StoreReachable is called when the store answers again. A relay or root that could not register registers now.
func (overlay *Overlay) StoreReachable() {
	overlay.mu.Lock()
	registered := overlay.registered
	overlay.mu.Unlock()
	if role := overlay.Role(); registered || (role != Relay && role != Root) {
		return
	}
	overlay.scheduleRegister(0)
}

// RegistrationLost is called when the store may have lost this node's directory entry. A registered node then
// registers again: other nodes announce only the first nodes of each data centre, so a node that is missing from the
// directory may stay unknown to the rest of the fleet even while nodes that know it are alive.
func (overlay *Overlay) RegistrationLost() {
	overlay.mu.Lock()
	lost := overlay.registered
	overlay.registered = false
	overlay.mu.Unlock()
	if lost {
		overlay.scheduleRegister(0)
	}
}

// scheduleRegister registers this node after a delay if it is a relay or root by then. At a start many nodes are
// relays only temporarily.
func (overlay *Overlay) scheduleRegister(minDelay time.Duration) {
	overlay.Go(func() {
		if !overlay.Sleep(minDelay + rand.N(registerJitter)) {
			return
		}
		if role := overlay.Role(); role == Relay || role == Root {
			overlay.register()
		}
	})
}

const (
	// registerJitter is the period over which the registrations of nodes are spread.
	registerJitter = 2 * time.Second
	// relayRegisterDelay is how long a node must have been a relay before it registers.
	relayRegisterDelay = time.Second
)

// refreshDirectory registers this node and reads the store's directory if the node is a root.
func (overlay *Overlay) refreshDirectory() {
	if overlay.Role() == Root {
		overlay.register()
		overlay.readDirectory()
	}
}
