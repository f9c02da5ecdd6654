package follower

import (
	"cmp"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/storetiming"
	"hazelslip/internal/state/storelog"
)

const (
	// ListCheckInterval is how often the age of the server list is checked.
	ListCheckInterval = 100 * time.Millisecond
	// unavailableListInterval is how often the registry is read while the store does not answer. The configuration is
	// read meanwhile, which is enough to notice that the store is available again.
	unavailableListInterval = 2 * time.Second
)

// refreshList reads the registry if this node's server list is older than its ReadPolicy allows.
func (follower *Follower) refreshList() {
	if !follower.listDue() || !follower.readingList.CompareAndSwap(false, true) {
		return
	}
	follower.logNonReaderAsk("servers", follower.ListAge())
	follower.GoNamed("list", func() {
		defer follower.readingList.Store(false)
		limits := follower.storeLimits()
		limits.OutageInterval = unavailableListInterval
		pause := follower.Calls.NewRetryPause(limits)
		if err := follower.readList(limits); err != nil && !errors.Is(err, store.ErrExpired) {
			pause.Wait(follower.Component)
		}
	})
}

// listDue reports whether this node should read the registry.
func (follower *Follower) listDue() bool {
	policy := follower.ReadPolicy()
	if follower.fed.Swap(policy.FedByUpstream) && !policy.FedByUpstream {
		// A fed leaf checks seldom, so that the time of its last check says nothing about when it was last fed.
		follower.lossSeenAt.Store(int64(follower.Now()))
	}
	if !follower.Servers.Load().Known() && follower.awaitsFirstList(policy.Role) {
		return false
	}
	return follower.ListAge() >= policy.listMaxAge()
}

// ListAge returns the time since the registry read that the server list reflects, or UnknownAge if there was none.
func (follower *Follower) ListAge() time.Duration {
	snapshot := follower.Servers.Load()
	if !snapshot.Known() {
		return UnknownAge
	}
	return follower.Now() - snapshot.ReadAt
}

// ReadsList reports whether this node has read the registry itself recently.
func (follower *Follower) ReadsList() bool {
	return follower.Now()-time.Duration(follower.listReadAt.Load()) < ListMaxAge
}

func (follower *Follower) readList(limits storetiming.Timing) error {
	readAll := follower.shouldReadAllAgain(follower.Now())
	from := follower.listPosition(readAll)
	listing, err := store.CallHedged(follower.Calls, follower.Component, store.HedgedRequest[store.Listing]{
		Name: "servers", Timing: limits, MayHedge: follower.listDue,
		Call: func(ctx context.Context, _ time.Duration) (store.Listing, error) {
			began := follower.Now()
			listing, err := follower.Store.Servers(ctx, from)
			listing.RequestedAt = began
			if err == nil {
				err = follower.ObserveEra(listing.Next.Era)
			}
			if err == nil {
				err = checkSameEra(from, listing.Next)
			}
			return listing, err
		},
	})
	follower.listExpired.Store(errors.Is(err, store.ErrExpired))
	if err != nil {
		return err
	}
	follower.listReadAt.Store(int64(listing.RequestedAt))
	follower.ApplyListing(listing)
	if readAll {
		follower.markSettled(listing.Next.Era)
	}
	return nil
}

// listPosition returns the position from which the registry is read next, storelog.Unknown to read all entries.
func (follower *Follower) listPosition(readAll bool) storelog.Position {
	snapshot := follower.Servers.Load()
	if !snapshot.Known() || follower.listExpired.Load() || readAll {
		return storelog.Unknown
	}
	return snapshot.End
}

// ApplyListing applies registry records from the store or from another node.
func (follower *Follower) ApplyListing(listing store.Listing) {
	for index := range listing.Records {
		record := &listing.Records[index]
		if len(record.Body) > 0 && !follower.decodeServer(record) {
			continue
		}
		if record.Server != nil {
			follower.ServerSeen(record.Server)
		}
	}
	update := roster.Update{Records: listing.Records, End: listing.Next, ReadAt: listing.RequestedAt, Complete: listing.Complete, FromPeer: listing.Peer != ""}
	changes := follower.Servers.Merge(update)
	follower.logListChanges(&listing, &changes)
	if changes.Changed || listing.Complete {
		follower.ServersChanged()
	}
}

// maxLoggedServers is the maximum number of servers that one log line names.
const maxLoggedServers = 16

// logListChanges logs which servers entered or left the list.
func (follower *Follower) logListChanges(listing *store.Listing, changes *roster.Changes) {
	if len(changes.Entered)+len(changes.Left) == 0 {
		return
	}
	follower.Logger.Info("gateway: servers entered or left the list.", "Entered", firstServers(changes.Entered), "EnteredCount", len(changes.Entered),
		"Left", firstServers(changes.Left), "LeftCount", len(changes.Left), "Source", cmp.Or(listing.Peer, "store"), "Complete", listing.Complete,
		"UpdateEnd", listing.Next, "ListEnd", follower.Servers.Load().End)
}

func firstServers(ids []string) []string {
	return ids[:min(len(ids), maxLoggedServers)]
}

// decodeServer decodes a registry entry. Unchanged entries, such as heartbeats, which are most of them, are not
// decoded again.
func (follower *Follower) decodeServer(record *roster.Record) bool {
	record.Hash = xxhash.Sum64(record.Body)
	body := record.Body
	record.Body = nil
	if known, same := follower.Servers.CachedServer(record.ID, record.Hash); same {
		record.Server = known
		return true
	}
	server, err := follower.Store.DecodeServer(body)
	if err != nil {
		follower.Logger.Error("gateway: cannot decode a server's registry entry.", "Server", record.ID, "Error", err.Error())
		return false
	}
	server.ID = record.ID
	record.Server = server
	return true
}
