package roster_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/storelog"
)

func at(era, offset int64) storelog.Position {
	return storelog.Position{Era: era, Offset: offset}
}

func entry(id string, position storelog.Position, draining bool) roster.Record {
	return roster.Record{ID: id, Position: position, Server: &roster.Server{ID: id, Service: "drafts", Draining: draining}}
}

func gone(id string, position storelog.Position) roster.Record {
	return roster.Record{ID: id, Position: position}
}

// drained returns what is known of a server: whether it is listed, and drains.
func drained(list *roster.List, id string) (listed, draining bool) {
	server, listed := list.Load().Servers[id]
	return listed, listed && server.Draining
}

// A server says that it leaves. The registry comes back from a copy in which it takes
// calls; the server writes its entry again some hundred milliseconds later. In between
// it was sent calls again.
func TestCopyDoesNotUndoWhatWasKnown(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(0, 105), true)}, End: at(0, 106)})
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(1, 80), false)}, End: at(1, 100), Whole: true, ReadAt: time.Second})
	_, draining := drained(list, "a")
	expect.Expect(draining).To(gomega.BeTrue())

	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(1, 101), false)}, End: at(1, 102), ReadAt: 2 * time.Second})
	_, draining = drained(list, "a")
	expect.Expect(draining).To(gomega.BeFalse(), "what the server wrote since counts, though its offset is lower")
}

// The same, but the reader's peers have read the copy alone, or hear of both the other
// way round: whatever comes first, all end with the same.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	before, copied, since := entry("a", at(0, 105), true), entry("a", at(1, 80), false), entry("a", at(1, 101), false)
	copied.Copied = true
	cases := map[string]struct {
		records  []roster.Record
		draining bool
	}{
		"before, copied":        {[]roster.Record{before, copied}, true},
		"copied, before":        {[]roster.Record{copied, before}, true},
		"copied, since, before": {[]roster.Record{copied, since, before}, false},
		"since, before, copied": {[]roster.Record{since, before, copied}, false},
		"before, since, copied": {[]roster.Record{before, since, copied}, false},
	}
	for name, tried := range cases {
		t.Run(name, func(t *testing.T) {
			list := roster.New()
			for _, record := range tried.records {
				list.Take(roster.Reading{Records: []roster.Record{record}, End: at(record.Position.Era, 102), Told: true})
			}
			_, draining := drained(list, "a")
			gomega.NewWithT(t).Expect(draining).To(gomega.Equal(tried.draining))
		})
	}
}

// A server came shortly before the registry went back, and isn't in the copy. It serves
// on, and writes its entry again. One that has ended meanwhile doesn't, and must go once
// servers have had the time.
func TestServerThatTheCopyLacksIsKeptForAWhile(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(0, 5), false), entry("b", at(0, 105), false)}, End: at(0, 106)})
	whole := func(readAt time.Duration) {
		list.Take(roster.Reading{Records: []roster.Record{entry("a", at(1, 5), false)}, End: at(1, 100), Whole: true, ReadAt: readAt})
	}
	whole(time.Second)
	listed, _ := drained(list, "b")
	expect.Expect(listed).To(gomega.BeTrue())
	expect.Expect(list.Settles(2 * time.Second)).To(gomega.BeFalse())

	settled := time.Second + roster.ReappearWithin
	expect.Expect(list.Settles(settled)).To(gomega.BeTrue())
	whole(settled)
	listed, _ = drained(list, "b")
	expect.Expect(listed).To(gomega.BeFalse())
	listed, _ = drained(list, "a")
	expect.Expect(listed).To(gomega.BeTrue())
	expect.Expect(list.Settles(settled)).To(gomega.BeFalse())
}

// A server leaves after the registry went back: its entry is removed at an offset that is
// lower than that of the one that was known. The removal was ignored.
func TestRemovalAtALowerOffsetCounts(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(0, 105), false)}, End: at(0, 106)})
	list.Take(roster.Reading{Records: nil, End: at(1, 60), Whole: true})
	list.Take(roster.Reading{Records: []roster.Record{gone("a", at(1, 61))}, End: at(1, 62)})
	listed, _ := drained(list, "a")
	expect.Expect(listed).To(gomega.BeFalse())
}

// A full reading no longer shows a server. Peers were passed a removal at the position of
// the entry that they held, ignored it, and went on sending calls.
func TestPeersHearOfAServerThatAFullReadingLacks(t *testing.T) {
	expect := gomega.NewWithT(t)
	reader, peer := roster.New(), roster.New()
	known := roster.Reading{Records: []roster.Record{entry("a", at(0, 5), false)}, End: at(0, 6)}
	reader.Take(known)
	peer.Take(known)
	_, version := reader.Since(0)
	reader.Take(roster.Reading{End: at(0, 20), Whole: true})
	records, _ := reader.Since(version)
	peer.Take(roster.Reading{Records: records, End: at(0, 20), Told: true})
	listed, _ := drained(peer, "a")
	expect.Expect(listed).To(gomega.BeFalse())
}

// Two drills in a row: what was written between them is of neither copy.
func TestTwoReturnsInARow(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(0, 105), false)}, End: at(0, 106)})
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(1, 80), false)}, End: at(1, 95), Whole: true})
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(1, 97), true)}, End: at(1, 98)})
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(2, 80), false)}, End: at(2, 90), Whole: true})
	_, draining := drained(list, "a")
	expect.Expect(draining).To(gomega.BeTrue())
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(2, 91), false)}, End: at(2, 92)})
	_, draining = drained(list, "a")
	expect.Expect(draining).To(gomega.BeFalse())
}

// A peer that reconnects is told what it lacks: by its position in the same era, and all
// of it where it is of another.
func TestPeerOfAnotherEraIsToldAll(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Take(roster.Reading{Records: []roster.Record{entry("a", at(1, 5), false), entry("b", at(1, 9), false)}, End: at(1, 10)})
	lacked, _ := list.After(at(1, 8))
	expect.Expect(lacked).To(gomega.HaveLen(1))
	lacked, _ = list.After(at(0, 8))
	expect.Expect(lacked).To(gomega.HaveLen(2))
}

// Guards against an entry that still calls a server ready, and undoes what the server itself has
// said; and against another run of it that is taken for draining.
func TestEntryDoesNotUndoADrain(t *testing.T) {
	expect := gomega.NewWithT(t)
	drains := map[int64]bool{}
	list := roster.New(roster.Draining(func(_ string, born int64) bool { return drains[born] }))
	write := func(offset, born int64) {
		record := entry("a", at(0, offset), false)
		record.Server.Born = born
		list.Take(roster.Reading{Records: []roster.Record{record}, End: at(0, offset+1)})
	}
	write(1, 7)
	drains[7] = true
	list.Refresh()
	_, draining := drained(list, "a")
	expect.Expect(draining).To(gomega.BeTrue())
	list.Take(roster.Reading{Records: []roster.Record{gone("a", at(0, 2))}, End: at(0, 3)})
	write(4, 7)
	_, draining = drained(list, "a")
	expect.Expect(draining).To(gomega.BeTrue())
	records, _ := list.Since(0)
	expect.Expect(records[0].Server.Draining).To(gomega.BeFalse(), "passed on as the registry has it")
	write(5, 8)
	_, draining = drained(list, "a")
	expect.Expect(draining).To(gomega.BeFalse())
}
