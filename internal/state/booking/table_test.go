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

// claim is what the naive model knows of a key: who claimed it and how that
// ended.
type claim struct {
	incarnation, attempt uint64
	ended                record.OutcomeKind
}

// Random intents and outcomes, many of them void, with a node that starts from
// a checkpoint: the table must say what one plain map says.
func TestTableAgainstOneMap(t *testing.T) {
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
				fold(t, table, &record.BookingBatch{Intents: []*record.Intent{{Key: key, Incarnation: incarnation, Attempt: attempt, UnixMs: int64(step)}}})
				if _, taken := model[key]; !taken {
					model[key] = claim{incarnation: incarnation, attempt: attempt}
				}
				continue
			}
			kind := rapid.SampledFrom([]record.OutcomeKind{
				record.OutcomeKind_OutcomeRun, record.OutcomeKind_OutcomeReleased, record.OutcomeKind_OutcomeUnknown,
			}).Draw(t, "kind")
			fold(t, table, &record.BookingBatch{Outcomes: []*record.Outcome{{Key: key, Incarnation: incarnation, Attempt: attempt, Kind: kind}}})
			held, ok := model[key]
			if !ok || held.incarnation != incarnation || held.attempt != attempt || held.ended != 0 {
				continue
			}
			if held.ended = kind; kind == record.OutcomeKind_OutcomeReleased {
				delete(model, key)
				continue
			}
			model[key] = held
		}
		compare(t, table, model)
	})
}

func fold(t *rapid.T, table *booking.Table, batch *record.BookingBatch) {
	body, err := proto.Marshal(&record.BookingRecord{Kind: &record.BookingRecord_Batch{Batch: batch}})
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := table.Fold().Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Apply(0)
}

func restarted(t *rapid.T, table *booking.Table) *booking.Table {
	body, err := table.Fold().Snapshot(0)
	if err != nil {
		t.Fatal(err)
	}
	fresh := booking.NewTable(time.Hour)
	decoded, err := fresh.Fold().Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Apply(0)
	return fresh
}

func compare(t *rapid.T, table *booking.Table, model map[string]claim) {
	for index := range 5 {
		key := fmt.Sprint("key-", index)
		entry, known := table.Lookup(key)
		held, taken := model[key]
		if known != taken {
			t.Fatalf("%s: known %t, the map says %t", key, known, taken)
		}
		if known && (entry.Intent.Incarnation != held.incarnation || entry.Intent.Attempt != held.attempt || entry.Outcome.GetKind() != held.ended) {
			t.Fatalf("%s: %v, the map says %v", key, entry, held)
		}
	}
}

// A node with a wrong clock writes an intent that seems to come from next
// year. The keys of everybody else must not expire over it: their calls could
// run twice.
func TestWrongClockExpiresNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := booking.NewTable(10 * time.Minute)
		now := time.Now().UnixMilli()
		fold(t, table, &record.BookingBatch{Intents: []*record.Intent{{Key: "ours", Incarnation: 1, UnixMs: now}}})
		year := (365 * 24 * time.Hour).Milliseconds()
		fold(t, table, &record.BookingBatch{Intents: []*record.Intent{{Key: "theirs", Incarnation: 2, UnixMs: now + year}}})
		if _, known := table.Lookup("ours"); !known {
			t.Fatal("the key expired")
		}
	})
}
