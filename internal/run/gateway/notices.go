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

// limitLines are the log lines of what answers change of limits.
var limitLines = map[ratelimit.Change]string{
	ratelimit.Learnt:  "gateway: a server named a limit.",
	ratelimit.Changed: "gateway: a server changed its limit.",
	ratelimit.Ended:   "gateway: a server names no limit any more.",
	ratelimit.Spoilt:  "gateway: a server named a limit that can't be read.",
}

// backoffLines are the same of backoffs.
var backoffLines = map[notice.Change]string{
	notice.Learnt:    "gateway: a server asked for a backoff.",
	notice.Prolonged: "gateway: a server prolonged its backoff.",
	notice.Ended:     "gateway: a server takes calls again after its backoff.",
	notice.Spoilt:    "gateway: a server asked for a backoff that can't be read.",
}

// heard takes what an answer says of its server.
func (node *Node) heard(heard forward.Heard) {
	if !heard.Stray {
		node.heardLimit(&heard)
	}
	said := &heard.Said
	changes := node.notices.Heard(heard.Record, heard.Answer())
	if changes.Backoff != notice.Unchanged {
		node.logHeard(backoffLines[changes.Backoff], &heard,
			slog.Int64("BackoffMilliseconds", said.Backoff.Span.Milliseconds()), slog.String("Value", said.Backoff.Unreadable))
	}
	if changes.Draining != notice.Unchanged {
		node.logHeard("gateway: a server says that it is draining.", &heard)
		node.drains()
	}
	if changes.Tell {
		node.peers.tellNotice(heard.Record.Run, nil)
	}
}

// drains takes the servers that are draining out of the lists.
func (node *Node) drains() {
	node.servers.Refresh()
	node.changed()
}

// tellNotice makes all other nodes be told what a server said of itself.
func (peers *peers) tellNotice(run ratelimit.Run, from *overlay.Link) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for link, channel := range peers.channels {
		if link != from {
			channel.notices[run] = struct{}{}
		}
	}
}

// noticesAtOnce bounds what is told of servers in one frame.
const noticesAtOnce = 100

// noticesFor returns what the other side of a link lacks, as it is now.
func (peers *peers) noticesFor(channel *channel) []*frame.ServerNotice {
	if len(channel.notices) == 0 {
		return nil
	}
	told := make([]*frame.ServerNotice, 0, min(len(channel.notices), noticesAtOnce))
	for run := range channel.notices {
		if len(told) == noticesAtOnce {
			break
		}
		delete(channel.notices, run)
		if known, any := peers.node.notices.Told(run); any {
			told = append(told, &frame.ServerNotice{Server: run.Server, Born: run.Born, Draining: known.Draining, BackoffMs: milliseconds(known.Backoff)})
		}
	}
	return told
}

// takeNotices takes what servers said to other nodes, and passes on what is news.
func (peers *peers) takeNotices(link *overlay.Link, received []*frame.ServerNotice) {
	node := peers.node
	for _, one := range received {
		told := notice.Told{
			Run:      ratelimit.Run{Server: one.Server, Born: one.Born},
			Draining: one.Draining, Backoff: time.Duration(one.BackoffMs) * time.Millisecond,
		}
		if !node.notices.Take(told) {
			continue
		}
		peers.tellNotice(told.Run, link)
		// Backoffs of other nodes are counted alone: in a large fleet each node hears of
		// dozens a second.
		if told.Draining {
			node.logger.Info("gateway: another node was told that a server is draining.", "Server", told.Server, "Born", told.Born, "From", link.Remote.Address)
			node.drains()
		}
	}
}

// logHeard writes a line of what an answer changed.
func (node *Node) logHeard(line string, heard *forward.Heard, attributes ...slog.Attr) {
	attributes = append(attributes,
		slog.String("Server", heard.Record.Server), slog.Int64("Born", heard.Record.Born), slog.String("Group", heard.Group),
		slog.String("Source", heard.Source), slog.String("RequestID", heard.RequestID),
		slog.Int64("SentMillisecondsAgo", (node.now()-heard.Sent).Milliseconds()), slog.Int("SentLately", heard.Record.Gate.SentLately()))
	node.logger.LogAttrs(context.Background(), slog.LevelInfo, line, attributes...)
}

// heardLimit takes what an answer says of its server's limit.
func (node *Node) heardLimit(heard *forward.Heard) {
	told, run := heard.Said.Limit, heard.Record.Run
	if !told.Named && told.Unreadable == "" && !node.limits.Any() {
		return
	}
	before, _ := node.limits.Limit(run)
	change := node.limits.Answered(run, ratelimit.Answer{
		Named: told.Named, Rate: told.Rate, Unreadable: told.Unreadable, Refused: !heard.Taken, Began: heard.Chosen,
	})
	if change == ratelimit.Unchanged {
		return
	}
	if change != ratelimit.Spoilt {
		node.limitNews(run)
	}
	if now, _ := node.limits.Limit(run); change == ratelimit.Changed && !now.Differs(&before) {
		return
	}
	node.logHeard(limitLines[change], heard,
		slog.Float64("Rate", told.Rate), slog.Float64("Before", before.Rate), slog.String("Value", told.Unreadable))
}

// heardControl takes what a server says of itself in its answer to a question or an order,
// which say nothing of whether it takes calls.
func (node *Node) heardControl(server *roster.Server, source string, said backendserver.ServerSignals) {
	if said == (backendserver.ServerSignals{}) {
		return
	}
	now := node.now()
	node.heard(forward.Heard{
		Record: node.notices.Record(ratelimit.Run{Server: server.ID, Born: server.Born}), Said: said, Source: source,
		Group: server.Group.Name, Chosen: now, Sent: now,
	})
}

// backsOff says whether a server asked this node for a backoff that lasts.
func (node *Node) backsOff(server *roster.Server) bool {
	return node.notices.BacksOff(server.ID)
}

// sweepNotices forgets what servers said that doesn't count any more.
func (node *Node) sweepNotices(listed map[ratelimit.Run]string) {
	servers := node.servers.Load().Servers
	for _, id := range node.notices.Sweep(func(run ratelimit.Run) bool {
		_, used := listed[run]
		entry := servers[run.Server]
		return used || (entry != nil && entry.Born == run.Born)
	}) {
		node.logger.Info("gateway: a server's backoff has passed, and no call was sent there since.", "Server", id)
	}
}
