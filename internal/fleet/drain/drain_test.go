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

// Guards against a drain that lasts for ever at a node that missed the record of its end.
func TestDrainThatAWholeReadingDoesNotShowHasEnded(t *testing.T) {
	expect := gomega.NewWithT(t)
	table := drain.New()
	table.Read(drain.Reading{Records: []drain.Record{drained("north", at(0, 4))}, End: at(0, 5), At: time.Second})
	expect.Expect(table.Mark("north").Drained()).To(gomega.BeTrue())
	changes := table.Read(drain.Reading{Whole: true, End: at(0, 9), At: 2 * time.Second})
	expect.Expect(changes).To(gomega.Equal([]drain.Record{ended("north", at(0, 8))}))
	expect.Expect(table.Mark("north").Drained()).To(gomega.BeFalse())
	expect.Expect(table.Drained()).To(gomega.BeEmpty())
}

// Guards against a drain that ends since pages of one reading are not of one moment.
func TestDrainWrittenDuringAWholeReadingHolds(t *testing.T) {
	table := drain.New()
	table.Told([]drain.Record{drained("north", at(0, 9))})
	table.Read(drain.Reading{Whole: true, End: at(0, 9), At: time.Second})
	gomega.NewWithT(t).Expect(table.Drained()).To(gomega.Equal([]string{"north"}))
}

// Guards against calls to a drained data centre since the store came back from a copy without
// the drain, and against a drain that nobody writes again.
func TestDrainOutlivesAnOlderCopyUntilItMustHaveBeenWrittenAgain(t *testing.T) {
	expect := gomega.NewWithT(t)
	table := drain.New()
	table.Read(drain.Reading{Records: []drain.Record{drained("north", at(0, 40)), drained("south", at(0, 41))}, End: at(0, 42), At: time.Second})
	returned := 5 * time.Second
	table.Read(drain.Reading{Whole: true, End: at(1, 12), At: returned})
	expect.Expect(table.Drained()).To(gomega.Equal([]string{"north", "south"}))
	table.Read(drain.Reading{Records: []drain.Record{drained("north", at(1, 12))}, End: at(1, 13), At: returned + time.Second})
	table.Read(drain.Reading{End: at(1, 13), At: returned + roster.ReappearWithin})
	expect.Expect(table.Drained()).To(gomega.Equal([]string{"north"}))
}

// Guards against a server that is sent a rush at the end of a drain that was told late.
func TestEndOfADrainIsRemembered(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := 10 * time.Second
	table := drain.New(drain.Clock(func() time.Duration { return now }))
	mark := table.Mark("north")
	expect.Expect(mark.EndedWithin(3*time.Second, now)).To(gomega.BeFalse())
	table.Told([]drain.Record{ended("north", at(0, 7))})
	expect.Expect(mark.EndedWithin(3*time.Second, now+2*time.Second)).To(gomega.BeTrue())
	expect.Expect(mark.EndedWithin(3*time.Second, now+3*time.Second)).To(gomega.BeFalse())
}

// Guards against nodes that disagree since records reached them in other orders.
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
		one.Told(records)
		for _, record := range shuffled {
			other.Told([]drain.Record{record})
		}
		if got, want := other.Drained(), one.Drained(); len(got) != len(want) {
			t.Fatalf("%v and %v", got, want)
		}
		gomega.NewWithT(t).Expect(other.Records()).To(gomega.Equal(one.Records()))
	})
}
