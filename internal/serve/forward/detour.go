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

// A request whose servers this node doesn't reach goes on through another node, once: the other one serves it as
// if the caller had come there, and sends it no further. The head of the request tells, beside what the
// caller wrote, what has become of it so far; the head of the answer tells whether that is a server's, and what has become
// of the request at the other node. This file is the first node's part, inward.go the other one's.

// headerDetour carries what two nodes tell each other of a request. It never reaches a caller or a server.
const headerDetour = "Hazelslip-Detour"

// The names of what is told.
const (
	fieldSender   = "Sender"
	fieldVersion  = "ConfigurationVersion"
	fieldKey      = "KeyDigest"
	fieldRuns     = "Runs"
	fieldGoesOn   = "GoesOn"
	fieldCounted  = "Counted"
	fieldResult   = "Result"
	fieldOutcome  = "Outcome"
	fieldCause    = "Cause"
	fieldArrivals = "Arrivals"
)

// result is what the answer of another node is.
type result string

const (
	// resultServer: a server's answer, as it came.
	resultServer result = "Server"
	// resultNotRun: the request has not run there and never will.
	resultNotRun result = "NotRun"
	// resultDenied: the request is wrong in itself.
	resultDenied result = "Denied"
	// resultMayHaveRun: the request may have run, and there is no answer of a server.
	resultMayHaveRun result = "MayHaveRun"
)

const (
	// detoursMost bounds the requests of other nodes that a node has under way: each takes two connections.
	detoursMost = 1024
	// versionWait is how long a request waits for the configuration that its sender has.
	versionWait = 200 * time.Millisecond
	// detourWait is how long a request waits until a node is known that it can go through, and
	// detourPart the part of its time that this may be, as a divisor.
	detourWait = 300 * time.Millisecond
	detourPart = 4
	// detourTries is through how many nodes a request is sent that none has taken.
	detourTries = 5
)

// Why a request of another node isn't taken, beside what callers are refused for.
const (
	// Behind: the node doesn't have the configuration that the sender has.
	Behind Outcome = "Behind"
	// Busy: it has as many requests of other nodes as it takes.
	Busy Outcome = "Busy"
)

// goesOn says whether the caller has a part of the answer.
func (exchange *exchange) goesOn() bool {
	return exchange.begun || (exchange.inward != nil && exchange.inward.GoesOn)
}

// reachedOnly says whether servers that this node doesn't reach are left to other nodes.
func (exchange *exchange) reachedOnly() bool {
	return exchange.inward != nil || (exchange.forwarder.Detours != nil && !exchange.straight)
}

// mayDetour says whether the request may go through another node.
func (exchange *exchange) mayDetour() bool {
	return exchange.inward == nil && exchange.forwarder.Detours != nil
}

// detour sends the request through other nodes, one after the other, as long as none took it. Serve
// passes on the answer of the one that did. It returns whether the request has ended, and whether it reached a server, so
// that sending it once more is a repeat.
func (exchange *exchange) detour(serve func(leg *leg) bool) (ended, sent bool) {
	for range detourTries {
		peer, found := exchange.choosePeer()
		if !found || exchange.left() <= leastLeft || exchange.gone() {
			break
		}
		before := exchange.arrivals
		leg := exchange.attemptVia(peer)
		if leg.Reply != nil {
			ended, sent = exchange.takeReply(leg, serve)
		} else {
			leg.end()
			sent = exchange.arrivals > before
		}
		if ended || sent {
			return ended, sent
		}
	}
	exchange.straight = true
	return false, false
}

// choosePeer returns a node that reaches the request's service. Where none is known as yet it waits a
// moment: nodes are asked as soon as a way is doubted.
func (exchange *exchange) choosePeer() (*detour.Peer, bool) {
	until := exchange.forwarder.Now() + min(detourWait, exchange.left()/detourPart)
	for {
		lost := exchange.forwarder.Board.Ways().Lost(true)
		peer, found := exchange.forwarder.Detours.Choose(exchange.service, lost, exchange.excludePeers)
		if found || len(exchange.excludePeers) > 0 || len(lost) == 0 || exchange.forwarder.Detours.Knows() || exchange.forwarder.Now() >= until || exchange.gone() {
			return peer, found
		}
		exchange.forwarder.DetourWanted()
		time.Sleep(waitStep)
	}
}

// attemptVia sends the request to another node and reads the head of its answer.
func (exchange *exchange) attemptVia(peer *detour.Peer) *leg {
	forwarder := exchange.forwarder
	exchange.via = peer.Address
	exchange.excludePeers = append(exchange.excludePeers, peer.Address)
	exchange.last = dispatched{taken: peer.Taken()}
	leg := exchange.newLeg(peer.Target, exchange.peerPatience())
	leg.peer = peer
	call := exchange.newCall(peer.Target)
	call.Server, call.Workspace = "", ""
	call.Header = call.Header.Clone()
	call.Header.Set(headerDetour, (&inward{
		Sender: forwarder.Name, Version: exchange.snapshot.Configuration.Version, KeyDigest: configuration.KeyDigest(exchange.request.Key),
		Runs: exchange.runs, GoesOn: exchange.begun, Counted: exchange.asked,
	}).encode())
	call.SetCancel = leg.ender.set
	call.Admit = func() error {
		if leg.ender.over() {
			return errGivenUp
		}
		return nil
	}
	forwarder.Counts.DetoursSent.Add(1)
	reply, err := forwarder.DetourPool.Send(call)
	if err == nil {
		leg.Reply = reply
		return leg
	}
	exchange.cause = "node " + peer.Address + ": " + err.Error()
	if !exchange.gone() {
		forwarder.Detours.Failed(peer.Address)
		forwarder.DetourPool.CloseIdle(peer.Address)
	}
	if !errors.Is(err, backendserver.ErrNotSent) {
		exchange.arrivals++
		exchange.ran()
	}
	return leg
}

// peerPatience is how long another node is waited for: as long as it waits for two servers where the call may run
// twice.
func (exchange *exchange) peerPatience() time.Duration {
	if exchange.route.Kind == configuration.Idempotent {
		return min(exchange.left(), 2*exchange.patience())
	}
	return exchange.left()
}

// takeReply takes the answer of another node.
func (exchange *exchange) takeReply(leg *leg, serve func(leg *leg) bool) (ended, sent bool) {
	before := exchange.arrivals
	told, err := url.ParseQuery(leg.Header.Get(headerDetour))
	if err != nil {
		told = url.Values{}
	}
	leg.Header.Del(headerDetour)
	exchange.takeTold(leg, told)
	outcome := Outcome(told.Get(fieldOutcome))
	exchange.cause = "node " + leg.peer.Address + ": " + told.Get(fieldCause)
	switch result(told.Get(fieldResult)) {
	case resultServer:
		return serve(leg), true
	case resultNotRun:
		again := leg.Header.Get("Retry-After")
		exchange.discard(leg)
		if outcome == Unreached || outcome == NoServer {
			exchange.forwarder.Detours.Lacks(leg.peer.Address, exchange.service, exchange.forwarder.Board.Ways().Lost(true))
		}
		if exchange.begun || exchange.mayHaveRun || elsewhere(outcome) {
			return false, exchange.arrivals > before
		}
		exchange.outcome = outcome
		if exchange.route.Kind == configuration.Streaming {
			exchange.countRefused()
		}
		exchange.refuseAsTold(again)
		return true, false
	case resultDenied:
		status := leg.Status
		exchange.discard(leg)
		if exchange.begun || exchange.mayHaveRun {
			return false, false
		}
		exchange.deny(status, outcome, exchange.cause)
		return true, false
	}
	leg.end()
	exchange.outcome = outcome
	exchange.mayHaveRun = true
	return false, true
}

// elsewhere says whether another node may take a request that one refused for a reason.
func elsewhere(outcome Outcome) bool {
	switch outcome {
	case Behind, Busy, Unreached, NoServer, NoConfiguration, OutOfMemory:
		return true
	}
	return false
}

// discard reads what is left of a short answer, so that its connection can be used again.
func (exchange *exchange) discard(leg *leg) {
	_, _ = io.Copy(io.Discard, io.LimitReader(leg, copyBuffer))
	leg.end()
}

// refuseAsTold refuses the request with the time to return that the other node named.
func (exchange *exchange) refuseAsTold(again string) {
	seconds, err := strconv.ParseFloat(again, 64)
	if err != nil {
		exchange.refuse(exchange.outcome, retryNone, exchange.cause)
		return
	}
	exchange.notBefore = time.Duration(seconds * float64(time.Second))
	exchange.refuse(exchange.outcome, 0, exchange.cause)
}

// takeTold takes what the other node told of the request and of itself.
func (exchange *exchange) takeTold(leg *leg, told url.Values) {
	version, err := strconv.ParseInt(told.Get(fieldVersion), 10, 64)
	if err == nil && version > exchange.snapshot.Configuration.Version {
		exchange.forwarder.NewerAt(leg.peer.Peer, version)
	}
	if runs, err := strconv.Atoi(told.Get(fieldRuns)); err == nil {
		exchange.runs = max(exchange.runs, runs)
	}
	if arrivals, err := strconv.Atoi(told.Get(fieldArrivals)); err == nil {
		exchange.arrivals += max(0, arrivals)
	}
}
