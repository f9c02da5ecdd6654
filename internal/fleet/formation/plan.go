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
	// Staging is the model that is being loaded onto its host, which may take the
	// place of what lies there. Until then it joins groups of Last only.
	Staging string
}

// has says whether a server joins a group of the model without a load.
func (spare *Spare) has(model string) bool {
	return spare.Last == model || (spare.Staging == "" && slices.Contains(spare.Staged, model))
}

// holds says whether a server has the model, or will have it, on its host.
func (spare *Spare) holds(model string) bool {
	if spare.Staging != "" {
		return spare.Staging == model
	}
	return slices.Contains(spare.Staged, model)
}

// Domain is the free servers of one fabric domain and the groups that it has,
// by model.
type Domain struct {
	Name   string
	Spares []Spare
	Groups map[string]int
	// Serving are the groups that serve and that nothing is being done to.
	Serving []Standing
	// Servers is how many servers there are to use, in groups or not.
	Servers int
	// Loading counts the servers that are having a model staged. They are no
	// spares yet: a group formed of them would load in their join, past the
	// bound on loads.
	Loading map[string]int
	// Planned is the layout that was chosen last, by model, empty at first.
	Planned map[string]int
	// Soon counts the servers that come free in a moment, by the model that they
	// ran last.
	Soon map[string]int
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

// Standing is a group of a domain that serves.
type Standing struct {
	Group   Group
	Members []Spare
}

// shadows counts the members that have the model staged beside their work. A
// member of a small group can so be a spare of a larger model that is not idle.
func (standing *Standing) shadows(model string) int {
	count := 0
	for _, member := range standing.Members {
		if member.has(model) {
			count++
		}
	}
	return count
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
	// Urgent loads are for a group that waits for them, the others for spares.
	Urgent bool
	// Loads is how many of the members need the weights from the store.
	Loads int
}

// Plan decides what to do with the servers.
//
// It first designs what each domain should hold, then takes the steps that are
// possible now: it forms the groups for which enough servers of a domain have the
// model; it ends groups that the design has no place for, once their servers
// complete one that it has; and it loads models, for groups that lack the fewest
// servers first, then for spares. A group without a staged spare of its domain
// waits for a load of many seconds, and the larger the group, the more servers
// wait with it, so the last servers of a domain are kept for that.
//
// While nothing was asked of the fleet yet (fromStore), groups are also formed
// of servers that must load first: loads cost little then, and joining loads
// without a further start.
func Plan(domains []Domain, demands []Demand, fromStore bool) []Step {
	planner := &planner{demands: demands, fromStore: fromStore}
	for number, layout := range design(domains, demands, fromStore) {
		domain := &domains[number]
		domain.Planned = layout.named(demands)
		planner.places = append(planner.places, &place{Domain: domain, target: layout})
	}
	planner.formAll()
	planner.convertAll()
	planner.loadAll()
	return planner.steps
}

type planner struct {
	places    []*place
	demands   []Demand
	fromStore bool
	steps     []Step
}

// place is a domain with what it should hold.
type place struct {
	*Domain
	target layout
}

// has is how many groups of a model the domain has, with those in the making.
func (domain *Domain) has(model string) int {
	return max(domain.Groups[model], domain.standing(model))
}

// formAll forms every group that the design has and for which there are servers,
// of the model that lacks most first.
func (planner *planner) formAll() {
	for formed := true; formed; {
		formed = false
		for _, model := range planner.byNeed() {
			if planner.formOne(model) {
				formed = true
				break
			}
		}
	}
}

// formOne forms one group of a model and says whether it did.
func (planner *planner) formOne(model int) bool {
	demand := &planner.demands[model]
	var best *place
	bestStaged := -1
	for _, place := range planner.places {
		staged := min(place.staged(demand.Name), demand.Size)
		if place.has(demand.Name) >= place.target[model] || len(place.Spares) < demand.Size {
			continue
		}
		if (staged == demand.Size || planner.fromStore) && staged > bestStaged {
			best, bestStaged = place, staged
		}
	}
	if best == nil {
		return false
	}
	members := best.choose(demand.Model)
	demand.Have++
	best.Groups[demand.Name] = best.has(demand.Name) + 1
	best.take(members)
	planner.steps = append(planner.steps, Step{Model: demand.Name, Members: members, Loads: demand.Size - bestStaged})
	return true
}

// byNeed returns the numbers of the models, the one that lacks most first.
func (planner *planner) byNeed() []int {
	models := make([]int, 0, len(planner.demands))
	for model := range planner.demands {
		models = append(models, model)
	}
	sort.SliceStable(models, func(i, j int) bool {
		return planner.demands[models[i]].share() < planner.demands[models[j]].share()
	})
	return models
}

func (demand *Demand) share() float64 {
	if demand.Want <= 0 {
		return math.Inf(1)
	}
	return float64(demand.Have) / demand.Want
}

// convertAll ends groups that the design has no place for where their servers
// complete a group that it has. They serve until then: a member of a group can
// have another model staged on its host beside its work.
func (planner *planner) convertAll() {
	for _, place := range planner.places {
		for model := range planner.demands {
			if place.has(planner.demands[model].Name) < place.target[model] {
				planner.convert(place, &planner.demands[model])
			}
		}
	}
}

func (planner *planner) convert(place *place, demand *Demand) {
	ready := place.staged(demand.Name)
	if planner.fromStore {
		ready = len(place.Spares)
	}
	ending := []int{}
	for number := range place.Serving {
		standing := &place.Serving[number]
		shadows := standing.shadows(demand.Name)
		if planner.fromStore {
			shadows = len(standing.Members)
		}
		if shadows > 0 && ready < demand.Size && planner.lends(place, standing, shadows, demand) {
			ready += shadows
			ending = append(ending, number)
		}
	}
	if ready < demand.Size || place.staged(demand.Name)+place.Soon[demand.Name]+place.Loading[demand.Name] >= demand.Size {
		return
	}
	for _, number := range ending {
		group := place.Serving[number].Group
		planner.steps = append(planner.steps, Step{Retire: true, Model: demand.Name, Group: group})
	}
}

// lends says whether a group may be ended for one of another model: the design has
// no place for it, or it is smaller and stands again at once, with spares in place
// of those that it gives.
func (planner *planner) lends(place *place, standing *Standing, shadows int, demand *Demand) bool {
	if planner.surplus(place, standing) {
		return true
	}
	return len(standing.Members) < demand.Size && place.staged(standing.Group.Model) >= shadows
}

// surplus says whether the design has fewer groups of a group's model than there
// are in the domain.
func (planner *planner) surplus(place *place, standing *Standing) bool {
	for model := range planner.demands {
		if planner.demands[model].Name == standing.Group.Model {
			return place.has(planner.demands[model].Name) > place.target[model]
		}
	}
	return true
}

// want is one load that would help.
type want struct {
	place *place
	id    string
	model string
	score float64
	// urgent says that a group waits for it.
	urgent bool
}

// loadAll plans loads, those that help most first.
func (planner *planner) loadAll() {
	wants := []want{}
	for _, place := range planner.places {
		wants = append(wants, planner.wants(place)...)
	}
	sort.SliceStable(wants, func(i, j int) bool { return wants[i].score > wants[j].score })
	for _, want := range wants {
		planner.steps = append(planner.steps, Step{Stage: true, Model: want.model, Members: []string{want.id}, Loads: 1, Urgent: want.urgent})
		want.place.load(want.id, want.model)
	}
}

const (
	// completes is what the load for a group that lacks one server scores, by the
	// group's size; a load for one that lacks more scores a part of it.
	completes = 100
	// insures is what the load for a spare scores in a domain with one group of
	// the model, by the square of its size: larger groups are hit more often, and
	// more servers wait for each loss.
	insures = 1
	// insuredOnce is what of that is left with each spare that is there.
	insuredOnce = 0.2
)

// wants returns the loads that would help in one domain.
func (planner *planner) wants(place *place) []want {
	found := []want{}
	pool := append([]Spare{}, place.Spares...)
	for model := range planner.demands {
		demand := &planner.demands[model]
		missing := place.target[model] - place.has(demand.Name)
		if missing <= 0 {
			continue
		}
		found = append(found, planner.forGroup(place, demand, &pool)...)
	}
	return append(found, planner.forSpares(place, pool)...)
}

// forGroup returns the loads that a group lacks that the domain should have. It
// takes the servers of the group out of the pool.
func (planner *planner) forGroup(place *place, demand *Demand, pool *[]Spare) []want {
	rest, lacking := []Spare{}, demand.Size-place.Loading[demand.Name]-place.Soon[demand.Name]
	for _, spare := range *pool {
		if spare.has(demand.Name) && lacking > 0 {
			lacking--
			continue
		}
		rest = append(rest, spare)
	}
	shadows := place.shadows(demand)
	lacking = max(0, lacking-shadows)
	score := completes * float64(demand.Size) / float64(1+lacking)
	found := []want{}
	sort.SliceStable(rest, func(i, j int) bool { return len(rest[i].Staged) < len(rest[j].Staged) })
	rest = slices.DeleteFunc(rest, func(spare Spare) bool { return spare.Staging != "" })
	for lacking > 0 && len(rest) > 0 {
		found = append(found, want{place: place, id: rest[0].ID, model: demand.Name, score: score, urgent: true})
		rest = rest[1:]
		lacking--
	}
	*pool = rest
	return found
}

// forSpares returns the loads by which the servers that are left, and the members
// of serving groups beside their work, insure the groups of the domain. A server
// starts the model that it ran last without its weights on the host, so it can hold
// another there, and be of use to two models.
func (planner *planner) forSpares(place *place, pool []Spare) []want {
	found := []want{}
	have := make([]int, len(planner.demands))
	for model := range planner.demands {
		name := planner.demands[model].Name
		have[model] = place.Loading[name] + place.Soon[name] + place.shadows(&planner.demands[model])
		for _, spare := range pool {
			if spare.has(name) {
				have[model]++
			}
		}
	}
	add := func(server *Spare, idle bool) {
		model, score := planner.bestInsured(place, server, have)
		if model < 0 {
			return
		}
		have[model]++
		if !idle {
			score *= besideWork
		}
		found = append(found, want{place: place, id: server.ID, model: planner.demands[model].Name, score: score})
	}
	for _, spare := range pool {
		if spare.Staging == "" && (len(spare.Staged) == 0 || spare.holds(spare.Last)) {
			add(&spare, len(spare.Staged) == 0)
		}
	}
	for number := range place.Serving {
		for _, member := range place.Serving[number].Members {
			if member.Staging == "" && member.holds(member.Last) {
				add(&member, false)
			}
		}
	}
	return found
}

// besideWork is what a load for a server that is of use as it is counts beside one
// for an empty server.
const besideWork = 0.2

// bestInsured is the model that a server lacks and of which one more spare helps
// most, -1 for none.
func (planner *planner) bestInsured(place *place, server *Spare, have []int) (model int, score float64) {
	model = -1
	for number := range planner.demands {
		if server.has(planner.demands[number].Name) {
			continue
		}
		if value := planner.insurance(place, number, have[number]); model < 0 || value > score {
			model, score = number, value
		}
	}
	return model, score
}

// insurance is what one more spare of a model helps in a domain that has some.
func (planner *planner) insurance(place *place, model, spares int) float64 {
	demand := &planner.demands[model]
	groups := max(float64(place.has(demand.Name)), unformed)
	return insures * groups * float64(demand.Size*demand.Size) * math.Pow(insuredOnce, float64(spares))
}

// unformed is what a model counts of which the domain has no group: its spares
// may be the beginning of one.
const unformed = 0.1

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
		case spare.Last == model.Name:
			return -1
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
