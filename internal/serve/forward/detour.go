package forward

import (
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/state/configuration"
)

// Detours: a request whose servers this node does not reach is sent through a peer node. The peer serves the
// request as if the caller had connected to the peer, and never sends the request to another node. The request
// head carries the request's state in addition to the caller's headers. The response head tells whether a server
// produced the response and what happened to the request on the peer. This file implements the sending node,
// detourorigin.go the receiving one.

// headerDetour carries the state of a detoured request between two nodes. It never reaches a caller or a server.
const headerDetour = "Hazelslip-Detour"

// Names of the values in headerDetour.
const (
	fieldSender          = "Sender"
	fieldVersion         = "ConfigurationVersion"
	fieldKeyDigest       = "KeyDigest"
	fieldRuns            = "Runs"
	fieldPartlyDelivered = "GoesOn"
	fieldDemandCounted   = "Counted"
	fieldResult          = "Result"
	fieldOutcome         = "Outcome"
	fieldCause           = "Cause"
	fieldSentAttempts    = "Arrivals"
)

// detourResult is the kind of response that a peer node returns.
type detourResult string

const (
	// resultServer: the response of a server, unchanged.
	resultServer detourResult = "Server"
	// resultNotRun: the request has not run on the peer's side and never will.
	resultNotRun detourResult = "NotRun"
	// resultDenied: the request is invalid or unauthorized.
	resultDenied detourResult = "Denied"
	// resultMayHaveRun: the request may have run, and there is no response of a server.
	resultMayHaveRun detourResult = "MayHaveRun"
)

const (
	// maxInboundDetours bounds the requests of peer nodes in progress. Each takes two connections.
	maxInboundDetours = 1024
	// configurationWait is how long a request waits for the configuration version of its sender.
	configurationWait = 200 * time.Millisecond
	// peerWait is how long a request waits until a peer is known that reaches its servers. peerWaitDivisor limits
	// the wait to a fraction of the request's time, as a divisor.
	peerWait        = 300 * time.Millisecond
	peerWaitDivisor = 4
	// maxPeersTried is the number of peers that a request is sent to until one accepts it.
	maxPeersTried = 5
)

// Outcomes of requests that a peer node rejects, in addition to the outcomes of callers' requests.
const (
	// Behind: the peer does not have the sender's configuration version.
	Behind Outcome = "Behind"
	// Busy: the peer has as many requests of other nodes in progress as it accepts.
	Busy Outcome = "Busy"
)

// partlyDelivered reports whether the caller already has a part of the response.
func (exchange *exchange) partlyDelivered() bool {
	return exchange.responseStarted || (exchange.origin != nil && exchange.origin.PartlyDelivered)
}

// reachedOnly reports whether only servers that this node reaches may be picked.
func (exchange *exchange) reachedOnly() bool {
	return exchange.origin != nil || (exchange.forwarder.Detours != nil && !exchange.ignoreReachability)
}

// mayDetour reports whether the request may be sent through a peer node.
func (exchange *exchange) mayDetour() bool {
	return exchange.origin == nil && exchange.forwarder.Detours != nil
}

// sendThroughPeers sends the request to peer nodes, one after the other, until one accepts it. serve relays the
// response of that peer. It returns whether the request has ended, and whether the request reached a server, so
// that sending it again is a retry.
func (exchange *exchange) sendThroughPeers(serve func(attempt *attempt) bool) (ended, sent bool) {
	for range maxPeersTried {
		peer, found := exchange.choosePeer()
		if !found || exchange.timeLeft() <= minTimeLeft || exchange.callerGone() {
			break
		}
		before := exchange.sentAttempts
		attempt := exchange.newPeerAttempt(peer)
		exchange.sendToPeer(attempt)
		if attempt.Reply != nil {
			ended, sent = exchange.handlePeerReply(attempt, serve)
		} else {
			attempt.release()
			sent = exchange.sentAttempts > before || exchange.second != nil
		}
		if ended || sent {
			return ended, sent
		}
	}
	exchange.ignoreReachability = true
	return false, false
}

// choosePeer returns a peer that reaches the request's service. If no peer is known yet it waits briefly: peers
// are queried as soon as a path is suspected.
func (exchange *exchange) choosePeer() (*detour.Peer, bool) {
	deadline := exchange.forwarder.Now() + min(peerWait, exchange.timeLeft()/peerWaitDivisor)
	for {
		lost := exchange.forwarder.Board.Paths().LostDestinations(true)
		peer, found := exchange.forwarder.Detours.Choose(exchange.service, lost, exchange.excludedPeers)
		if found || len(exchange.excludedPeers) > 0 || len(lost) == 0 || exchange.forwarder.Detours.QueriedRecently() || exchange.forwarder.Now() >= deadline || exchange.callerGone() {
			return peer, found
		}
		exchange.forwarder.RequestDetours()
		time.Sleep(pollInterval)
	}
}

// newPeerAttempt starts an attempt through a peer node.
func (exchange *exchange) newPeerAttempt(peer *detour.Peer) *attempt {
	exchange.lastPeer = peer.Address
	exchange.excludedPeers = append(exchange.excludedPeers, peer.Address)
	exchange.lastTarget = targetInfo{calls: peer.ActiveCalls()}
	attempt := exchange.newAttempt(peer.Target, exchange.timeLeft())
	attempt.peer = peer
	return attempt
}

// sendToPeer sends the request to the peer node of a new attempt and reads the head of the response.
func (exchange *exchange) sendToPeer(attempt *attempt) {
	forwarder, peer := exchange.forwarder, attempt.peer
	exchange.watchSlowness(attempt)
	call := exchange.buildCall(peer.Target)
	call.Server, call.Workspace = "", ""
	call.TimeLeft = exchange.peerTimeLeft()
	call.Header = call.Header.Clone()
	attempt.runsBefore = exchange.runs + attempt.openBeside()
	call.Header.Set(headerDetour, (&detourOrigin{
		Sender: forwarder.NodeName, Version: exchange.snapshot.Configuration.Version, KeyDigest: configuration.KeyDigest(exchange.request.Key),
		Runs: attempt.runsBefore, PartlyDelivered: exchange.responseStarted, DemandCounted: exchange.demandCounted,
	}).encode())
	call.SetCancel = attempt.canceler.setCancel
	call.Admit = func() error {
		if attempt.canceler.isCanceled() {
			return errCanceled
		}
		return nil
	}
	forwarder.Counts.DetoursSent.Add(1)
	reply, err := exchange.sendCall(attempt, forwarder.DetourPool, call)
	if err == nil {
		attempt.Reply = reply
		return
	}
	exchange.recordMove(attempt)
	exchange.cause = "node " + peer.Address + ": " + err.Error()
	if !exchange.callerGone() && !attempt.dropped {
		forwarder.Detours.RecordFailure(peer.Address)
		forwarder.DetourPool.CloseIdle(peer.Address)
	}
	if !errors.Is(err, backendserver.ErrNotSent) {
		exchange.sentAttempts++
		exchange.recordRun()
	}
}

// peerTimeLeft returns the caller's time for a peer node, which keeps its own margin. It is rounded up to the unit in
// which it is sent, so that the peer cuts no answer before this node does.
func (exchange *exchange) peerTimeLeft() time.Duration {
	left := exchange.computeDeadline(0) - exchange.forwarder.Now()
	return (left + time.Millisecond - 1).Truncate(time.Millisecond)
}

// handlePeerReply handles the response of a peer node.
func (exchange *exchange) handlePeerReply(attempt *attempt, serve func(attempt *attempt) bool) (ended, sent bool) {
	before := exchange.sentAttempts
	fields := exchange.takePeerState(attempt)
	outcome := Outcome(fields.Get(fieldOutcome))
	exchange.cause = "node " + attempt.peer.Address + ": " + fields.Get(fieldCause)
	result := detourResult(fields.Get(fieldResult))
	if result != resultServer && exchange.second != nil {
		// The second run decides how the request ends.
		attempt.release()
		return false, true
	}
	switch result {
	case resultServer:
		return serve(attempt), true
	case resultNotRun:
		retryAfter := attempt.Header.Get("Retry-After")
		exchange.discard(attempt)
		if outcome == Unreached || outcome == NoServer {
			exchange.forwarder.Detours.RecordLostPaths(attempt.peer.Address, exchange.service, exchange.forwarder.Board.Paths().LostDestinations(true))
		}
		if exchange.responseStarted || exchange.mayHaveRun || anotherPeerMayAccept(outcome) {
			return false, exchange.sentAttempts > before
		}
		exchange.outcome = outcome
		if exchange.route.Kind == configuration.Streaming {
			exchange.countRefusedDemand()
		}
		exchange.refuseWithRetryAfter(retryAfter)
		return true, false
	case resultDenied:
		status := attempt.Status
		exchange.discard(attempt)
		if exchange.responseStarted || exchange.mayHaveRun {
			return false, false
		}
		exchange.deny(status, outcome, exchange.cause)
		return true, false
	}
	attempt.release()
	exchange.outcome = outcome
	exchange.mayHaveRun = true
	return false, true
}

// takePeerState removes the state that a peer node returned from the head of the response, and applies it.
func (exchange *exchange) takePeerState(attempt *attempt) url.Values {
	fields, err := url.ParseQuery(attempt.Header.Get(headerDetour))
	if err != nil {
		fields = url.Values{}
	}
	attempt.Header.Del(headerDetour)
	exchange.applyPeerState(attempt, fields)
	return fields
}

// anotherPeerMayAccept reports whether another peer may accept a request that one peer refused with the given
// outcome.
func anotherPeerMayAccept(outcome Outcome) bool {
	switch outcome {
	case Behind, Busy, Unreached, NoServer, NoConfiguration, OutOfMemory, Stopping:
		return true
	}
	return false
}

// discard reads the rest of a short response, so that its connection can be reused.
func (exchange *exchange) discard(attempt *attempt) {
	_, _ = io.Copy(io.Discard, io.LimitReader(attempt, copyBufferSize))
	attempt.release()
}

// refuseWithRetryAfter refuses the request with the retry delay that the peer returned.
func (exchange *exchange) refuseWithRetryAfter(retryAfter string) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil {
		exchange.refuse(exchange.outcome, defaultRetryDelay, exchange.cause)
		return
	}
	exchange.earliestRetry = time.Duration(seconds * float64(time.Second))
	exchange.refuse(exchange.outcome, 0, exchange.cause)
}

// applyPeerState updates the request with the state that the peer returned, and reports a newer configuration
// version.
func (exchange *exchange) applyPeerState(attempt *attempt, fields url.Values) {
	version, err := strconv.ParseInt(fields.Get(fieldVersion), 10, 64)
	if err == nil && version > exchange.snapshot.Configuration.Version {
		exchange.forwarder.OnNewerVersion(attempt.peer.PeerAddress, version)
	}
	if runs, err := strconv.Atoi(fields.Get(fieldRuns)); err == nil {
		exchange.runs += max(0, runs-attempt.runsBefore)
	}
	if sentAttempts, err := strconv.Atoi(fields.Get(fieldSentAttempts)); err == nil {
		exchange.sentAttempts += max(0, sentAttempts)
	}
}
