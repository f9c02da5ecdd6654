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
	// fetchTime bounds an answer that may be long: some hundred KB over a link of
	// 20 Mbit/s that loses packets.
	fetchTime = 1500 * time.Millisecond
	// suspectLeast is how long a node that didn't answer is not tried again; it
	// doubles with each failure up to suspectMost.
	suspectLeast = 500 * time.Millisecond
	suspectMost  = 15 * time.Second
	// refusedFor is the same for a node that answered and refused: it may just be
	// starting.
	refusedFor = 100 * time.Millisecond
	// aloneAgain is the most for a node that has no connection to any other.
	aloneAgain = 400 * time.Millisecond
	// forgetAfter is how many failures in a row make a node be forgotten.
	forgetAfter = 12
	// headsTold is how many nodes of each data centre are told to others: the
	// relays and who comes after them.
	headsTold = 5
	// storeTime bounds a call to the store's directory.
	storeTime = 700 * time.Millisecond
	// directoryEvery is how often a root reads the store's directory, for nodes that
	// nobody it knows has heard of.
	directoryEvery = 15 * time.Second
)

// entry is a node that was heard of.
type entry struct {
	tree.Member
	failures     int
	suspectUntil time.Duration
	// stopsUntil is up to when it isn't counted, since it said that it stops.
	stopsUntil time.Duration
}

// learn notes that there is a node.
func (overlay *Overlay) learn(member tree.Member) {
	if member.Address == "" || member.DataCentre == "" || member.Address == overlay.Self.Address {
		return
	}
	overlay.mu.Lock()
	held, known := overlay.directory[member.Address]
	news := !known || held.Member != member
	if news {
		overlay.directory[member.Address] = &entry{Member: member}
	}
	overlay.mu.Unlock()
	if news && member.DataCentre == overlay.Self.DataCentre && tree.Compare(member, overlay.Self) < 0 {
		overlay.nudge()
	}
}

// nudge makes the node look for its place again.
func (overlay *Overlay) nudge() {
	select {
	case overlay.wake <- struct{}{}:
	default:
	}
}

func (overlay *Overlay) learnAll(heads []*frame.Node) {
	for _, head := range heads {
		overlay.learn(fromWire(head))
	}
}

func (overlay *Overlay) learnRoot(dataCentre, address string) {
	if dataCentre == "" {
		return
	}
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	overlay.roots[dataCentre] = address
}

// suspect keeps a node from being tried for a while: as long as given, or longer
// with each failure.
func (overlay *Overlay) suspect(address string, span time.Duration) {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	held, known := overlay.directory[address]
	if !known {
		return
	}
	if span == 0 {
		span = min(suspectMost, suspectLeast<<min(held.failures, 5))
		held.failures++
	}
	if overlay.Now()-overlay.started < bootTime {
		// It may be starting as well.
		span = min(span, bootAgain)
	}
	alone := len(overlay.links) == 0
	if alone {
		// This node may be the one that is cut off.
		span = min(span, aloneAgain)
	}
	held.suspectUntil = overlay.Now() + span
	if held.failures >= forgetAfter && !alone {
		delete(overlay.directory, address)
	}
}

// stops notes that a node said that it stops.
func (overlay *Overlay) stops(address string) {
	overlay.suspect(address, stoppingFor)
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	if held, known := overlay.directory[address]; known {
		held.stopsUntil = overlay.Now() + stoppingFor
	}
}

// answered notes that a node lives.
func (overlay *Overlay) answered(address string) {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	if held, known := overlay.directory[address]; known {
		held.failures, held.suspectUntil, held.stopsUntil = 0, 0, 0
	}
}

// goneAfter is how many failures in a row make a node count as gone while it isn't
// tried: its place goes to the next. One that failed once may only have been slow, and
// a leaf that took its place for that would be a relay until it looks again.
const goneAfter = 3

// members returns the nodes that may be alive; with suspects, also those that
// failed lately, but for a few times in a row.
func (overlay *Overlay) members(suspects bool) []tree.Member {
	return overlay.membersThat(func(held *entry, now time.Duration) bool {
		return now >= held.suspectUntil || (suspects && held.failures < goneAfter)
	})
}

// answering returns the nodes that did not fail lately. One that refused isn't tried for a
// moment and lives.
func (overlay *Overlay) answering() []tree.Member {
	return overlay.membersThat(func(held *entry, now time.Duration) bool {
		return now >= held.suspectUntil || held.failures == 0
	})
}

// membersThat returns the nodes that count, but for those that said that they stop.
func (overlay *Overlay) membersThat(count func(held *entry, now time.Duration) bool) []tree.Member {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	now := overlay.Now()
	members := make([]tree.Member, 0, len(overlay.directory))
	for _, held := range overlay.directory {
		if now >= held.stopsUntil && count(held, now) {
			members = append(members, held.Member)
		}
	}
	return members
}

// place is where this node stands, and which nodes above it there are to be tried;
// with suspects, also those that failed lately.
func (overlay *Overlay) place(suspects bool) tree.Place {
	place := tree.PlaceOf(overlay.Self, overlay.members(true), overlay.Relays)
	if suspects {
		return place
	}
	tried := map[string]bool{}
	for _, member := range overlay.members(false) {
		tried[member.Address] = true
	}
	place.Above = slices.DeleteFunc(place.Above, func(address string) bool { return !tried[address] })
	return place
}

// byDataCentre sorts nodes by data centre, each in its order.
func byDataCentre(members []tree.Member) map[string][]tree.Member {
	centres := map[string][]tree.Member{}
	for _, member := range members {
		centres[member.DataCentre] = append(centres[member.DataCentre], member)
	}
	for dataCentre, inside := range centres {
		centres[dataCentre] = tree.Order(inside)
	}
	return centres
}

// headsKept is how long the heads that were worked out last are told: sorting some
// hundred nodes for every frame cost a relay as much as the frames did.
const headsKept = 500 * time.Millisecond

// headsKeptBoot is the same while the nodes find each other.
const headsKeptBoot = 50 * time.Millisecond

// heads are the first nodes of each data centre, and a hash of them.
type heads struct {
	nodes   []*frame.Node
	version uint64
	at      time.Duration
}

// heads returns the first nodes of each data centre, this one among its own.
func (overlay *Overlay) heads() *heads {
	now, kept := overlay.Now(), headsKept
	if now-overlay.started < bootTime {
		kept = headsKeptBoot
	}
	if held := overlay.told.Load(); held != nil && now-held.at < kept {
		return held
	}
	found, digest := &heads{at: now}, xxhash.New()
	centres := byDataCentre(append(overlay.answering(), overlay.Self))
	names := make([]string, 0, len(centres))
	for dataCentre := range centres {
		names = append(names, dataCentre)
	}
	slices.Sort(names)
	for _, dataCentre := range names {
		inside := centres[dataCentre]
		for _, member := range inside[:min(headsTold, len(inside))] {
			found.nodes = append(found.nodes, toWire(member))
			_, _ = digest.WriteString(member.Address + " ")
		}
	}
	found.version = digest.Sum64()
	overlay.told.Store(found)
	return found
}

// DataCentres counts those that nodes are known of, this one's among them.
func (overlay *Overlay) DataCentres() int {
	return len(byDataCentre(append(overlay.members(true), overlay.Self)))
}

// sourceGrace is how much longer the other sources are waited for when one has told
// of nodes: those that live answer within some milliseconds of each other.
const sourceGrace = 15 * time.Millisecond

// discover asks which nodes there are: all seeds at once, and the store's directory
// where there are no seeds or nodes must be there already. It waits until one has
// told, or none will. After all nodes lost power together, seeds that don't answer
// cost each node 0.3 s in which it refused its callers.
func (overlay *Overlay) discover() {
	sources := []func() bool{}
	for _, seed := range overlay.Seeds {
		if seed != overlay.Self.Address {
			sources = append(sources, func() bool { return overlay.question(seed) })
		}
	}
	if len(sources) == 0 || !overlay.FirstStart {
		sources = append(sources, overlay.readDirectory)
	}
	answers := make(chan bool, len(sources))
	for _, source := range sources {
		overlay.Go(func() { answers <- source() })
	}
	timer := time.NewTimer(2 * attachTime)
	defer timer.Stop()
	for range sources {
		select {
		case told := <-answers:
			if told {
				timer.Reset(sourceGrace)
			}
		case <-timer.C:
			return
		case <-overlay.Stopping:
			return
		}
	}
}

// boot finds the other nodes. When all start for the first time nobody knows them yet: each
// makes itself known to one seed, and asks again when all have. A node that took its
// place by what it knew at first was a relay or a root for seconds, with calls to the
// store and more connections, as nearly all nodes were.
func (overlay *Overlay) boot() {
	if !overlay.FirstStart || !overlay.askSeed() {
		overlay.discover()
	}
	if !overlay.FirstStart {
		return
	}
	again := firstOthers + rand.N(firstSpread)
	if slices.Contains(overlay.Seeds, overlay.Self.Address) {
		again = firstSeeds
	}
	if !overlay.Sleep(again) {
		return
	}
	if slices.Contains(overlay.Seeds, overlay.Self.Address) || !overlay.askSeed() {
		overlay.discover()
	}
}

// askSeed asks one seed after the other, in an order drawn anew, until one answers. It
// says whether one did.
func (overlay *Overlay) askSeed() bool {
	for _, number := range rand.Perm(len(overlay.Seeds)) {
		if seed := overlay.Seeds[number]; seed != overlay.Self.Address && overlay.question(seed) {
			return true
		}
	}
	return false
}

// question asks a node for those that it knows, and makes this one known to it. It
// says whether the node answered.
func (overlay *Overlay) question(address string) bool {
	conn, answer, err := overlay.open(address, frame.Purpose_Ask)
	if err != nil {
		overlay.suspect(address, 0)
		return false
	}
	conn.Close()
	overlay.learn(fromWire(answer.GetWelcome().GetSender()))
	if answer.Stopping {
		overlay.stops(address)
	} else {
		overlay.answered(address)
	}
	overlay.learnAll(answer.Heads)
	return true
}

// AskDetours asks a node which nodes take requests of others, itself and some that hear from it. A node that stops
// takes none.
func (overlay *Overlay) AskDetours(address string) []*frame.Detour {
	conn, answer, err := overlay.open(address, frame.Purpose_Ask)
	if err != nil {
		return nil
	}
	conn.Close()
	if answer.Stopping {
		return nil
	}
	return answer.Detours
}

// Others returns the peer addresses of nodes that didn't fail lately, those of the own data centre first, each
// in an order drawn anew.
func (overlay *Overlay) Others() []string {
	near, far := []string{}, []string{}
	for _, member := range overlay.answering() {
		if member.DataCentre == overlay.Self.DataCentre {
			near = append(near, member.Address)
		} else {
			far = append(far, member.Address)
		}
	}
	for _, addresses := range [][]string{near, far} {
		rand.Shuffle(len(addresses), func(one, other int) { addresses[one], addresses[other] = addresses[other], addresses[one] })
	}
	return append(near, far...)
}

// readDirectory learns of the nodes in the store's directory, and says whether that
// could be read.
func (overlay *Overlay) readDirectory() bool {
	ctx, cancel := overlay.ContextWithTimeout(storeTime)
	defer cancel()
	members, err := overlay.Known(ctx)
	if err != nil {
		overlay.Logger.Warn("overlay: the directory of nodes can't be read.", "Error", err.Error())
		return false
	}
	for _, member := range members {
		overlay.learn(member)
	}
	return true
}

// announce makes this node known to the first nodes of its data centre, which may
// stand behind it and attach to it then.
func (overlay *Overlay) announce() {
	questions := conc.WaitGroup{}
	inside := byDataCentre(overlay.members(false))[overlay.Self.DataCentre]
	for _, member := range inside[:min(headsTold, len(inside))] {
		questions.Go(func() { overlay.question(member.Address) })
	}
	questions.Wait()
}

// register makes this node known in the store's directory, where it isn't yet, and
// reads who else is there.
func (overlay *Overlay) register() {
	overlay.mu.Lock()
	registered := overlay.registered
	overlay.mu.Unlock()
	if registered {
		return
	}
	ctx, cancel := overlay.ContextWithTimeout(storeTime)
	defer cancel()
	if err := overlay.Register(ctx); err != nil {
		overlay.Logger.Warn("overlay: the node can't be registered.", "Error", err.Error())
		return
	}
	overlay.mu.Lock()
	overlay.registered = true
	overlay.mu.Unlock()
	overlay.readDirectory()
}

// Reachable is told that the store answers again. A node that could not make itself known
// there does so now.
func (overlay *Overlay) Reachable() {
	overlay.mu.Lock()
	registered := overlay.registered
	overlay.mu.Unlock()
	if role := overlay.Role(); registered || (role != Relay && role != Root) {
		return
	}
	overlay.registerSoon(0)
}

// Forgotten is told that the store may have lost this node's entry of the directory. A
// node that nobody finds there isn't told of by others for as long as those that know
// it live.
func (overlay *Overlay) Forgotten() {
	overlay.mu.Lock()
	lost := overlay.registered
	overlay.registered = false
	overlay.mu.Unlock()
	if lost {
		overlay.registerSoon(0)
	}
}

// registerSoon makes this node known in the store's directory, if it is a relay or root by then.
// At a start many nodes are relays in passing.
func (overlay *Overlay) registerSoon(least time.Duration) {
	overlay.Go(func() {
		if !overlay.Sleep(least + rand.N(registerSpread)) {
			return
		}
		if role := overlay.Role(); role == Relay || role == Root {
			overlay.register()
		}
	})
}

const (
	// registerSpread is the time over which nodes register.
	registerSpread = 2 * time.Second
	// relayLasts is how long a node must have been a relay before it registers.
	relayLasts = time.Second
)

// refresh keeps what a root knows of other nodes up to date.
func (overlay *Overlay) refresh() {
	if overlay.Role() == Root {
		overlay.register()
		overlay.readDirectory()
	}
}
