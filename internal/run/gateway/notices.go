package gateway

import (
	"context"
	"log/slog"
	"time"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/serve/forward"
	"hazelslip/internal/wire/frame"
)

// limitMessages are the log messages for changes of a server's rate limit.
var limitMessages = map[ratelimit.Change]string{
	ratelimit.Learned:    "gateway: a server stated a rate limit.",
	ratelimit.Changed:    "gateway: a server changed its rate limit.",
	ratelimit.Ended:      "gateway: a server no longer states a rate limit.",
	ratelimit.Unreadable: "gateway: a server stated an invalid rate limit.",
}

// backoffMessages are the log messages for changes of a server's backoff.
var backoffMessages = map[notice.Change]string{
	notice.Learned:    "gateway: a server requested a backoff.",
	notice.Extended:   "gateway: a server extended its backoff.",
	notice.Ended:      "gateway: a server accepts calls again after its backoff.",
	notice.Unreadable: "gateway: a server requested an invalid backoff.",
}

// handleResponseHead applies the signals that a response head carries: rate limit, backoff and draining.
func (node *Node) handleResponseHead(received forward.ResponseHead) {
	if !received.Stray {
		node.handleLimitSignal(&received)
	}
	signals := &received.Signals
	changes := node.notices.HandleResponse(received.Record, received.NoticeResponse())
	if changes.Backoff != notice.Unchanged {
		node.logNotice(backoffMessages[changes.Backoff], &received,
			slog.Int64("BackoffMilliseconds", signals.Backoff.Span.Milliseconds()), slog.String("Value", signals.Backoff.Unreadable))
	}
	if changes.Draining != notice.Unchanged {
		node.logNotice("gateway: a server is draining.", &received)
		node.applyDraining()
	}
	if changes.Announce {
		node.peers.queueNotice(received.Record.Run, nil)
	}
}

// applyDraining refreshes the server list and the call targets, so that draining servers get no new calls.
func (node *Node) applyDraining() {
	node.servers.RefreshDraining()
	node.requestTargetUpdate()
}

// queueNotice queues what a server stated for all links except the one that it came over.
func (peers *peers) queueNotice(run ratelimit.Run, from *overlay.Link) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for link, state := range peers.linkStates {
		if link != from {
			state.pendingNotices[run] = struct{}{}
		}
	}
}

// maxNoticesPerFrame bounds the number of notices in one frame.
const maxNoticesPerFrame = 100

// nextNotices returns the queued notices for a link, with their current content.
func (peers *peers) nextNotices(state *linkState) []*frame.ServerNotice {
	if len(state.pendingNotices) == 0 {
		return nil
	}
	encoded := make([]*frame.ServerNotice, 0, min(len(state.pendingNotices), maxNoticesPerFrame))
	for run := range state.pendingNotices {
		if len(encoded) == maxNoticesPerFrame {
			break
		}
		delete(state.pendingNotices, run)
		if known, any := peers.node.notices.Announcement(run); any {
			encoded = append(encoded, &frame.ServerNotice{Server: run.Server, Born: run.Born, Draining: known.Draining, BackoffMs: cappedMilliseconds(known.Backoff)})
		}
	}
	return encoded
}

// handleNotices applies the notices that other nodes received from servers, and forwards those that are new.
func (peers *peers) handleNotices(link *overlay.Link, received []*frame.ServerNotice) {
	node := peers.node
	for _, encoded := range received {
		decoded := notice.Announcement{
			Run:      ratelimit.Run{Server: encoded.Server, Born: encoded.Born},
			Draining: encoded.Draining, Backoff: time.Duration(encoded.BackoffMs) * time.Millisecond,
		}
		if !node.notices.Merge(decoded) {
			continue
		}
		peers.queueNotice(decoded.Run, link)
		// Backoffs received by other nodes are counted but not logged: in a large fleet each node hears of
		// dozens per second.
		if decoded.Draining {
			node.logger.Info("gateway: another node reported that a server is draining.", "Server", decoded.Server, "Born", decoded.Born, "From", link.Remote.Address)
			node.applyDraining()
		}
	}
}

// logNotice logs a change that a response caused.
func (node *Node) logNotice(message string, received *forward.ResponseHead, attributes ...slog.Attr) {
	attributes = append(attributes,
		slog.String("Server", received.Record.Server), slog.Int64("Born", received.Record.Born), slog.String("Group", received.Group),
		slog.String("Source", received.Source), slog.String("RequestID", received.RequestID),
		slog.Int64("SentMillisecondsAgo", (node.now()-received.SentAt).Milliseconds()), slog.Int("SentLately", received.Record.Gate.SentLately()))
	node.logger.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}

// handleLimitSignal applies what a response states about the rate limit of its server.
func (node *Node) handleLimitSignal(received *forward.ResponseHead) {
	limit, run := received.Signals.Limit, received.Record.Run
	if !limit.Named && limit.Unreadable == "" && !node.limits.Any() {
		return
	}
	previous, _ := node.limits.Limit(run)
	change := node.limits.HandleResponse(run, ratelimit.Response{
		HasLimit: limit.Named, Rate: limit.Rate, Unreadable: limit.Unreadable, Refused: !received.Accepted, SentAt: received.ChosenAt,
	})
	if change == ratelimit.Unchanged {
		return
	}
	if change != ratelimit.Unreadable {
		node.announceLimit(run)
	}
	if now, _ := node.limits.Limit(run); change == ratelimit.Changed && !now.WorthLogging(&previous) {
		return
	}
	node.logNotice(limitMessages[change], received,
		slog.Float64("Rate", limit.Rate), slog.Float64("Before", previous.Rate), slog.String("Value", limit.Unreadable))
}

// handleControlSignals applies the signals in a server's response to a query or an order. Such a response
// doesn't show whether the server accepts calls.
func (node *Node) handleControlSignals(server *roster.Server, source string, signals backendserver.ServerSignals) {
	if signals == (backendserver.ServerSignals{}) {
		return
	}
	now := node.now()
	node.handleResponseHead(forward.ResponseHead{
		Record: node.notices.Record(ratelimit.Run{Server: server.ID, Born: server.Born}), Signals: signals, Source: source,
		Group: server.Group.Name, ChosenAt: now, SentAt: now,
	})
}

// backingOff reports whether a backoff that a server requested from this node is in effect.
func (node *Node) backingOff(server *roster.Server) bool {
	return node.notices.InBackoff(server.ID)
}

// sweepNotices drops expired notices, and notices of servers that are neither called nor listed.
func (node *Node) sweepNotices(targets map[ratelimit.Run]string) {
	servers := node.servers.Load().Servers
	for _, id := range node.notices.Sweep(func(run ratelimit.Run) bool {
		_, used := targets[run]
		entry := servers[run.Server]
		return used || (entry != nil && entry.Born == run.Born)
	}) {
		node.logger.Info("gateway: a server's backoff expired without a call to the server since.", "Server", id)
	}
}
