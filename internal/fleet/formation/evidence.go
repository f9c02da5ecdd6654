package formation

import (
	"context"
	"log/slog"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/roster"
)

// Response is how a member of a suspected group responded to the leader.
type Response string

// The responses of a member.
const (
	// InGroup means that the member reported that it is in the group.
	InGroup Response = "InGroup"
	// RequestRefused means that the member refused the report request, as in a backoff.
	RequestRefused Response = "RequestRefused"
	// NotInGroup means that the member reported no group, another group or a broken one.
	NotInGroup Response = "NotInGroup"
	// OtherRun means that the member's process has restarted.
	OtherRun Response = "OtherRun"
	// Unlisted means that the member is not in the server list.
	Unlisted Response = "Unlisted"
	// ConnectionRefused means that the member's host refused or reset a new connection.
	ConnectionRefused Response = "ConnectionRefused"
	// NoConnection means that a new connection timed out or failed in another way.
	NoConnection Response = "NoConnection"
	// NoReply means that a new connection was accepted and the report didn't arrive, or that there is no
	// evidence from a connection.
	NoReply Response = "NoReply"
)

// connectDelay is how long a report may take before a connection is opened as well. Reports arrive
// within a few milliseconds, so that servers without a fault cost no new connection.
const connectDelay = 30 * time.Millisecond

// requestResponses requests reports from the members of a group, and opens a new connection to each
// member that doesn't reply at once. A report may be sent over a kept connection, which doesn't tell
// a host without power from a process that is paused.
func (controller *Controller) requestResponses(group Group) []Response {
	responses := make([]Response, len(group.Members))
	waiters := conc.WaitGroup{}
	for index, id := range group.Members {
		server, ok := controller.Servers().Servers[id]
		if !ok {
			responses[index] = Unlisted
			continue
		}
		waiters.Go(func() { responses[index] = controller.requestResponse(group, server) })
	}
	waiters.Wait()
	return responses
}

func (controller *Controller) requestResponse(group Group, server *roster.Server) Response {
	ctx, cancel := controller.ContextWithTimeout(callTimeout)
	defer cancel()
	replied := make(chan struct{})
	var connectErr error
	connecting := conc.WaitGroup{}
	connecting.Go(func() { connectErr = controller.connectUnlessReplied(ctx, server, replied) })
	controller.Counts.Reports.Add(1)
	report, err := controller.Report(ctx, server)
	if err == nil || errors.Is(err, ErrRefused) {
		close(replied)
	}
	connecting.Wait()
	switch {
	case errors.Is(err, ErrRefused):
		return RequestRefused
	case err != nil:
		return connectResponse(connectErr)
	case report.Group.Name != group.Name || report.Group.State == roster.Broken:
		if report.Born != server.Born {
			return OtherRun
		}
		return NotInGroup
	}
	return InGroup
}

// connectUnlessReplied opens a new connection to a server that has not replied within connectDelay.
func (controller *Controller) connectUnlessReplied(ctx context.Context, server *roster.Server, replied <-chan struct{}) error {
	if controller.Connect == nil {
		return nil
	}
	timer := time.NewTimer(connectDelay)
	defer timer.Stop()
	select {
	case <-replied:
		return nil
	case <-timer.C:
		return controller.Connect(ctx, server)
	}
}

// connectResponse classifies the result of a new connection to a member without a reply.
func connectResponse(err error) Response {
	switch {
	case err == nil:
		return NoReply
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		return ConnectionRefused
	}
	return NoConnection
}

// evidence is what an examination of a group has found.
type evidence struct {
	responses []Response
	// asked is how often the members were asked, since startedAt.
	asked     int
	startedAt time.Duration
}

// maxLoggedMembers bounds the members whose responses are logged.
const maxLoggedMembers = 16

// attributes returns the log attributes of the evidence.
func (controller *Controller) evidenceAttributes(group Group, found evidence) []any {
	said := []slog.Attr{}
	for index, response := range found.responses[:min(len(found.responses), maxLoggedMembers)] {
		said = append(said, slog.String(group.Members[index], string(response)))
	}
	return []any{
		slog.GroupAttrs("Evidence", said...), "Asked", found.asked,
		"Milliseconds", (controller.Now() - found.startedAt).Milliseconds(), "OthersExamined", controller.examinations.Load() - 1,
	}
}
