// Package formation forms replica groups out of backend servers and mends
// them.
//
// One node of the fleet gives orders at a time, under a number that rises with
// each change of hands (see package tenure). Several may believe that they do,
// so nothing depends on there being one: a server refuses orders under a number
// lower than one that it has seen, an order to join names the count of orders
// that the server had taken when it was last looked at, and epochs rise in the
// order in which they are given. Two nodes that order at once waste work and
// break nothing.
//
// The promises:
//
//   - a head is told to serve only after every member was seen ready under the
//     group's name and epoch;
//   - a member of a group that may still be serving is told to join another
//     only after the group's head was seen to have left it, or, if the head
//     can't be reached, longer after another member left than a group that lost
//     a member lives.
//
// A View is what every node knows of groups, whoever gives orders; a Former
// gives the orders.
//
// # Usage
//
//	view := formation.NewView()
//	former := formation.New(formation.Parts{View: view, ...})
//	former.Start()
//	groups := view.Serving(servers, services)
package formation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/configuration"
)

// Group is a replica of a model, or one that is to become it.
type Group struct {
	Name    string
	Epoch   int64
	Service string
	Model   string
	// Members are server IDs, the head first.
	Members []string
}

// Head returns the ID of the server that takes the group's calls.
func (group *Group) Head() string {
	if len(group.Members) == 0 {
		return ""
	}
	return group.Members[0]
}

// Kind is what an order asks for.
type Kind int

// The kinds of orders.
const (
	// Join makes a server a member of a group in the making.
	Join Kind = iota
	// Open makes a head serve.
	Open
	// Close makes a head finish what it has and serve no more.
	Close
	// Leave takes a server out of a group at once.
	Leave
	// Stage loads a model's weights onto a server's host.
	Stage
)

// String names the kind for logs.
func (kind Kind) String() string {
	return [...]string{"Join", "Open", "Close", "Leave", "Stage"}[kind]
}

// Order is one order to one server.
type Order struct {
	Kind    Kind
	Group   string
	Epoch   int64
	Model   string
	Members []string
	// Term is the fencing number under which the order is given.
	Term int64
	// Expected is how many orders the server must have taken so far; negative
	// for any.
	Expected int64
}

// Result is a server's answer to an order.
type Result int

// The results of orders.
const (
	// Begun means that the order was taken and is being carried out.
	Begun Result = iota
	// Done means that things are already as ordered.
	Done
	// Conflict means that the order doesn't fit what the server is doing.
	Conflict
	// Outdated means that another node has ordered under a higher number.
	Outdated
	// Absent means that another server has the address.
	Absent
	// Invalid means that the server doesn't know such an order.
	Invalid
)

// String names the result for logs.
func (result Result) String() string {
	return [...]string{"Begun", "Done", "Conflict", "Outdated", "Absent", "Invalid"}[result]
}

// Taken says whether the order has its effect.
func (result Result) Taken() bool {
	return result == Begun || result == Done
}

// Report is what a server says of itself when asked.
type Report struct {
	// Born is as in roster.Server.
	Born  int64
	Group roster.Membership
	Model string
	// Staged are the models on the server's host.
	Staged []string
	// Orders counts the orders taken in this run of the server.
	Orders int64
	// Busy says that an order is being carried out.
	Busy    bool
	Queued  int
	Running int
	// Pace is over 1 where the server is slower than it should be.
	Pace float64
}

// ErrRefused marks the error of a question or order that a server answered, and refused. Use
// errors.Is.
var ErrRefused = errors.New("the server refused")

// Fleet is how a Former reaches servers.
type Fleet struct {
	Report func(ctx context.Context, server *roster.Server) (Report, error)
	Order  func(ctx context.Context, server *roster.Server, order Order) (Result, error)
}

// Bounds are the deployment's figures that a Former must keep.
type Bounds struct {
	// Stall is how long a group that lost a member goes on accepting calls.
	Stall time.Duration
	// LoadWindow and LoadBurst bound loads: in any window no more than the
	// service's loads a second, times the window, times the burst.
	LoadWindow time.Duration
	LoadBurst  float64
}

// Service is a service whose servers form groups.
type Service struct {
	Name   string
	Engine *configuration.Engine
}
