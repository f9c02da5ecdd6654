package gateway

import (
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/relay"
	"hazelslip/internal/wire/exchange"
)

func memberOf(incarnation uint64, standing *exchange.Standing) relay.Member {
	return relay.Member{
		Incarnation: incarnation, Address: standing.Address, DataCentre: standing.DataCentre, Term: standing.Term,
		Fit: standing.ListKnown && standing.ConfigurationVersion > 0, StoreAway: standing.StoreAway, Capacity: standing.Capacity,
	}
}

func fromWire(news *exchange.GroupNews) formation.News {
	return formation.News{Change: formation.Change(news.Kind), Group: formation.Group{
		Name: news.Group, Epoch: news.Epoch, Service: news.Service, Model: news.Model, Members: news.Members,
	}}
}

func toWire(news formation.News) *exchange.GroupNews {
	group := news.Group
	return &exchange.GroupNews{
		Group: group.Name, Epoch: group.Epoch, Service: group.Service, Model: group.Model, Members: group.Members, Kind: string(news.Change),
	}
}
