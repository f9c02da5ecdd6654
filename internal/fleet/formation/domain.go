package formation

import (
	"math"
	"slices"
	"sort"

	"hazelslip/internal/state/configuration"
)

// ServerInfo is the planner's view of a server.
type ServerInfo struct {
	ID string
	// Staged lists the models on the server's host. LastModel is the model that the server last
	// ran, which it starts again without staged weights.
	Staged    []string
	LastModel string
	// Staging is the model that is being loaded onto the host. It may replace the staged models,
	// so until the load ends the server joins only groups of LastModel without a load.
	Staging string
}

// startsWithoutLoad reports whether the server can join a group of the model without loading
// weights.
func (server *ServerInfo) startsWithoutLoad(model string) bool {
	return server.LastModel == model || (server.Staging == "" && slices.Contains(server.Staged, model))
}

// Domain holds the free servers of one fabric domain and the number of its groups by model.
type Domain struct {
	Name        string
	FreeServers []ServerInfo
	Groups      map[string]int
	// Serving holds the groups that serve and that no work is in progress on.
	Serving []ServingGroup
	// ServerCount is the number of usable servers, members of groups included.
	ServerCount int
	// Loading counts the servers that a model is being staged on, by model, members of groups
	// included. They are not yet free servers with the model: a group formed of them would load
	// during the join, outside the limit on loads.
	Loading map[string]int
	// Planned is the layout of the previous plan, by model. It is empty before the first plan.
	Planned map[string]int
	// Releasing counts the servers that are about to become free, by their last model.
	Releasing map[string]int
}

// startStaging removes a server from the free servers and counts it as loading the model.
func (domain *Domain) startStaging(id, model string) {
	domain.removeFree([]string{id})
	domain.Loading[model]++
}

// Demand is the number of groups of one model that exist and that are desired.
type Demand struct {
	configuration.Model
	// Current counts the groups that serve or are being formed. Desired is the number of groups
	// that there should be.
	Current int
	Desired float64
}

// ServingGroup is a group of a domain that serves.
type ServingGroup struct {
	Group   Group
	Members []ServerInfo
}

// membersWithModel counts the members that start the model without a load. A member of a small
// group can thus be a spare for a larger model without being idle.
func (serving *ServingGroup) membersWithModel(model string) int {
	return countWithModel(serving.Members, model)
}

// countWithModel counts the servers that can join a group of the model without a load.
func countWithModel(servers []ServerInfo, model string) int {
	count := 0
	for index := range servers {
		if servers[index].startsWithoutLoad(model) {
			count++
		}
	}
	return count
}

// coverage returns the current groups as a fraction of the desired ones.
func (demand *Demand) coverage() float64 {
	if demand.Desired <= 0 {
		return math.Inf(1)
	}
	return float64(demand.Current) / demand.Desired
}

// groupCount returns the number of groups of a model in the domain, groups being formed included.
func (domain *Domain) groupCount(model string) int {
	return max(domain.Groups[model], domain.servingCount(model))
}

// servingCount returns the number of serving groups of a model that no work is in progress on.
func (domain *Domain) servingCount(model string) int {
	count := 0
	for index := range domain.Serving {
		if domain.Serving[index].Group.Model == model {
			count++
		}
	}
	return count
}

// membersWithModel counts the members of other models' groups that start the demanded model without
// a load.
func (domain *Domain) membersWithModel(demand *Demand) int {
	count := 0
	for index := range domain.Serving {
		if domain.Serving[index].Group.Model != demand.Name {
			count += domain.Serving[index].membersWithModel(demand.Name)
		}
	}
	return count
}

func (domain *Domain) freeWithModel(model string) int {
	return countWithModel(domain.FreeServers, model)
}

// selectMembers returns the members for a group of the model. Servers that last ran the model come
// first, then servers that have it staged, then servers with nothing staged, then the rest.
func (domain *Domain) selectMembers(model configuration.Model) []string {
	rank := func(server ServerInfo) int {
		switch {
		case server.LastModel == model.Name:
			return 0
		case server.startsWithoutLoad(model.Name):
			return 1
		case len(server.Staged) == 0:
			return 2
		default:
			return 3
		}
	}
	sorted := append([]ServerInfo{}, domain.FreeServers...)
	sort.SliceStable(sorted, func(i, j int) bool { return rank(sorted[i]) < rank(sorted[j]) })
	members := make([]string, 0, model.Size)
	for _, server := range sorted[:model.Size] {
		members = append(members, server.ID)
	}
	return members
}

func (domain *Domain) removeFree(members []string) {
	kept := domain.FreeServers[:0]
	for _, server := range domain.FreeServers {
		if !slices.Contains(members, server.ID) {
			kept = append(kept, server)
		}
	}
	domain.FreeServers = kept
}
