package drain_test

import (
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

// Guards against a drain that never ends on a node that missed the record of its end.
func TestDrainAbsentFromCompleteUpdateEnds(t *testing.T) {
	expect := gomega.NewWithT(t)
	table := drain.New()
	table.ApplyLog(drain.Update{Records: []drain.Record{drained("north", at(0, 4))}, End: at(0, 5), ReadAt: time.Second})
	expect.Expect(table.Status("north").Drained()).To(gomega.BeTrue())
	changes := table.ApplyLog(drain.Update{Complete: true, End: at(0, 9), ReadAt: 2 * time.Second})
	expect.Expect(changes).To(gomega.Equal([]drain.Record{ended("north", at(0, 8))}))
	expect.Expect(table.Status("north").Drained()).To(gomega.BeFalse())
	expect.Expect(table.Drained()).To(gomega.BeEmpty())
}

// Guards against a drain that ends because it was written during a paged read: the pages of a read are not from one
// moment, so a read may lack a drain written meanwhile.
func TestDrainWrittenDuringCompleteReadPersists(t *testing.T) {
	table := drain.New()
	table.Merge([]drain.Record{drained("north", at(0, 9))})
	table.ApplyLog(drain.Update{Complete: true, End: at(0, 9), ReadAt: time.Second})
	gomega.NewWithT(t).Expect(table.Drained()).To(gomega.Equal([]string{"north"}))
}

// Guards against calls to a drained data centre after the store was restored from a backup without the drain, and
// against a drain that stays although nobody writes it again.
func TestDrainAbsentFromBackupIsKeptUntilRewriteTime(t *testing.T) {
	expect := gomega.NewWithT(t)
	table := drain.New()
	table.ApplyLog(drain.Update{Records: []drain.Record{drained("north", at(0, 40)), drained("south", at(0, 41))}, End: at(0, 42), ReadAt: time.Second})
	restoredAt := 5 * time.Second
	table.ApplyLog(drain.Update{Complete: true, End: at(1, 12), ReadAt: restoredAt})
	expect.Expect(table.Drained()).To(gomega.Equal([]string{"north", "south"}))
	table.ApplyLog(drain.Update{Records: []drain.Record{drained("north", at(1, 12))}, End: at(1, 13), ReadAt: restoredAt + time.Second})
	table.ApplyLog(drain.Update{End: at(1, 13), ReadAt: restoredAt + roster.ReregistrationTime})
	expect.Expect(table.Drained()).To(gomega.Equal([]string{"north"}))
}

// Guards against a burst of calls to cold servers after a drain whose end this node learned of late.
func TestEndOfDrainIsRecorded(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := 10 * time.Second
	table := drain.New(drain.Clock(func() time.Duration { return now }))
	status := table.Status("north")
	expect.Expect(status.EndedWithin(3*time.Second, now)).To(gomega.BeFalse())
	table.Merge([]drain.Record{ended("north", at(0, 7))})
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
		one.Merge(records)
		for _, record := range shuffled {
			other.Merge([]drain.Record{record})
		}
		if got, want := other.Drained(), one.Drained(); len(got) != len(want) {
			t.Fatalf("drained data centres depend on the order of records: got %v, want %v", got, want)
		}
		gomega.NewWithT(t).Expect(other.Records()).To(gomega.Equal(one.Records()))
	})
}
