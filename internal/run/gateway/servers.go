package gateway

import (
	"context"
	"log/slog"
	"net/http"

	"hazelslip/internal/serve/inbound"
)

const (
	// detourHeaderBytes is how much longer the head of a detoured request may be than its caller's. It holds what the
	// sending node has read ahead and the state that it adds.
	detourHeaderBytes = 8 << 10
	// callerShare and detourShare are the fractions of the sockets for connections of callers and of nodes that send
	// detours. Each request in progress may take one more socket, for its server. The rest is for the store, other nodes,
	// reports and idle connections to servers.
	callerShare = 5.0 / 16
	detourShare = 1.0 / 16
	// peerShare is the fraction of the sockets for connections that other nodes open.
	peerShare = 1.0 / 8
	// maxProbeConns bounds the connections of the load balancer, and those of operators.
	maxProbeConns = 32
	// minConns is the least number of connections at an address, whatever the limits say.
	minConns = 16
	// connMemoryDivisor is the ratio of the process's memory limit to the memory for callers' connections, and connBytes
	// what a connection takes: its goroutine, buffers, and the head of an ordinary request.
	connMemoryDivisor = 4
	connBytes         = 56 << 10
)

// connLimits bounds the connections at each address.
type connLimits struct {
	Callers, Detours, Peers int
}

// connLimits derives the limits from the descriptors and the memory of the process.
func (limits *Limits) connLimits() connLimits {
	sockets := float64(inbound.Sockets(limits.MaxDescriptors))
	callers := sockets * callerShare
	if limits.MemoryBytes > 0 {
		callers = min(callers, float64(limits.MemoryBytes/connMemoryDivisor/connBytes))
	}
	bound := func(conns float64) int { return max(minConns, int(conns)) }
	return connLimits{Callers: bound(callers), Detours: bound(sockets * detourShare), Peers: bound(sockets * peerShare)}
}

// newServers creates the HTTP servers of the node, whose listeners bound what clients may send.
func (node *Node) newServers() {
	limits := node.settings.Limits.connLimits()
	if node.memory.Limited() {
		node.listeners[0] = newCallerListener(node.listeners[0])
		if node.detours.enabled() {
			node.detours.listener = newCallerListener(node.detours.listener)
		}
	}
	callers := node.inbound.NewAddress("Callers", inbound.MaxConns(limits.Callers), inbound.CurrentLimits(node.callerLimits))
	node.listeners[0], node.callerServer = callers.Listen(node.listeners[0]), callers.Server(node.forwarder)
	if node.detours.enabled() {
		detours := node.inbound.NewAddress("Detours", inbound.MaxConns(limits.Detours), inbound.CurrentLimits(node.detourLimits))
		node.detours.listener, node.detours.server = detours.Listen(node.detours.listener), detours.Server(node.forwarder.DetourHandler())
	}
	readiness := node.inbound.NewAddress("Readiness", inbound.MaxConns(maxProbeConns))
	node.listeners[1], node.readinessServer = readiness.Listen(node.listeners[1]), readiness.Server(http.HandlerFunc(node.serveReadiness))
	operator := node.inbound.NewAddress("Operator", inbound.MaxConns(maxProbeConns))
	node.operatorServer = operator.Server(node.operatorHandler())
	if len(node.listeners) > 3 {
		node.listeners[3] = operator.Listen(node.listeners[3])
	}
}

// callerLimits are the operator's limits in force.
func (node *Node) callerLimits() inbound.Limits {
	limits := &node.configuration.Load().Configuration.Limits
	return inbound.Limits{MaxHeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// detourLimits are the limits for other nodes, which forward what callers may send. They keep idle connections for a time
// of their own.
func (node *Node) detourLimits() inbound.Limits {
	limits := node.callerLimits().OrDefaults()
	return inbound.Limits{MaxHeaderBytes: limits.MaxHeaderBytes + detourHeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: detourIdleTimeout}
}

// logEpisode logs that a limit begins or ceases to refuse clients.
func (node *Node) logEpisode(episode inbound.Episode) {
	level, message := slog.LevelWarn, "gateway: a limit refuses clients."
	if episode.Ended {
		level, message = slog.LevelInfo, "gateway: a limit refuses no clients any more."
	}
	node.logger.Log(context.Background(), level, message, "Address", episode.Address, "Limit", string(episode.Limit), "Refused", episode.Refused, "Hosts", episode.Hosts)
}
