package formation

import (
	"context"
	"io"
	"log/slog"
	"sync"
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
	// OtherServer means that another server has the member's address.
	OtherServer Response = "OtherServer"
	// Unlisted means that the member is not in the server list and accepts no connection.
	Unlisted Response = "Unlisted"
	// ConnectionRefused means that the member's host refused or reset a new connection.
	ConnectionRefused Response = "ConnectionRefused"
	// ConnectionReset means that a new connection was accepted, and the connection of the report was closed
	// before any reply. A paused process closes none.
	ConnectionReset Response = "ConnectionReset"
	// NoConnection means that a new connection timed out or failed in another way.
	NoConnection Response = "NoConnection"
	// NoReply means that a new connection was accepted and the report didn't arrive, or that there is no
	// evidence from a connection.
	NoReply Response = "NoReply"
)

// connectDelay is how long a report may take before a connection is opened as well, and how long that
// may take before reference servers are asked. Either arrives within a few milliseconds, so that servers
// without a fault cost no new connection.
const connectDelay = 30 * time.Millisecond

// answer is a member's response, with its report if it replied.
type answer struct {
	Response
	report Report
}

// question is one question to the members of a group while it is under way.
type question struct {
	group     Group
	startedAt time.Duration
	// askReferences is called once a member's connection is in doubt.
	askReferences func(dataCentre string)
}

// requestRound asks servers of a group for reports. Whoever doesn't reply at once is sent a new
// connection as well: a report may go over a kept connection, which doesn't tell a host without power
// from a process that is paused.
func (controller *Controller) requestRound(group Group, ids []string) (*round, []answer) {
	defer controller.beginAsking(group)()
	asked := &round{startedAt: controller.Now(), ids: ids}
	answers := make([]answer, len(ids))
	once, members, referenceWaiters := sync.Once{}, conc.WaitGroup{}, conc.WaitGroup{}
	asking := &question{group: group, startedAt: asked.startedAt, askReferences: func(dataCentre string) {
		once.Do(func() {
			referenceWaiters.Go(func() { asked.references = controller.requestReferences(dataCentre, asked.startedAt) })
		})
	}}
	ended := make(chan struct{})
	schedule := conc.WaitGroup{}
	schedule.Go(func() { asked.delay = controller.longestDelay(ended) })
	for index, id := range ids {
		members.Go(func() { answers[index] = controller.requestAnswer(asking, id) })
	}
	members.Wait()
	close(ended)
	schedule.Wait()
	asked.took = controller.Now() - asked.startedAt
	referenceWaiters.Wait()
	for _, answer := range answers {
		asked.responses = append(asked.responses, answer.Response)
	}
	return asked, answers
}

// scheduleCheckInterval is the interval at which a round checks that this node is scheduled.
const scheduleCheckInterval = 10 * time.Millisecond

// longestDelay returns how much later than due this node was scheduled until the channel is closed, at most.
func (controller *Controller) longestDelay(ended <-chan struct{}) time.Duration {
	longest := time.Duration(0)
	for done := false; !done; {
		before := controller.Now()
		done = waitFor(ended, scheduleCheckInterval)
		longest = max(longest, controller.Now()-before-scheduleCheckInterval)
	}
	return longest
}

// findMember returns a member of a group and whether it is listed, or nil if nothing is known of it. A server that is not
// listed any more is asked at its last address: its process may be paused for longer than the registry keeps an entry
// without heartbeats.
func (controller *Controller) findMember(group, id string) (server *roster.Server, listed bool) {
	if server, listed = controller.Servers().Servers[id]; listed {
		return server, true
	}
	return controller.lastMember(group, id), false
}

// requestAnswer asks one server of a group.
func (controller *Controller) requestAnswer(asking *question, id string) answer {
	server, listed := controller.findMember(asking.group.Name, id)
	if server == nil {
		return answer{Response: Unlisted}
	}
	ctx, cancel := controller.ContextWithTimeout(callTimeout)
	defer cancel()
	ended := make(chan struct{})
	replied := false
	var connectErr error
	connecting := conc.WaitGroup{}
	connecting.Go(func() {
		if controller.Connect == nil || waitFor(ended, connectDelay) && replied {
			return
		}
		connectErr = controller.connect(ctx, asking, server)
	})
	controller.Counts.Reports.Add(1)
	report, err := controller.Report(ctx, server)
	replied = err == nil || errors.IsAny(err, ErrRefused, ErrOtherServer)
	close(ended)
	connecting.Wait()
	found := answer{Response: memberResponse(asking.group, server, &report, err, connectErr), report: report}
	if !listed && found.Response == NoConnection {
		found.Response = Unlisted
	}
	if found.isReply() {
		controller.endExclusion(server.ID)
	}
	return found
}

// waitFor waits until the channel is closed and returns true, or returns false after the timeout.
func waitFor(done <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// connect opens a new connection to a server. Reference servers are asked if it isn't accepted at once.
func (controller *Controller) connect(ctx context.Context, asking *question, server *roster.Server) error {
	ended := make(chan struct{})
	var connectErr error
	connecting := conc.WaitGroup{}
	connecting.Go(func() {
		defer close(ended)
		connectErr = controller.Connect(ctx, server)
	})
	if !waitFor(ended, connectDelay) || connectErr != nil {
		asking.askReferences(server.DataCentre)
	}
	connecting.Wait()
	return connectErr
}

// memberResponse classifies the result of a report request, and of a new connection if there was no reply.
func memberResponse(group Group, server *roster.Server, report *Report, err, connectErr error) Response {
	inGroup := report.Group.Name == group.Name && report.Group.State != roster.Broken
	// A list entry that shows the server in the group tells which run of its process joined. An older entry
	// doesn't, and neither does a report without a start time.
	otherRun := report.Born != 0 && report.Born != server.Born && (!inGroup || server.Group.Name == group.Name)
	switch {
	case errors.Is(err, ErrRefused):
		return RequestRefused
	case errors.Is(err, ErrOtherServer):
		return OtherServer
	case err != nil && connectErr == nil && errors.IsAny(err, syscall.ECONNRESET, io.EOF, io.ErrUnexpectedEOF):
		return ConnectionReset
	case err != nil:
		return connectResponse(connectErr)
	case otherRun:
		return OtherRun
	case !inGroup:
		return NotInGroup
	}
	return InGroup
}

// connectResponse classifies the result of a new connection to a server without a reply.
func connectResponse(err error) Response {
	switch {
	case err == nil:
		return NoReply
	case errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET):
		return ConnectionRefused
	}
	return NoConnection
}

// maxLoggedMembers bounds the members whose responses are logged.
const maxLoggedMembers = 16

// evidenceAttributes returns the log attributes of what the members said last, and of how often and how
// long they were asked.
func (controller *Controller) evidenceAttributes(examined *examination) []any {
	said := []slog.Attr{}
	last := examined.last
	for index, response := range last.responses[:min(len(last.responses), maxLoggedMembers)] {
		said = append(said, slog.String(last.ids[index], string(response)))
	}
	return []any{
		slog.GroupAttrs("Evidence", said...), "Asked", examined.rounds, "Milliseconds", (controller.Now() - examined.startedAt).Milliseconds(),
		"ReferencesAsked", last.references.asked, "ReferencesReached", last.references.reached, "OthersExamined", controller.othersExamined(examined.group.Name),
	}
}
