package gateway

import (
	"time"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/wire/frame"
)

func announcementFromWire(encoded *frame.GroupNews) formation.Announcement {
	return formation.Announcement{Change: formation.Change(encoded.Change), Group: formation.Group{
		Name: encoded.Group, Epoch: encoded.Epoch, Service: encoded.Service, Model: encoded.Model, Members: encoded.Members,
	}}
}

func announcementToWire(announcement formation.Announcement) *frame.GroupNews {
	group := announcement.Group
	return &frame.GroupNews{
		Group: group.Name, Epoch: group.Epoch, Service: group.Service, Model: group.Model, Members: group.Members, Change: string(announcement.Change),
	}
}

func serverToWire(server *roster.Server) *frame.Server {
	encoded := &frame.Server{
		Born: server.Born, Service: server.Service, Address: server.Address, DataCentre: server.DataCentre, Slots: uint32(max(0, server.Slots)),
		Draining: server.Draining, FabricDomain: server.FabricDomain, Staged: server.Staged, Model: server.Model,
		ColdMs: cappedMilliseconds(server.Cold),
	}
	if group := server.Group; group != (roster.Membership{}) {
		encoded.Group = &frame.Membership{Name: group.Name, Epoch: group.Epoch, Rank: int32(group.Rank), State: group.State}
	}
	return encoded
}

func serverFromWire(id string, encoded *frame.Server) *roster.Server {
	server := &roster.Server{
		ID: id, Born: encoded.Born, Service: encoded.Service, Address: encoded.Address, DataCentre: encoded.DataCentre, Slots: int(encoded.Slots),
		Draining: encoded.Draining, FabricDomain: encoded.FabricDomain, Staged: encoded.Staged, Model: encoded.Model,
		Cold: time.Duration(encoded.ColdMs) * time.Millisecond,
	}
	if group := encoded.Group; group != nil {
		server.Group = roster.Membership{Name: group.Name, Epoch: group.Epoch, Rank: int(group.Rank), State: group.State}
	}
	return server
}
