// Package store defines a node's interface to the platform's store and tracks whether the
// store is available.
//
// Store holds the functions that implement the platform's formats. Positions that they
// return carry the era (restore generation) of the store. CallTracker tracks the calls of
// one node. It reports the first failure after an answer and the first answer after a
// failure once each, the latter with the calls that have been hanging since before the
// answer. CallHedged makes a read with hedged calls.
//
// # Usage
//
//	calls := store.NewCallTracker(store.Clock(clock.Boot), store.OnOutageEnd(func(outage store.Outage) { ... }))
//	call := calls.Start("configuration", wait)
//	version, err := platform.Configuration(ctx, position, wait)
//	call.Finish(err)
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/configuration"
	"hazelslip/internal/state/storelog"
)

// Store holds the functions that access the store.
type Store struct {
	// Configuration returns what the operator wrote at or after a position: the newest configuration version, whose
	// body is empty if there is none, and drains. It waits up to the given time for something to be written. From
	// the unknown position it returns what is in force.
	Configuration       func(ctx context.Context, from storelog.Position, wait time.Duration) (Version, error)
	DecodeConfiguration func(body []byte) (*configuration.Configuration, error)
	// Servers returns the records of the server registry from a position on. Listing.Complete means that the
	// records are all entries of the registry.
	Servers      func(ctx context.Context, from storelog.Position) (Listing, error)
	DecodeServer func(body []byte) (*roster.Server, error)
	// Claim appends a record that names a node as the leader and returns the position of the record.
	Claim func(ctx context.Context, leader string) (storelog.Position, error)
	// Register stores the registration of a node, which holds its peer address. Nodes returns the registrations of
	// all nodes.
	Register func(ctx context.Context, node NodeRegistration) error
	Nodes    func(ctx context.Context) ([]NodeRegistration, error)
	// SaveSuspects stores requests that are suspected of making servers fail. ListSuspects returns all stored ones.
	SaveSuspects func(ctx context.Context, suspects []Suspect) error
	ListSuspects func(ctx context.Context) ([]Suspect, error)
}

// NodeRegistration is the entry of a node in the store.
type NodeRegistration struct {
	Address    string `json:"-"`
	DataCentre string
	// Capacity is the CPU capacity of the node, in thousandths of a core.
	Capacity uint32
}

// ErrExpired means that the store no longer keeps the records at a position. The reader must read all records again.
var ErrExpired = errors.New("the store no longer keeps the records at this position")

// Version is one answer of Store.Configuration.
type Version struct {
	Body []byte
	// Drains are the drains of data centres. Complete means that they are all existing drains.
	Drains   []drain.Record
	Complete bool
	Next     storelog.Position
	// CurrentAt is a time at which the store had no newer version.
	CurrentAt time.Duration
}

// Listing is an excerpt of the server registry, read from the store or received from another node.
type Listing struct {
	Records  []roster.Record
	Next     storelog.Position
	Complete bool
	// Peer is the address of the node that passed the listing on, empty if it was read from the store.
	Peer string
	// RequestedAt is when the listing was requested from the store.
	RequestedAt time.Duration
}

// Suspect is the stored form of a request that is suspected of making servers fail. Its times are wall-clock times, since
// the monotonic clock of one node is meaningless to other nodes.
type Suspect struct {
	Fingerprint string `json:"-"`
	// Deleted tells the store to delete the suspect.
	Deleted bool `json:"-"`
	// Part is set for a part of prompts.
	Part     bool `json:",omitempty"`
	Answered bool `json:",omitempty"`
	Ends     []SuspectFailure
	LiftedAt time.Time
}

// SuspectFailure is the failure of a server that was processing the request. Run identifies the server process.
type SuspectFailure struct {
	Run string
	At  time.Time
}
