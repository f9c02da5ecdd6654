package formation

import (
	"math"
	"time"
)

const (
	// demandTrust is how much the work seen weighs beside the stated shares, while no
	// model is idle. Calls under way tell little of a model that is short.
	demandTrust = 0.3
	// seenOver is the time over which the work seen is averaged. A plan that
	// followed every swing of some seconds would end groups for it, and have them
	// back when the swing is over: with the first second's calls alone, five of six
	// large groups were ended for small ones.
	seenOver = 10 * time.Second
	// saturated is the part of a model's places that is taken when calls are being
	// turned away: what is taken then is less than what was asked for.
	saturated = 0.85
	// leastSeen is how many servers' worth of calls say something about shares.
	leastSeen = 1.0
)

// Usage is what is asked of the groups of a model.
type Usage struct {
	// Taken is how many of their Places have a call.
	Taken, Places int
	// Refused is how many calls a second are refused for lack of a place, Duration how long
	// a call takes on average.
	Refused  float64
	Duration time.Duration
}

// demandMost bounds what refusals add to the demand of a model, in multiples of its places:
// a caller that comes again after a refusal is refused once more.
const demandMost = 3

// demand is how many places the model would need, those of refused calls included. A model
// without a group counts as if it had one, of so many slots.
func (usage *Usage) demand(slots int) float64 {
	refused := usage.Refused * usage.Duration.Seconds()
	most := float64(demandMost * max(usage.Places, slots))
	return max(float64(usage.Taken), min(float64(usage.Taken)+refused, most))
}

// sight is the part of a service's work that each model has had on average, as of
// a time.
type sight struct {
	shares map[string]float64
	// taken is the part of each model's places that is taken, over 1 where calls are refused
	// beside.
	taken map[string]float64
	at    time.Duration
}

const (
	// usedTaken is the part of a model's places below which it has more groups than its
	// work needs, losses included; at idleTaken the work seen alone counts. Beside a model
	// that refuses calls, they are parts of what that one is asked for per place.
	usedTaken = 0.45
	idleTaken = 0.30
)

// trust is how much the work seen weighs. Where the places of one model stand idle beside
// those of another that is in use, the stated shares are not those of the work any more:
// a burst of the one found no places, and the other's servers waited for nothing.
func (held sight) trust() float64 {
	least, most := 1.0, 0.0
	for _, taken := range held.taken {
		least, most = min(least, taken), max(most, taken)
	}
	if most < usedTaken {
		return demandTrust
	}
	idle := (usedTaken - least/max(1, most)) / (usedTaken - idleTaken)
	return demandTrust + (1-demandTrust)*min(1, max(0, idle))
}

// shares returns the part of the servers that each model should have: what the
// operator states at first, corrected by the work that is seen.
//
// Refused calls count as demand, as long as callers come. A model whose places are all taken, or
// that has none, is moreover never thought to need less than before: after losses fewer
// groups would seem to need fewer.
func (former *Former) shares(service Service) map[string]float64 {
	stated := map[string]float64{}
	sum := 0.0
	for _, model := range service.Engine.Models {
		sum += model.Share
	}
	for _, model := range service.Engine.Models {
		stated[model.Name] = model.Share / max(sum, 1e-9)
	}
	held := former.average(service, stated)
	trust := held.trust()
	shares := map[string]float64{}
	for _, model := range service.Engine.Models {
		shares[model.Name] = (1-trust)*stated[model.Name] + trust*held.shares[model.Name]
	}
	return shares
}

// average takes the shares of the work that is under way into the average.
func (former *Former) average(service Service, stated map[string]float64) sight {
	now := former.Now()
	former.mu.Lock()
	defer former.mu.Unlock()
	held, known := former.seen[service.Name]
	if !known {
		held = sight{shares: stated, at: now}
	}
	work, full, part := map[string]float64{}, map[string]bool{}, map[string]float64{}
	for _, model := range service.Engine.Models {
		usage := former.Load(service.Name, model.Name)
		needed := usage.demand(service.Engine.Slots)
		work[model.Name] = needed * float64(model.Size) / float64(max(1, service.Engine.Slots))
		full[model.Name] = needed >= saturated*float64(usage.Places)
		places := float64(max(1, usage.Places))
		if usage.Places == 0 {
			places = float64(max(1, service.Engine.Slots))
		}
		part[model.Name] = min(1, float64(usage.Taken)/places) + (needed-float64(usage.Taken))/places
	}
	held = held.next(work, full, part, now)
	former.seen[service.Name] = held
	return held
}

// next is the average with the work of each model, in servers, that is seen now.
// Full says whose places are all taken.
func (held sight) next(work map[string]float64, full map[string]bool, part map[string]float64, now time.Duration) sight {
	sum := 0.0
	for name := range held.shares {
		sum += work[name]
	}
	weight := 1 - math.Exp(-float64(now-held.at)/float64(seenOver))
	next := sight{shares: map[string]float64{}, taken: map[string]float64{}, at: now}
	for name, taken := range part {
		next.taken[name] = held.taken[name] + weight*(taken-held.taken[name])
	}
	for name, share := range held.shares {
		next.shares[name] = share
		if sum < leastSeen {
			continue
		}
		if seen := work[name] / sum; seen > share || !full[name] {
			next.shares[name] = share + weight*(seen-share)
		}
	}
	return next
}
