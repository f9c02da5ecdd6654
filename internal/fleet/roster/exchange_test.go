package roster_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/testlib/suite"
)

// registryModel is a registry and nodes that read it and pass their lists on. Answers of the registry and updates
// between nodes are delivered later, those from one node to another in order.
type registryModel struct {
	random *rand.Rand
	log    []roster.Record
	nodes  []*listNode
}

type listNode struct {
	list *roster.List
	// reads are answers of the registry under way.
	reads []roster.Update
	links []updateLink
}

// updateLink holds what a node knows of another one, and its updates under way to that node.
type updateLink struct {
	known   roster.Known
	updates []roster.Update
}

// newest returns the last record of an ID before an offset.
func (model *registryModel) newest(id string, before int64) (roster.Record, bool) {
	for offset := before - 1; offset >= 0; offset-- {
		if model.log[offset].ID == id {
			return model.log[offset], true
		}
	}
	return roster.Record{}, false
}

func (model *registryModel) end() storelog.Position {
	return at(0, int64(len(model.log)))
}

// read returns all entries, or the records after a position.
func (model *registryModel) read(from storelog.Position) roster.Update {
	update := roster.Update{End: model.end(), Complete: !from.Known()}
	if from.Known() {
		update.Records = slices.Clone(model.log[from.Offset:])
		return update
	}
	for _, id := range serverIDs {
		if record, known := model.newest(id, model.end().Offset); known && record.Server != nil {
			update.Records = append(update.Records, record)
		}
	}
	return update
}

var serverIDs = []string{"a", "b"}

// start starts a node, also one that ran before: it knows nothing, and its connections are new.
func (model *registryModel) start(number int) {
	model.nodes[number] = &listNode{list: roster.New(), links: make([]updateLink, len(model.nodes))}
	for other := range model.nodes {
		if other != number && model.nodes[other] != nil {
			model.connect(number, other)
			model.connect(other, number)
		}
	}
}

func (model *registryModel) connect(from, to int) {
	model.nodes[from].links[to] = updateLink{known: roster.Known{End: model.nodes[to].list.Load().End}}
}

// step takes a random step: the registry changes, a node reads it, sends its list or starts, or something is delivered.
func (model *registryModel) step() {
	number := model.random.IntN(len(model.nodes))
	node, id := model.nodes[number], serverIDs[model.random.IntN(len(serverIDs))]
	switch model.random.IntN(9) {
	case 0:
		model.log = append(model.log, entry(id, model.end(), model.random.IntN(2) == 0))
	case 1:
		model.log = append(model.log, removed(id, model.end()))
	case 2:
		node.reads = append(node.reads, model.read(node.list.Load().End))
	case 3:
		node.reads = append(node.reads, model.read(storelog.Unknown))
	case 4:
		if len(node.reads) > 0 {
			index := model.random.IntN(len(node.reads))
			node.list.Merge(node.reads[index])
			node.reads = slices.Delete(node.reads, index, index+1)
		}
	case 5:
		model.send(number)
	case 6, 7:
		model.deliver(number)
	case 8:
		model.start(number)
	}
}

// send sends what the other nodes lack of a node's list.
func (model *registryModel) send(number int) {
	node := model.nodes[number]
	for other := range node.links {
		if link := &node.links[other]; other != number && node.list.Load().End.Known() {
			var update roster.Update
			update, link.known = node.list.UpdateFor(link.known)
			link.updates = append(link.updates, update)
		}
	}
}

// deliver delivers the oldest updates of another node under way to a node.
func (model *registryModel) deliver(number int) {
	sender := (number + 1 + model.random.IntN(len(model.nodes)-1)) % len(model.nodes)
	link := &model.nodes[sender].links[number]
	count := model.random.IntN(len(link.updates) + 1)
	for _, update := range link.updates[:count] {
		model.nodes[number].list.Merge(update)
	}
	link.updates = link.updates[count:]
}

// check returns how a list differs from the registry up to the position that the list has reached. Records after that
// position may already be in the list.
func (model *registryModel) check(list *roster.List) string {
	snapshot := list.Load()
	for _, id := range serverIDs {
		last, _ := model.newest(id, max(0, snapshot.End.Offset))
		later, changed := model.newest(id, model.end().Offset)
		if changed && later.Position.Offset >= snapshot.End.Offset {
			continue
		}
		if listed := snapshot.Servers[id]; (listed == nil) != (last.Server == nil) || (listed != nil && listed.Draining != last.Server.Draining) {
			return fmt.Sprintf("server %s at offset %d: got %+v, want %+v", id, snapshot.End.Offset, listed, last.Server)
		}
	}
	return ""
}

// Guards against lists that lack changes of the registry before the position that they have reached: removals, entries,
// or the last state of an entry. Nodes start, read and pass their lists on in any order.
func TestListsMatchTheRegistryUpToTheirEnd(t *testing.T) {
	for round := range suite.Rounds(1000) {
		seed := suite.Seed() + uint64(round)
		model := &registryModel{random: rand.New(rand.NewPCG(seed, 78)), nodes: make([]*listNode, 2+round%3)}
		for number := range model.nodes {
			model.start(number)
		}
		for range 150 {
			model.step()
			for number, node := range model.nodes {
				if problem := model.check(node.list); problem != "" {
					t.Fatalf("HAZELSLIP_SEED %d: node %d: %s", seed, number, problem)
				}
			}
		}
	}
}
