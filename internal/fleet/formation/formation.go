// Package formation forms replica groups from backend servers and repairs them.
//
// One node of the fleet is the leader and sends orders. It leads under a term, a fencing number
// that rises with each change of the leader (see package leadership). Several nodes may believe that
// they lead, so safety does not depend on a single leader: a server refuses orders under a term
// lower than one that it has seen, an order to join names the number of orders that the server had
// accepted at its last report, and epochs rise in the order in which they are issued. Two nodes
// that send orders at the same time waste work but break no guarantee.
//
// The guarantees are:
//
//   - A head is ordered to serve only after every member was seen ready under the group's name and
//     epoch.
//   - A member of a group that may still be serving is ordered to join another group only after the
//     group's head was seen to have left it. If the head can't be reached, another member is made
//     to leave, and the order waits for longer than the stall timeout: a group that lost a member
//     no longer serves by then.
//
// View holds what a node knows about groups, on every node. Controller sends the orders, on the
// leader.
//
// # Usage
//
//	view := formation.NewView(clock.Boot, formation.WithServerList(servers.Load))
//	controller := formation.New(formation.Dependencies{View: view, ...})
//	controller.Start()
//	groups := view.Serving(servers.Load(), services)
package formation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/configuration"
)

// Group is a set of servers that together run one replica of a model, or that are to run it.
type Group struct {
	Name    string
	Epoch   int64
	Service string
	Model   string
	// Members holds the server IDs in order of rank, the head first.
	Members []string
}

// Head returns the ID of the server that receives the group's calls, or "" if the group has no
// members.
func (group *Group) Head() string {
	if len(group.Members) == 0 {
		return ""
	}
	return group.Members[0]
}

// OrderKind is the action that an order requests.
type OrderKind int

// The kinds of orders.
const (
	// Join makes a server a member of a group that is being formed.
	Join OrderKind = iota
	// Open makes a head accept calls.
	Open
	// Close makes a head finish its calls and accept no new ones.
	Close
	// Leave removes a server from a group immediately.
	Leave
	// Stage loads a model's weights onto a server's host.
	Stage
)

// String returns the kind's name for logs.
func (kind OrderKind) String() string {
	return [...]string{"Join", "Open", "Close", "Leave", "Stage"}[kind]
}

// Order is an instruction to one server.
type Order struct {
	Kind    OrderKind
	Group   string
	Epoch   int64
	Model   string
	Members []string
	// Term is the fencing term under which the order is sent.
	Term int64
	// Expected is the number of orders that the server must have accepted before this one. A
	// negative number disables the check.
	Expected int64
}

// Result is a server's reply to an order.
type Result int

// The results of orders.
const (
	// Begun means that the server accepted the order and is carrying it out.
	Begun Result = iota
	// Done means that the server already is in the ordered state.
	Done
	// Conflict means that the order conflicts with the server's current state.
	Conflict
	// Outdated means that the server has seen an order under a higher term.
	Outdated
	// Absent means that the address belongs to another server.
	Absent
	// Invalid means that the server doesn't know the kind of order.
	Invalid
)

// String returns the result's name for logs.
func (result Result) String() string {
	return [...]string{"Begun", "Done", "Conflict", "Outdated", "Absent", "Invalid"}[result]
}

// Taken reports whether the order was accepted or was already fulfilled.
func (result Result) Taken() bool {
	return result == Begun || result == Done
}

// Report is a server's state as the server itself reports it.
type Report struct {
	// Born is the start of the server's process, as in roster.Server.
	Born  int64
	Group roster.Membership
	Model string
	// Staged lists the models on the server's host.
	Staged []string
	// Orders counts the orders that the server has accepted since its process started.
	Orders int64
	// Busy is set while the server is carrying out an order.
	Busy    bool
	Queued  int
	Running int
	// Pace is above 1 if the server is slower than expected.
	Pace float64
}

// ErrRefused marks the error of a report request or an order that the server answered with a
// refusal. Test for it with errors.Is.
var ErrRefused = errors.New("server refused the report request or order")

// ErrOtherServer marks the error of a report request that another server at the address answered. Test
// for it with errors.Is.
var ErrOtherServer = errors.New("another server has the address")

// ServerClient requests reports from servers and sends them orders.
type ServerClient struct {
	Report func(ctx context.Context, server *roster.Server) (Report, error)
	Order  func(ctx context.Context, server *roster.Server, order Order) (Result, error)
	// Connect opens a new connection to a server and returns the error of the attempt. Without it, no
	// evidence comes from connections.
	Connect func(ctx context.Context, server *roster.Server) error
}

// Bounds holds the limits of the deployment that a Controller must keep.
type Bounds struct {
	// StallTimeout is how long a group that lost a member continues to accept calls.
	StallTimeout time.Duration
	// LoadWindow and LoadBurstFactor limit the loads from the weight store: the number that begins
	// within any LoadWindow is at most the service's loads per second times the window times the
	// factor.
	LoadWindow      time.Duration
	LoadBurstFactor float64
}

// Service is a service whose servers form groups.
type Service struct {
	Name   string
	Engine *configuration.Engine
}
