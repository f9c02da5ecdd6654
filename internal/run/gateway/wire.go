package gateway

import (
	"time"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/wire/frame"
)

func newsFromWire(news *frame.GroupNews) formation.Announcement {
	return formation.Announcement{Change: formation.Change(news.Change), Group: formation.Group{
		Name: news.Group, Epoch: news.Epoch, Service: news.Service, Model: news.Model, Members: news.Members,
	}}
}

func newsToWire(news formation.Announcement) *frame.GroupNews {
	group := news.Group
	return &frame.GroupNews{
		Group: group.Name, Epoch: group.Epoch, Service: group.Service, Model: group.Model, Members: group.Members, Change: string(news.Change),
	}
}

func serverToWire(server *roster.Server) *frame.Server {
	told := &frame.Server{
		Born: server.Born, Service: server.Service, Address: server.Address, DataCentre: server.DataCentre, Slots: uint32(max(0, server.Slots)),
		Draining: server.Draining, FabricDomain: server.FabricDomain, Staged: server.Staged, Model: server.Model,
		ColdMs: milliseconds(server.Cold),
	}
	if group := server.Group; group != (roster.Membership{}) {
		told.Group = &frame.Membership{Name: group.Name, Epoch: group.Epoch, Rank: int32(group.Rank), State: group.State}
	}
	return told
}

func serverFromWire(id string, told *frame.Server) *roster.Server {
	server := &roster.Server{
		ID: id, Born: told.Born, Service: told.Service, Address: told.Address, DataCentre: told.DataCentre, Slots: int(told.Slots),
		Draining: told.Draining, FabricDomain: told.FabricDomain, Staged: told.Staged, Model: told.Model,
		Cold: time.Duration(told.ColdMs) * time.Millisecond,
	}
	if group := told.Group; group != nil {
		server.Group = roster.Membership{Name: group.Name, Epoch: group.Epoch, Rank: int(group.Rank), State: group.State}
	}
	return server
}
