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

func removed(id string, position storelog.Position) roster.Record {
	return roster.Record{ID: id, Position: position}
}

// lookUp returns whether a server is listed and whether it is draining.
func lookUp(list *roster.List, id string) (listed, draining bool) {
	server, listed := list.Load().Servers[id]
	return listed, listed && server.Draining
}

// Guards against calls to a server that is leaving. The server announces that it is leaving, then the registry is
// restored from a backup in which the server accepts calls. The server writes its entry again some hundred
// milliseconds later; in between it used to receive calls.
func TestBackupDoesNotOverrideNewerRecords(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 105), true)}, End: at(0, 106)})
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(1, 80), false)}, End: at(1, 100), Complete: true, ReadAt: time.Second})
	_, draining := lookUp(list, "a")
	expect.Expect(draining).To(gomega.BeTrue())

	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(1, 101), false)}, End: at(1, 102), ReadAt: 2 * time.Second})
	_, draining = lookUp(list, "a")
	expect.Expect(draining).To(gomega.BeFalse(), "an entry written after the restore applies, although its offset is lower")
}

// The same restore, when peers have read only the backup, or learn of the records in another order. The result must
// not depend on the order.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	before, backup, after := entry("a", at(0, 105), true), entry("a", at(1, 80), false), entry("a", at(1, 101), false)
	backup.FromBackup = true
	cases := map[string]struct {
		records  []roster.Record
		draining bool
	}{
		"before, backup":        {[]roster.Record{before, backup}, true},
		"backup, before":        {[]roster.Record{backup, before}, true},
		"backup, after, before": {[]roster.Record{backup, after, before}, false},
		"after, before, backup": {[]roster.Record{after, before, backup}, false},
		"before, after, backup": {[]roster.Record{before, after, backup}, false},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			list := roster.New()
			for _, record := range testCase.records {
				list.Merge(roster.Update{Records: []roster.Record{record}, End: at(record.Position.Era, 102), FromPeer: true})
			}
			_, draining := lookUp(list, "a")
			gomega.NewWithT(t).Expect(draining).To(gomega.Equal(testCase.draining))
		})
	}
}

// A server registered shortly before the restore is absent from the backup. If it is alive, it writes its entry again
// and must stay listed meanwhile. If it has ended, it must be removed once servers have had time to write their
// entries again.
func TestServerAbsentFromBackupIsKeptUntilReregistration(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 5), false), entry("b", at(0, 105), false)}, End: at(0, 106)})
	fullRead := func(readAt time.Duration) {
		list.Merge(roster.Update{Records: []roster.Record{entry("a", at(1, 5), false)}, End: at(1, 100), Complete: true, ReadAt: readAt})
	}
	fullRead(time.Second)
	listed, _ := lookUp(list, "b")
	expect.Expect(listed).To(gomega.BeTrue())
	expect.Expect(list.FullReadDue(2 * time.Second)).To(gomega.BeFalse())

	settled := time.Second + roster.ReregistrationTime
	expect.Expect(list.FullReadDue(settled)).To(gomega.BeTrue())
	fullRead(settled)
	listed, _ = lookUp(list, "b")
	expect.Expect(listed).To(gomega.BeFalse())
	listed, _ = lookUp(list, "a")
	expect.Expect(listed).To(gomega.BeTrue())
	expect.Expect(list.FullReadDue(settled)).To(gomega.BeFalse())
}

// Guards against an ignored removal. A server leaves after a restore, so its entry is removed at a lower offset than
// that of the entry known before the restore.
func TestRemovalAtLowerOffsetAfterRestoreApplies(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 105), false)}, End: at(0, 106)})
	list.Merge(roster.Update{Records: nil, End: at(1, 60), Complete: true})
	list.Merge(roster.Update{Records: []roster.Record{removed("a", at(1, 61))}, End: at(1, 62)})
	listed, _ := lookUp(list, "a")
	expect.Expect(listed).To(gomega.BeFalse())
}

// Guards against calls to a server that a full read no longer shows. Peers used to ignore the removal, because it had
// the position of the entry that they held.
func TestPeersLearnOfServerAbsentFromFullRead(t *testing.T) {
	expect := gomega.NewWithT(t)
	reader, peer := roster.New(), roster.New()
	known := roster.Update{Records: []roster.Record{entry("a", at(0, 5), false)}, End: at(0, 6)}
	reader.Merge(known)
	peer.Merge(known)
	_, sent := reader.UpdateFor(roster.Known{End: at(0, 6)})
	reader.Merge(roster.Update{End: at(0, 20), Complete: true})
	update, _ := reader.UpdateFor(sent)
	peer.Merge(update)
	listed, _ := lookUp(peer, "a")
	expect.Expect(listed).To(gomega.BeFalse())
}

// Two restores in a row: a record written between them comes from neither backup.
func TestTwoRestoresInARow(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 105), false)}, End: at(0, 106)})
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(1, 80), false)}, End: at(1, 95), Complete: true})
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(1, 97), true)}, End: at(1, 98)})
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(2, 80), false)}, End: at(2, 90), Complete: true})
	_, draining := lookUp(list, "a")
	expect.Expect(draining).To(gomega.BeTrue())
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(2, 91), false)}, End: at(2, 92)})
	_, draining = lookUp(list, "a")
	expect.Expect(draining).To(gomega.BeFalse())
}

// A peer that reconnects in the same era gets the records after its position; a peer of another era gets all records.
func TestPeerOfAnotherEraGetsAllRecords(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	list.Merge(roster.Update{End: at(1, 3), Complete: true})
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(1, 5), false), entry("b", at(1, 9), false)}, End: at(1, 10)})
	update, _ := list.UpdateFor(roster.Known{End: at(1, 8)})
	expect.Expect(update.Records).To(gomega.HaveLen(1))
	update, _ = list.UpdateFor(roster.Known{End: at(0, 8)})
	expect.Expect(update.Records).To(gomega.HaveLen(2))
}

// Guards against an entry that still lists a server as ready after the server itself said that it is draining, and
// against a later run of the server that is taken to be draining.
func TestEntryDoesNotOverrideDrain(t *testing.T) {
	expect := gomega.NewWithT(t)
	drains := map[int64]bool{}
	list := roster.New(roster.Draining(func(_ string, born int64) bool { return drains[born] }))
	write := func(offset, born int64) {
		record := entry("a", at(0, offset), false)
		record.Server.Born = born
		list.Merge(roster.Update{Records: []roster.Record{record}, End: at(0, offset+1)})
	}
	write(1, 7)
	drains[7] = true
	list.RefreshDraining()
	_, draining := lookUp(list, "a")
	expect.Expect(draining).To(gomega.BeTrue())
	list.Merge(roster.Update{Records: []roster.Record{removed("a", at(0, 2))}, End: at(0, 3)})
	write(4, 7)
	_, draining = lookUp(list, "a")
	expect.Expect(draining).To(gomega.BeTrue())
	update, _ := list.UpdateFor(roster.Known{End: storelog.Unknown})
	expect.Expect(update.Records[0].Server.Draining).To(gomega.BeFalse(), "records are passed on as the registry holds them")
	write(5, 8)
	_, draining = lookUp(list, "a")
	expect.Expect(draining).To(gomega.BeFalse())
}

// Guards against calls to a removed server at nodes that learn of the registry from a node that started after the
// removal. That node never knew the server, so its records don't show the removal.
func TestPeersLearnOfRemovalsBeforeACompleteRead(t *testing.T) {
	expect := gomega.NewWithT(t)
	reader, peer := roster.New(), roster.New()
	peer.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 5), false), entry("b", at(0, 6), false)}, End: at(0, 7), Complete: true})
	reader.Merge(roster.Update{Records: []roster.Record{entry("b", at(0, 6), false)}, End: at(0, 9), Complete: true})
	update, sent := reader.UpdateFor(roster.Known{End: peer.Load().End})
	peer.Merge(update)
	listed, _ := lookUp(peer, "a")
	expect.Expect(listed).To(gomega.BeFalse())
	listed, _ = lookUp(peer, "b")
	expect.Expect(listed).To(gomega.BeTrue())
	update, _ = reader.UpdateFor(sent)
	expect.Expect(update.Records).To(gomega.BeEmpty(), "a peer that knows the list gets changes only")
}

// Guards against calls to a removed server that an older list of another node puts back. The list may know of an
// earlier removal of the same server.
func TestOlderListDoesNotPutRemovedServersBack(t *testing.T) {
	for name, known := range map[string][]roster.Record{"unknown server": nil, "removed before": {removed("a", at(1, 3))}} {
		list, older := roster.New(), roster.New()
		older.Merge(roster.Update{Records: []roster.Record{entry("a", at(1, 5), false)}, End: at(1, 7), Complete: true})
		list.Merge(roster.Update{Records: known, End: at(1, 4)})
		list.Merge(roster.Update{End: at(1, 9), Complete: true})
		update, _ := older.UpdateFor(roster.Known{End: storelog.Unknown})
		list.Merge(update)
		listed, _ := lookUp(list, "a")
		gomega.NewWithT(t).Expect(listed).To(gomega.BeFalse(), name)
	}
}

// Guards against a removed server that comes back with a record of an earlier era. The record counts as long as the
// server may not have written its entry again since the restore.
func TestRecordsOfEarlierErasAreIgnoredAfterReregistration(t *testing.T) {
	for readAt, expected := range map[time.Duration]bool{time.Second: true, time.Second + roster.ReregistrationTime: false} {
		list := roster.New()
		list.Merge(roster.Update{End: at(1, 9), Complete: true, ReadAt: time.Second})
		list.Merge(roster.Update{End: at(1, 12), ReadAt: readAt})
		list.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 50), false)}, End: at(0, 51), FromPeer: true})
		listed, _ := lookUp(list, "a")
		gomega.NewWithT(t).Expect(listed).To(gomega.Equal(expected), readAt.String())
	}
}

// Guards against a removed server that stays listed because a complete update has its removal among the records.
func TestRemovalInCompleteUpdateApplies(t *testing.T) {
	list := roster.New()
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 1), false)}, End: at(0, 2), Complete: true})
	list.Merge(roster.Update{Records: []roster.Record{removed("a", at(0, 0))}, End: at(0, 3), Complete: true, FromPeer: true})
	listed, _ := lookUp(list, "a")
	gomega.NewWithT(t).Expect(listed).To(gomega.BeFalse())
}

// Guards against a listed server that is dropped because an outdated update lacks it. The server had left for a moment
// and written the same entry again.
func TestOutdatedCompleteUpdateRemovesNothing(t *testing.T) {
	list := roster.New()
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 1), false)}, End: at(0, 2), Complete: true})
	list.Merge(roster.Update{End: at(0, 6), FromPeer: true})
	list.Merge(roster.Update{End: at(0, 4), Complete: true, FromPeer: true})
	listed, _ := lookUp(list, "a")
	gomega.NewWithT(t).Expect(listed).To(gomega.BeTrue())
}

// Guards against a listed server that a list takes for removed and doesn't accept from a complete read of the registry.
func TestCompleteReadOverridesTheList(t *testing.T) {
	list := roster.New()
	list.Merge(roster.Update{End: at(0, 9), FromPeer: true})
	list.Merge(roster.Update{Records: []roster.Record{entry("a", at(0, 5), false)}, End: at(0, 9), Complete: true})
	listed, _ := lookUp(list, "a")
	gomega.NewWithT(t).Expect(listed).To(gomega.BeTrue())
}
