package gateway

import (
	"net/http"
	"time"

	"hazelslip/internal/serve/inbound"
)

const (
	// headerTimeout bounds reading a request header.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is how long an idle caller connection is kept. It is longer than any caller keeps
	// one, so that the caller closes the connection and no request arrives on a connection that is being
	// closed.
	callerIdleTimeout = 5 * time.Minute
	// detourHeaderBytes is how much longer the head of a detoured request may be than its caller's. It holds what the
	// sending node has read ahead and the state that it adds.
	detourHeaderBytes = 8 << 10
)

// newServers creates the HTTP servers of the node, whose listeners bound what clients may send.
func (node *Node) newServers() {
	if node.memory.Limited() {
		node.listeners[0] = newCallerListener(node.listeners[0])
		if node.detours.enabled() {
			node.detours.listener = newCallerListener(node.detours.listener)
		}
	}
	node.listeners[0] = node.inbound.Listen(node.listeners[0], node.callerLimits)
	node.callerServer = newServer(node.forwarder, callerIdleTimeout)
	if node.detours.enabled() {
		node.detours.listener = node.inbound.Listen(node.detours.listener, node.detourLimits)
		node.detours.server = newServer(node.forwarder.DetourHandler(), detourIdleTimeout)
	}
	node.listeners[1] = node.inbound.Listen(node.listeners[1], defaultLimits)
	node.readinessServer = newServer(http.HandlerFunc(node.serveReadiness), callerIdleTimeout)
	if len(node.listeners) > 3 {
		node.listeners[3] = node.inbound.Listen(node.listeners[3], defaultLimits)
	}
	node.operatorServer = newServer(node.operatorHandler(), callerIdleTimeout)
}

func newServer(handler http.Handler, idleTimeout time.Duration) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: inbound.TrackState, ErrorLog: discardLogger()}
}

// defaultLimits are the limits at addresses that are not for callers. The operator's limits don't apply there, so that
// a mistake in them doesn't keep the operator out.
func defaultLimits() inbound.Limits {
	return inbound.Limits{MaxHeaderBytes: inbound.DefaultMaxHeaderBytes}
}

// callerLimits are the operator's limits in force.
func (node *Node) callerLimits() inbound.Limits {
	return inbound.Limits{MaxHeaderBytes: node.configuration.Load().Configuration.Limits.MaxHeaderBytes}
}

// detourLimits are the limits for other nodes, which forward what callers may send.
func (node *Node) detourLimits() inbound.Limits {
	limits := node.callerLimits()
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = inbound.DefaultMaxHeaderBytes
	}
	limits.MaxHeaderBytes += detourHeaderBytes
	return limits
}
