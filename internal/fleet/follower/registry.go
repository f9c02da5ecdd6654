package follower

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/patience"
	"hazelslip/internal/state/storelog"
)

const (
	// ListTick is how often the age of the list is looked at.
	ListTick = 100 * time.Millisecond
	// listAway is how often the registry is asked for while the store doesn't answer. The
	// configuration is asked for meanwhile, which is enough to notice its return.
	listAway = 2 * time.Second
)

// refreshList reads the registry when this node's knowledge of it is older
// than its part in reading allows.
func (follower *Follower) refreshList() {
	if !follower.listDue() || !follower.reading.CompareAndSwap(false, true) {
		return
	}
	follower.noteAsking("servers", follower.ListAge())
	follower.GoAs("list", func() {
		defer follower.reading.Store(false)
		limits := follower.limits()
		limits.Away = listAway
		rest := follower.Calls.NewRetryPause(limits)
		if err := follower.readList(limits); err != nil && !errors.Is(err, store.ErrExpired) {
			rest.Wait(follower.Part)
		}
	})
}

// listDue says whether this node is to read the registry.
func (follower *Follower) listDue() bool {
	standing := follower.Standing()
	if standing.Fed {
		follower.fedAt.Store(int64(follower.Now()))
	}
	if !follower.Servers.Load().Known() && follower.awaitsFirst(standing.Role) {
		return false
	}
	return follower.ListAge() >= standing.listLimit()
}

// ListAge is how long ago the registry was read for the list of servers, UnknownAge if never.
func (follower *Follower) ListAge() time.Duration {
	snapshot := follower.Servers.Load()
	if !snapshot.Known() {
		return UnknownAge
	}
	return follower.Now() - snapshot.ReadAt
}

// ReadsList says whether this node itself reads the registry.
func (follower *Follower) ReadsList() bool {
	return follower.Now()-time.Duration(follower.readAt.Load()) < ListPatience
}

func (follower *Follower) readList(limits patience.Limits) error {
	settling := follower.settles(follower.Now())
	from := follower.listFrom(settling)
	listing, err := store.CallHedged(follower.Calls, follower.Part, store.HedgedRequest[store.Listing]{
		Name: "servers", Timing: limits, MayHedge: follower.listDue,
		Call: func(ctx context.Context, _ time.Duration) (store.Listing, error) {
			began := follower.Now()
			listing, err := follower.Store.Servers(ctx, from)
			listing.RequestedAt = began
			if err == nil {
				err = follower.HeardEra(listing.Next.Era)
			}
			if err == nil {
				err = sameEra(from, listing.Next)
			}
			return listing, err
		},
	})
	follower.listExpired.Store(errors.Is(err, store.ErrExpired))
	if err != nil {
		return err
	}
	follower.readAt.Store(int64(listing.RequestedAt))
	follower.Take(listing)
	if settling {
		follower.noteSettled(listing.Next.Era)
	}
	return nil
}

// listFrom is the position from which the registry is read next: nowhere for all
// entries that there are.
func (follower *Follower) listFrom(settling bool) storelog.Position {
	snapshot := follower.Servers.Load()
	if !snapshot.Known() || follower.listExpired.Load() || settling {
		return storelog.Nowhere
	}
	return snapshot.End
}

// Take takes what the registry or another node said.
func (follower *Follower) Take(listing store.Listing) {
	for number := range listing.Records {
		record := &listing.Records[number]
		if len(record.Body) > 0 && !follower.decodeServer(record) {
			continue
		}
		if record.Server != nil {
			follower.HeardServer(record.Server)
		}
	}
	reading := roster.Reading{Records: listing.Records, End: listing.Next, ReadAt: listing.RequestedAt, Whole: listing.Complete, Told: listing.FromPeer}
	if follower.Servers.Take(reading) || listing.Complete {
		follower.ListChanged()
	}
}

// decodeServer reads an entry of the registry. One that says the same as before,
// as most do, which are heartbeats, isn't read again.
func (follower *Follower) decodeServer(record *roster.Record) bool {
	record.Hash = xxhash.Sum64(record.Body)
	body := record.Body
	record.Body = nil
	if held, same := follower.Servers.Held(record.ID, record.Hash); same {
		record.Server = held
		return true
	}
	server, err := follower.Store.DecodeServer(body)
	if err != nil {
		follower.Logger.Error("gateway: a server's entry can't be read.", "Server", record.ID, "Error", err.Error())
		return false
	}
	server.ID = record.ID
	record.Server = server
	return true
}
