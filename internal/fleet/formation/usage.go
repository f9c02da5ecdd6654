package formation

import (
	"math"
	"time"
)

const (
	// baseObservedWeight is the weight of the observed shares against the configured shares while
	// no model is idle. The number of calls in progress says little about the demand for a model
	// that has too few slots.
	baseObservedWeight = 0.3
	// usageAveragingTime is the time constant of the usage average. A plan that followed each
	// fluctuation of a few seconds would retire groups and form them again afterwards. On the
	// calls of the first second alone, five of six large groups were retired for small ones.
	usageAveragingTime = 10 * time.Second
	// saturatedOccupancy is the fraction of a model's slots above which the model counts as
	// saturated. A saturated model refuses calls, so its used slots are less than its demand.
	saturatedOccupancy = 0.85
	// minObservedServers is the minimum demand, in servers, from which shares are derived.
	minObservedServers = 1.0
)

// Usage is the current usage of a model's groups.
type Usage struct {
	// UsedSlots is how many of the Slots have a call.
	UsedSlots, Slots int
	// RefusedPerSecond is the rate of calls refused for lack of a slot. MeanDuration is the mean
	// duration of a call.
	RefusedPerSecond float64
	MeanDuration     time.Duration
}

// maxDemandFactor caps the demand that refused calls can add up to, as a multiple of the model's
// slots. A caller that retries after a refusal is refused and counted again.
const maxDemandFactor = 3

// demandedSlots returns the number of slots that the model would need, refused calls included. A
// model without a group counts as having one group with the given number of slots.
func (usage *Usage) demandedSlots(slots int) float64 {
	refused := usage.RefusedPerSecond * usage.MeanDuration.Seconds()
	highest := float64(maxDemandFactor * max(usage.Slots, slots))
	return max(float64(usage.UsedSlots), min(float64(usage.UsedSlots)+refused, highest))
}

// usageAverage is each model's share of a service's demand, averaged over time up to updatedAt.
type usageAverage struct {
	shares map[string]float64
	// occupancy is the fraction of each model's slots that is used. It exceeds 1 if calls are
	// refused as well.
	occupancy map[string]float64
	updatedAt time.Duration
}

const (
	// busyOccupancy is the occupancy below which a model has more groups than its demand needs,
	// losses included. At idleOccupancy only the observed shares count. Beside a model that
	// refuses calls, both are relative to that model's demand per slot.
	busyOccupancy = 0.45
	idleOccupancy = 0.30
)

// observedWeight returns the weight of the observed shares. If one model's slots are idle while
// another model's slots are in use, the configured shares no longer match the demand. With a fixed
// weight, a burst of calls of one model found no slots while the other model's servers stayed idle.
func (average usageAverage) observedWeight() float64 {
	lowest, highest := 1.0, 0.0
	for _, used := range average.occupancy {
		lowest, highest = min(lowest, used), max(highest, used)
	}
	if highest < busyOccupancy {
		return baseObservedWeight
	}
	idle := (busyOccupancy - lowest/max(1, highest)) / (busyOccupancy - idleOccupancy)
	return baseObservedWeight + (1-baseObservedWeight)*min(1, max(0, idle))
}

// shares returns the fraction of the servers that each model should have: the configured shares,
// corrected by the observed usage.
//
// Refused calls count as demand for as long as they arrive. In addition, the observed share of a
// model that is saturated or has no slots never drops. Otherwise a model that lost groups would
// seem to need fewer groups, since fewer slots can be used.
func (controller *Controller) shares(service Service) map[string]float64 {
	configured := map[string]float64{}
	sum := 0.0
	for _, model := range service.Engine.Models {
		sum += model.Share
	}
	for _, model := range service.Engine.Models {
		configured[model.Name] = model.Share / max(sum, 1e-9)
	}
	average := controller.updateUsageAverage(service, configured)
	weight := average.observedWeight()
	shares := map[string]float64{}
	for _, model := range service.Engine.Models {
		shares[model.Name] = (1-weight)*configured[model.Name] + weight*average.shares[model.Name]
	}
	return shares
}

// updateUsageAverage adds the current usage to the average and returns the average.
func (controller *Controller) updateUsageAverage(service Service, configured map[string]float64) usageAverage {
	now := controller.Now()
	controller.mu.Lock()
	defer controller.mu.Unlock()
	average, known := controller.usageAverages[service.Name]
	if !known {
		average = usageAverage{shares: configured, updatedAt: now}
	}
	demanded, saturated, occupancy := map[string]float64{}, map[string]bool{}, map[string]float64{}
	for _, model := range service.Engine.Models {
		usage := controller.ModelUsage(service.Name, model.Name)
		demandedSlots := usage.demandedSlots(service.Engine.Slots)
		demanded[model.Name] = demandedSlots * float64(model.Size) / float64(max(1, service.Engine.Slots))
		saturated[model.Name] = demandedSlots >= saturatedOccupancy*float64(usage.Slots)
		slots := float64(max(1, usage.Slots))
		if usage.Slots == 0 {
			slots = float64(max(1, service.Engine.Slots))
		}
		occupancy[model.Name] = min(1, float64(usage.UsedSlots)/slots) + (demandedSlots-float64(usage.UsedSlots))/slots
	}
	average = average.updated(demanded, saturated, occupancy, now)
	controller.usageAverages[service.Name] = average
	return average
}

// updated returns the average after the observation of each model's demand in servers. saturated
// states which models have no free slots.
func (average usageAverage) updated(demanded map[string]float64, saturated map[string]bool, occupancy map[string]float64, now time.Duration) usageAverage {
	sum := 0.0
	for name := range average.shares {
		sum += demanded[name]
	}
	weight := 1 - math.Exp(-float64(now-average.updatedAt)/float64(usageAveragingTime))
	next := usageAverage{shares: map[string]float64{}, occupancy: map[string]float64{}, updatedAt: now}
	for name, used := range occupancy {
		next.occupancy[name] = average.occupancy[name] + weight*(used-average.occupancy[name])
	}
	for name, share := range average.shares {
		next.shares[name] = share
		if sum < minObservedServers {
			continue
		}
		if observed := demanded[name] / sum; observed > share || !saturated[name] {
			next.shares[name] = share + weight*(observed-share)
		}
	}
	return next
}
