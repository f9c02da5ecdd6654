package drain_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/testlib/suite"
)

func at(era, offset int64) storelog.Position {
	return storelog.Position{Era: era, Offset: offset}
}

func drained(dataCentre string, position storelog.Position) drain.Record {
	return drain.Record{DataCentre: dataCentre, Position: position, Drained: true}
}

func ended(dataCentre string, position storelog.Position) drain.Record {
	return drain.Record{DataCentre: dataCentre, Position: position}
}

// fromPeer returns records of a peer that has not read the log.
func fromPeer(records ...drain.Record) drain.Update {
	return drain.Update{Records: records, End: storelog.Unknown}
}

// Guards against a drain that never ends on a node that missed the record of its end.
func TestDrainAbsentFromCompleteUpdateEnds(t *testing.T) {
	expect := gomega.NewWithT(t)
	table := drain.New()
	table.Apply(drain.Update{Records: []drain.Record{drained("north", at(0, 4))}, End: at(0, 5), ReadAt: time.Second})
	expect.Expect(table.Status("north").Drained()).To(gomega.BeTrue())
	changes := table.Apply(drain.Update{Complete: true, End: at(0, 9), ReadAt: 2 * time.Second})
	expect.Expect(changes).To(gomega.Equal([]drain.Record{ended("north", at(0, 8))}))
	expect.Expect(table.Status("north").Drained()).To(gomega.BeFalse())
	expect.Expect(table.Drained()).To(gomega.BeEmpty())
}

// Guards against a drain that ends because it was written during a paged read: the pages of a read are not from one
// moment, so a read may lack a drain written meanwhile.
func TestDrainWrittenDuringCompleteReadPersists(t *testing.T) {
	table := drain.New()
	table.Apply(fromPeer(drained("north", at(0, 9))))
	table.Apply(drain.Update{Complete: true, End: at(0, 9), ReadAt: time.Second})
	gomega.NewWithT(t).Expect(table.Drained()).To(gomega.Equal([]string{"north"}))
}

// Guards against calls to a drained data centre after the store was restored from a backup without the drain, and
// against a drain that stays although nobody writes it again.
func TestDrainAbsentFromBackupIsKeptUntilRewriteTime(t *testing.T) {
	expect := gomega.NewWithT(t)
	table := drain.New()
	table.Apply(drain.Update{Records: []drain.Record{drained("north", at(0, 40)), drained("south", at(0, 41))}, End: at(0, 42), ReadAt: time.Second})
	restoredAt := 5 * time.Second
	table.Apply(drain.Update{Complete: true, End: at(1, 12), ReadAt: restoredAt})
	expect.Expect(table.Drained()).To(gomega.Equal([]string{"north", "south"}))
	table.Apply(drain.Update{Records: []drain.Record{drained("north", at(1, 12))}, End: at(1, 13), ReadAt: restoredAt + time.Second})
	table.Apply(drain.Update{End: at(1, 13), ReadAt: restoredAt + roster.ReregistrationTime})
	expect.Expect(table.Drained()).To(gomega.Equal([]string{"north"}))
}

// Guards against a burst of calls to cold servers after a drain whose end this node learned of late.
func TestEndOfDrainIsRecorded(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := 10 * time.Second
	table := drain.New(drain.Clock(func() time.Duration { return now }))
	status := table.Status("north")
	expect.Expect(status.EndedWithin(3*time.Second, now)).To(gomega.BeFalse())
	table.Apply(fromPeer(ended("north", at(0, 7))))
	expect.Expect(status.EndedWithin(3*time.Second, now+2*time.Second)).To(gomega.BeTrue())
	expect.Expect(status.EndedWithin(3*time.Second, now+3*time.Second)).To(gomega.BeFalse())
}

// Guards against nodes that disagree because they received records in different orders.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) drain.Record {
			return drain.Record{
				DataCentre: rapid.SampledFrom([]string{"north", "south", "east"}).Draw(t, "data centre"),
				Position:   at(rapid.Int64Range(0, 2).Draw(t, "era"), rapid.Int64Range(0, 60).Draw(t, "offset")),
				Drained:    rapid.Bool().Draw(t, "drained"),
			}
		}), 0, 12, func(record drain.Record) storelog.Position { return record.Position }).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "order")
		one, other := drain.New(), drain.New()
		one.Apply(fromPeer(records...))
		for _, record := range shuffled {
			other.Apply(fromPeer(record))
		}
		if got, want := other.Drained(), one.Drained(); len(got) != len(want) {
			t.Fatalf("drained data centres depend on the order of records: got %v, want %v", got, want)
		}
		gomega.NewWithT(t).Expect(other.Update()).To(gomega.Equal(one.Update()))
	})
}

// Guards against a drain that never ends, because the node that reads the log started after its end and has no record of
// it. The other node must learn that the drain ended, and its older record must not start the drain again.
func TestDrainEndedBeforeACompleteReadEndsOnPeers(t *testing.T) {
	expect := gomega.NewWithT(t)
	reader, peer := drain.New(), drain.New()
	peer.Apply(drain.Update{Records: []drain.Record{drained("north", at(0, 4))}, End: at(0, 5), Complete: true})
	reader.Apply(drain.Update{End: at(0, 9), Complete: true})
	reader.Apply(peer.Update())
	expect.Expect(reader.Drained()).To(gomega.BeEmpty())
	peer.Apply(reader.Update())
	expect.Expect(peer.Drained()).To(gomega.BeEmpty())
	reader.Apply(drain.Update{Records: []drain.Record{drained("north", at(0, 9))}, End: at(0, 10)})
	peer.Apply(reader.Update())
	expect.Expect(peer.Drained()).To(gomega.Equal([]string{"north"}), "the next drain must start")
}

// Guards against a drain that goes on because a complete update has its end among the records, and against one that a
// table takes for ended and doesn't accept from a complete read of the log.
func TestCompleteUpdateOverridesTheTable(t *testing.T) {
	table := drain.New()
	table.Apply(drain.Update{Records: []drain.Record{drained("north", at(0, 1))}, End: at(0, 2), Complete: true})
	table.Apply(drain.Update{Records: []drain.Record{ended("north", at(0, 0))}, End: at(0, 3), Complete: true})
	gomega.NewWithT(t).Expect(table.Drained()).To(gomega.BeEmpty())
	table.Apply(drain.Update{Records: []drain.Record{drained("south", at(0, 1))}, End: at(0, 3), Complete: true})
	gomega.NewWithT(t).Expect(table.Drained()).To(gomega.Equal([]string{"south"}))
}

// Guards against a drain that a peer of an earlier era starts again although the operator has not written it since the
// restore. Until the operator has had time to write it, the drain must start.
func TestDrainOfEarlierEraIsIgnoredAfterRewriteTime(t *testing.T) {
	for readAt, expected := range map[time.Duration][]string{time.Second: {"north"}, time.Second + roster.ReregistrationTime: {}} {
		table := drain.New()
		table.Apply(drain.Update{End: at(1, 9), Complete: true, ReadAt: time.Second})
		table.Apply(drain.Update{End: at(1, 9), ReadAt: readAt})
		table.Apply(drain.Update{Records: []drain.Record{drained("north", at(0, 40))}, End: at(0, 41), Complete: true})
		gomega.NewWithT(t).Expect(table.Drained()).To(gomega.Equal(expected), readAt.String())
	}
}

// Guards against tables that differ from the operator's log up to the position that they have reached, whatever the order
// in which nodes start, read and pass their records on.
func TestTablesMatchTheLogUpToTheirEnd(t *testing.T) {
	names := []string{"north", "south"}
	for round := range suite.Rounds(1000) {
		seed := suite.Seed() + uint64(round)
		random := rand.New(rand.NewPCG(seed, 78))
		log, tables, updates := []drain.Record{}, []*drain.Table{drain.New(), drain.New(), drain.New()}, make([][]drain.Update, 3)
		last := func(name string, before int64) drain.Record {
			found := drain.Record{Position: storelog.Unknown}
			for _, record := range log[:before] {
				if record.DataCentre == name {
					found = record
				}
			}
			return found
		}
		for range 150 {
			node, end := random.IntN(len(tables)), at(0, int64(len(log)))
			switch random.IntN(7) {
			case 0, 1:
				log = append(log, drain.Record{DataCentre: names[random.IntN(2)], Position: end, Drained: random.IntN(2) == 0})
			case 2:
				complete := drain.Update{End: end, Complete: true}
				for _, name := range names {
					if record := last(name, end.Offset); record.Drained {
						complete.Records = append(complete.Records, record)
					}
				}
				updates[node] = append(updates[node], complete)
			case 3:
				if from := tables[node].Update().End; from.Known() {
					updates[node] = append(updates[node], drain.Update{Records: slices.Clone(log[from.Offset:]), End: end})
				}
			case 4:
				updates[node] = append(updates[node], tables[random.IntN(len(tables))].Update())
			case 5:
				if pending := updates[node]; len(pending) > 0 {
					index := random.IntN(len(pending))
					tables[node].Apply(pending[index])
					updates[node] = slices.Delete(pending, index, index+1)
				}
			case 6:
				tables[node], updates[node] = drain.New(), nil
			}
			for number, table := range tables {
				reached := max(0, table.Update().End.Offset)
				for _, name := range names {
					newest := last(name, int64(len(log)))
					if newest.Position.Offset < reached && table.Status(name).Drained() != newest.Drained {
						t.Fatalf("HAZELSLIP_SEED %d: node %d: drain of %s at offset %d: got %t, want %t", seed, number, name, reached, !newest.Drained, newest.Drained)
					}
				}
			}
		}
	}
}
