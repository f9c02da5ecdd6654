package booking_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hazelslip/internal/state/booking"
	"hazelslip/internal/testlib/suite"
	"hazelslip/internal/wire/record"
)

// claim is an entry of the map model: the claim of a key and the kind of its outcome.
type claim struct {
	incarnation, attempt uint64
	outcome              record.OutcomeKind
}

// Applies random intents and outcomes, many of them without effect, and restarts the table from a checkpoint. The table
// must match a model that is a plain map.
func TestTableMatchesMapModel(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		table := booking.NewTable(time.Hour)
		model := map[string]claim{}
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		restartAt := rapid.IntRange(0, steps).Draw(t, "restart")
		for step := range steps {
			if step == restartAt {
				table = restarted(t, table)
			}
			key := fmt.Sprint("key-", rapid.IntRange(0, 4).Draw(t, "key"))
			incarnation := uint64(rapid.IntRange(1, 3).Draw(t, "node"))
			attempt := uint64(rapid.IntRange(1, 3).Draw(t, "attempt"))
			if rapid.Bool().Draw(t, "intent") {
				apply(t, table, &record.BookingBatch{Intents: []*record.Intent{{Key: key, Incarnation: incarnation, Attempt: attempt, UnixMs: int64(step)}}})
				if _, claimed := model[key]; !claimed {
					model[key] = claim{incarnation: incarnation, attempt: attempt}
				}
				continue
			}
			kind := rapid.SampledFrom([]record.OutcomeKind{
				record.OutcomeKind_OutcomeRun, record.OutcomeKind_OutcomeReleased, record.OutcomeKind_OutcomeUnknown,
			}).Draw(t, "kind")
			apply(t, table, &record.BookingBatch{Outcomes: []*record.Outcome{{Key: key, Incarnation: incarnation, Attempt: attempt, Kind: kind}}})
			expected, ok := model[key]
			if !ok || expected.incarnation != incarnation || expected.attempt != attempt || expected.outcome != 0 {
				continue
			}
			if expected.outcome = kind; kind == record.OutcomeKind_OutcomeReleased {
				delete(model, key)
				continue
			}
			model[key] = expected
		}
		compare(t, table, model)
	})
}

func apply(t *rapid.T, table *booking.Table, batch *record.BookingBatch) {
	body, err := proto.Marshal(&record.BookingRecord{Kind: &record.BookingRecord_Batch{Batch: batch}})
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := table.StateMachine().Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Apply(0)
}

func restarted(t *rapid.T, table *booking.Table) *booking.Table {
	body, err := table.StateMachine().Snapshot(0)
	if err != nil {
		t.Fatal(err)
	}
	created := booking.NewTable(time.Hour)
	decoded, err := created.StateMachine().Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Apply(0)
	return created
}

func compare(t *rapid.T, table *booking.Table, model map[string]claim) {
	for index := range 5 {
		key := fmt.Sprint("key-", index)
		entry, known := table.Lookup(key)
		expected, claimed := model[key]
		if known != claimed {
			t.Fatalf("%s: known to the table: %t, claimed in the model: %t", key, known, claimed)
		}
		if known && (entry.Intent.Incarnation != expected.incarnation || entry.Intent.Attempt != expected.attempt || entry.Outcome.GetKind() != expected.outcome) {
			t.Fatalf("%s: the table has %v, the model has %v", key, entry, expected)
		}
	}
}

// A node whose clock is a year ahead writes an intent. The keys of other nodes must not expire because of it, or their
// calls could run twice.
func TestWrongClockExpiresNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := booking.NewTable(10 * time.Minute)
		now := time.Now().UnixMilli()
		apply(t, table, &record.BookingBatch{Intents: []*record.Intent{{Key: "ours", Incarnation: 1, UnixMs: now}}})
		year := (365 * 24 * time.Hour).Milliseconds()
		apply(t, table, &record.BookingBatch{Intents: []*record.Intent{{Key: "theirs", Incarnation: 2, UnixMs: now + year}}})
		if _, known := table.Lookup("ours"); !known {
			t.Fatal("the key of another node expired")
		}
	})
}
