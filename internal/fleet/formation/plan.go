package formation

import (
	"math"
	"slices"
	"sort"

	"hazelslip/internal/state/configuration"
)

// Spare is a server, as the planner sees it.
type Spare struct {
	ID string
	// Staged are the models on its host, Last is the one that it last ran, which
	// it starts again without them.
	Staged []string
	Last   string
}

// has says whether a server joins a group of the model without a load.
func (spare *Spare) has(model string) bool {
	return spare.Last == model || slices.Contains(spare.Staged, model)
}

// Domain is the free servers of one fabric domain and the groups that it has,
// by model.
type Domain struct {
	Name    string
	Spares  []Spare
	Groups  map[string]int
	Lenders []Lender
	// Loading counts the servers that are having a model staged. They are no
	// spares yet: a group formed of them would load in their join, past the
	// bound on loads.
	Loading map[string]int
}

// load takes a server out of the spares to have a model staged.
func (domain *Domain) load(id, model string) {
	domain.take([]string{id})
	domain.Loading[model]++
}

// Demand is what is wanted of one model.
type Demand struct {
	configuration.Model
	// Have counts groups that serve or are in the making, Want is how many
	// there should be.
	Have int
	Want float64
}

// Step is one thing to do: to form a group of Members; to stage Model on the one
// of Members, where Stage is set; or to end Group for the sake of Model, where
// Retire is set.
type Step struct {
	Stage   bool
	Retire  bool
	Group   Group
	Model   string
	Members []string
	// Loads is how many of the members need the weights from the store.
	Loads int
}

// stagePurpose begins the purpose of servers that are having a model staged.
const stagePurpose = "Stage "

// purpose says what the members are reserved for.
func (step *Step) purpose() string {
	if step.Stage {
		return stagePurpose + step.Model
	}
	return step.Model
}

// Plan decides what to do with free servers.
//
// Groups are formed of the model that lacks most of what it should have, where
// enough free servers of one domain have it staged. It answers fleets that lose
// members one by one every few seconds: a group without a spare of its domain
// waits for a load of many seconds, and the larger the group, the more servers
// wait with it. So most groups come first, then a staged spare for each model
// in each domain, then the other groups, and last groups beyond what is wanted
// where servers would be idle all the same.
//
// While nothing was asked of the fleet yet (fromStore), groups are also formed
// of servers that must load first: loads cost little then, and joining loads
// without a further start.
func Plan(domains []Domain, demands []Demand, fromStore bool) []Step {
	planner := &planner{domains: domains, demands: demands, fromStore: fromStore}
	planner.formAll(mostGroups)
	planner.stageSpares()
	planner.formAll(1)
	planner.stageRest()
	planner.restageStranded()
	planner.formIdle()
	planner.lendAll()
	return planner.steps
}

// mostGroups is the part of the groups wanted that is formed before spares are
// staged.
const mostGroups = 0.75

type planner struct {
	domains   []Domain
	demands   []Demand
	fromStore bool
	steps     []Step
}

// formAll forms groups until each model has a part of what is wanted of it, or
// no domain has the servers.
func (planner *planner) formAll(part float64) {
	for planner.formOne(part) {
		continue
	}
}

// formOne plans one group and says whether it did.
func (planner *planner) formOne(part float64) bool {
	for _, demand := range planner.byNeed() {
		if float64(demand.Have)+formSlack > demand.Want*part {
			continue
		}
		if domain, loads := planner.place(demand, 0); domain != nil {
			planner.form(domain, demand, loads)
			return true
		}
	}
	return false
}

func (planner *planner) form(domain *Domain, demand *Demand, loads int) {
	members := domain.choose(demand.Model)
	demand.Have++
	domain.Groups[demand.Name]++
	domain.take(members)
	planner.steps = append(planner.steps, Step{Model: demand.Name, Members: members, Loads: loads})
}

// formIdle forms groups beyond what is wanted where a domain has staged servers
// to spare and still keeps some.
func (planner *planner) formIdle() {
	if planner.fromStore {
		return
	}
	for formed := true; formed; {
		formed = false
		for _, demand := range planner.byNeed() {
			if domain, _ := planner.place(demand, idleKept); domain != nil {
				planner.form(domain, demand, 0)
				formed = true
				break
			}
		}
	}
}

const (
	// formSlack is how much of a group may be too much: wants are fractions.
	formSlack = 0.5
	// idleKept is how many free servers a domain keeps when a group beyond what
	// is wanted is formed there.
	idleKept = 1
)

// bySize returns the demands, the largest model first, and of one size the one
// that lacks most.
func (planner *planner) bySize() []*Demand {
	demands := planner.byNeed()
	sort.SliceStable(demands, func(i, j int) bool { return demands[i].Size > demands[j].Size })
	return demands
}

// byNeed returns the demands, the one that lacks most first.
func (planner *planner) byNeed() []*Demand {
	demands := make([]*Demand, 0, len(planner.demands))
	for number := range planner.demands {
		demands = append(demands, &planner.demands[number])
	}
	sort.SliceStable(demands, func(i, j int) bool { return demands[i].share() < demands[j].share() })
	return demands
}

func (demand *Demand) share() float64 {
	if demand.Want <= 0 {
		return math.Inf(1)
	}
	return float64(demand.Have) / demand.Want
}

// place finds the domain with the most servers that are ready for the model
// and more than kept besides, and how many of them must load.
func (planner *planner) place(demand *Demand, kept int) (*Domain, int) {
	var best *Domain
	bestStaged, bestFree := -1, -1
	for number := range planner.domains {
		domain := &planner.domains[number]
		staged := min(domain.staged(demand.Name), demand.Size)
		free := len(domain.Spares)
		if free < demand.Size+kept || (staged < demand.Size && !planner.fromStore) {
			continue
		}
		if staged > bestStaged || (staged == bestStaged && free > bestFree) {
			best, bestStaged, bestFree = domain, staged, free
		}
	}
	return best, max(0, demand.Size-bestStaged)
}

func (domain *Domain) staged(model string) int {
	count := 0
	for _, spare := range domain.Spares {
		if spare.has(model) {
			count++
		}
	}
	return count
}

// choose returns a group's members: servers with the model first, then those
// with nothing staged.
func (domain *Domain) choose(model configuration.Model) []string {
	rank := func(spare Spare) int {
		switch {
		case spare.has(model.Name):
			return 0
		case len(spare.Staged) == 0:
			return 1
		default:
			return 2
		}
	}
	sorted := append([]Spare{}, domain.Spares...)
	sort.SliceStable(sorted, func(i, j int) bool { return rank(sorted[i]) < rank(sorted[j]) })
	members := make([]string, 0, model.Size)
	for _, spare := range sorted[:model.Size] {
		members = append(members, spare.ID)
	}
	return members
}

func (domain *Domain) take(members []string) {
	kept := domain.Spares[:0]
	for _, spare := range domain.Spares {
		if !slices.Contains(members, spare.ID) {
			kept = append(kept, spare)
		}
	}
	domain.Spares = kept
}

// stageSpares plans one staged spare for each model of each domain, the largest
// models first.
func (planner *planner) stageSpares() {
	for _, demand := range planner.bySize() {
		for number := range planner.domains {
			domain := &planner.domains[number]
			if domain.Groups[demand.Name] > 0 && domain.staged(demand.Name)+domain.Loading[demand.Name] == 0 {
				planner.stage(domain, demand.Name)
			}
		}
	}
}

// stage plans to stage a model on a free server of a domain that has nothing
// staged, which then waits as a spare.
func (planner *planner) stage(domain *Domain, model string) {
	for _, spare := range domain.Spares {
		if len(spare.Staged) == 0 {
			planner.loadOnto(domain, spare.ID, model)
			return
		}
	}
}

// loadOnto plans to load a model onto a free server of a domain.
func (planner *planner) loadOnto(domain *Domain, id, model string) {
	planner.steps = append(planner.steps, Step{Stage: true, Model: model, Members: []string{id}, Loads: 1})
	domain.load(id, model)
}

// stageRest plans what the other servers that wait should have staged.
func (planner *planner) stageRest() {
	for number := range planner.domains {
		domain := &planner.domains[number]
		for _, spare := range append([]Spare{}, domain.Spares...) {
			if len(spare.Staged) > 0 {
				continue
			}
			if model := planner.wantStaged(domain); model != "" {
				planner.loadOnto(domain, spare.ID, model)
			}
		}
	}
}

// restageStranded plans to load a smaller model onto spares that wait for a group
// of a larger one which can't come about: too few are left of it in their domain.
// After a series of losses twelve of 52 servers waited so, for good, while the
// calls of both models were turned away.
func (planner *planner) restageStranded() {
	if planner.fromStore {
		return
	}
	for _, larger := range planner.bySize() {
		for number := range planner.domains {
			domain := &planner.domains[number]
			for _, smaller := range planner.byNeed() {
				if smaller.Size < larger.Size && smaller.share() < 1 {
					planner.restage(domain, larger, smaller)
				}
			}
		}
	}
}

// restage plans as many loads of the smaller model as complete groups of it.
func (planner *planner) restage(domain *Domain, larger, smaller *Demand) {
	stranded := []string{}
	for _, spare := range domain.Spares {
		if spare.has(larger.Name) && !spare.has(smaller.Name) {
			stranded = append(stranded, spare.ID)
		}
	}
	if domain.staged(larger.Name)+domain.shadows(larger)+domain.Loading[larger.Name] >= larger.Size-1 {
		// The group is complete, or a smaller one will lend it the last member.
		return
	}
	if domain.Groups[larger.Name] > 0 && len(stranded) > 0 {
		// One stays to replace a member of the domain's other group.
		stranded = stranded[1:]
	}
	ready := domain.staged(smaller.Name) + domain.Loading[smaller.Name]
	count := (ready+len(stranded))/smaller.Size*smaller.Size - ready
	for _, id := range stranded[:max(0, min(count, len(stranded)))] {
		planner.loadOnto(domain, id, smaller.Name)
	}
}

// wantStaged returns the model of which a domain's waiting servers should have
// one more: the one that completes the most of a lacking group first.
func (planner *planner) wantStaged(domain *Domain) string {
	best, bestScore := "", -1.0
	for _, demand := range planner.byNeed() {
		staged := domain.staged(demand.Name) + domain.Loading[demand.Name]
		score := 0.0
		if domain.Groups[demand.Name] > 0 && staged == 0 {
			score += float64(demand.Size)
		}
		if demand.share() < 1 && staged < demand.Size && len(domain.Spares)+domain.Loading[demand.Name] >= demand.Size {
			score += 1 + float64(staged)
		}
		score += 1 / float64(1+staged)
		if score > bestScore {
			best, bestScore = demand.Name, score
		}
	}
	return best
}
