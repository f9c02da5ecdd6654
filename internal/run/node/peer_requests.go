package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/fleet/member"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/peer/logservice"
	peer "hazelslip/internal/peer/node"
	"hazelslip/internal/peer/service"
	"hazelslip/internal/state/booking"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/wire/exchange"
	"hazelslip/internal/wire/record"
)

const (
	probeTimeout = 600 * time.Millisecond
	claimTimeout = 2 * time.Second
)

// withSender sets this node as the sender of the request and returns the request.
func (node *Node) withSender(request *exchange.Request) *exchange.Request {
	request.Incarnation = node.Incarnation
	return request
}

func (node *Node) hello() *exchange.Hello {
	_, _, address := node.Addresses()
	return &exchange.Hello{
		Incarnation: node.Incarnation, Name: node.settings.Name, DataCentre: node.settings.DataCentre,
		Region: node.settings.Region, Address: address,
	}
}

// handleRequest handles a request from another node and returns the reply.
func (node *Node) handleRequest(ctx context.Context, request *exchange.Request) *exchange.Reply {
	reply := &exchange.Reply{}
	switch kind := request.Kind.(type) {
	case *exchange.Request_Hello:
		// A node that cannot read the instance list still discovers its peers through their hello requests.
		node.members.AddAddresses([]member.Peer{{
			Address: kind.Hello.Address, Region: kind.Hello.Region, DataCentre: kind.Hello.DataCentre,
		}})
		reply.Kind = &exchange.Reply_Hello{Hello: node.hello()}
	case *exchange.Request_Pull:
		reply.Kind = &exchange.Reply_Pull{Pull: node.handlePull(kind.Pull)}
	case *exchange.Request_Fetch:
		reply = node.handleFetch(kind.Fetch)
	case *exchange.Request_Probe:
		reply.Kind = &exchange.Reply_Probe{Probe: node.handleProbe(ctx, kind.Probe)}
	case *exchange.Request_Append:
		reply.Kind = &exchange.Reply_Append{Append: node.handleAppend(kind.Append)}
	case *exchange.Request_Claim:
		reply.Kind = &exchange.Reply_Claim{Claim: node.handleClaim(kind.Claim)}
	case *exchange.Request_Call:
		reply.Kind = &exchange.Reply_Call{Call: node.handleCall(ctx, kind.Call)}
	case *exchange.Request_HandOver:
		reply.Kind = &exchange.Reply_HandOver{HandOver: node.handleHandOver(kind.HandOver)}
	default:
		reply.Failure = "this node does not know that kind of request"
	}
	reply.Incarnation = node.Incarnation
	return reply
}

func (node *Node) handlePull(pull *exchange.PullRequest) *exchange.PullReply {
	reply := &exchange.PullReply{Streams: node.streamPositions(), Stopping: node.stopping.Load()}
	if pull.WantGroups {
		reply.Groups = node.groupSummaries()
		return reply
	}
	reply.Listings = node.listReader.changedListings(pull.Listings)
	reply.Draining = node.groupController.Draining()
	heldVersions := map[string]*exchange.DomainVersion{}
	for _, version := range pull.Domains {
		heldVersions[version.FabricDomain] = version
	}
	now := node.now()
	for _, reading := range node.watcher.Readings() {
		reply.Domains = append(reply.Domains, domainReport(&reading, heldVersions[reading.FabricDomain], node.Incarnation, now))
	}
	for _, group := range node.router.OwnLoads() {
		reply.Sent = append(reply.Sent, &exchange.Sent{
			Group: group.Target.Number, Tokens: uint32(max(0, group.Outstanding)), Running: uint32(group.Running),
		})
	}
	return reply
}

// groupSummaries lists the groups that accept new work, for nodes of other data centres.
func (node *Node) groupSummaries() []*exchange.GroupSummary {
	now := node.now()
	summaries := []*exchange.GroupSummary{}
	for _, group := range node.groups.Load().AcceptingGroups(node.drainingGroups(now)) {
		summaries = append(summaries, &exchange.GroupSummary{
			Number: group.Number, Model: group.Model, Leader: group.Leader, Running: group.Running,
			QueuedTokens: group.QueuedTokens, TokensPerSecond: group.TokensPerSecond,
			PrefillPerSecond: group.PrefillPerSecond, Concurrency: group.Concurrency,
			AgeMs: milliseconds(now - group.ReadAt),
		})
	}
	return summaries
}

func (node *Node) handleFetch(fetch *exchange.FetchRequest) *exchange.Reply {
	follower, ok := node.findFollower(fetch.Stream)
	if !ok {
		return &exchange.Reply{Failure: "this node does not follow the stream " + fetch.Stream}
	}
	fetched, err := follower.Fetch(stream.FetchRequest{From: fetch.From, Snapshot: fetch.WantSnapshot}, int(min(fetch.Max, maxFetchRecords)))
	if err != nil {
		return &exchange.Reply{Failure: err.Error()}
	}
	reply := &exchange.FetchReply{Snapshot: fetched.Snapshot, SnapshotNext: fetched.SnapshotNext}
	for _, logged := range fetched.Records {
		reply.Records = append(reply.Records, &exchange.Record{Offset: logged.Offset, Body: logged.Body})
	}
	return &exchange.Reply{Kind: &exchange.Reply_Fetch{Fetch: reply}}
}

func (node *Node) handleProbe(ctx context.Context, probe *exchange.ProbeRequest) *exchange.ProbeReply {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := node.engines.Report(ctx, probe.Address)
	if err != nil {
		return &exchange.ProbeReply{}
	}
	return &exchange.ProbeReply{Report: toWireReport(report, 0)}
}

// probeViaPeer asks a live peer to fetch the report of a server that this node cannot reach. Peers that cannot be
// reached are skipped; the first reply is final.
func (node *Node) probeViaPeer(ctx context.Context, address string) (engine.Report, time.Duration, bool) {
	sentAt := node.now()
	for _, peerNode := range node.members.LocalPeers() {
		if peerNode.Incarnation == 0 || peerNode.Heard == 0 || sentAt-peerNode.Heard > pullInterval*3 {
			continue
		}
		reply, err := node.peers.Call(ctx, peerNode.Address, node.withSender(&exchange.Request{
			Kind: &exchange.Request_Probe{Probe: &exchange.ProbeRequest{Address: address}},
		}))
		if err == nil && reply.GetProbe().GetReport() != nil {
			return fromWireReport(reply.GetProbe().GetReport()), node.now() - sentAt, true
		}
		if err == nil {
			return engine.Report{}, 0, false
		}
	}
	return engine.Report{}, 0, false
}

// appendBatch appends a batch of booking records to the log.
func (node *Node) appendBatch(ctx context.Context, batch *record.BookingBatch) error {
	body, err := proto.Marshal(&record.BookingRecord{Kind: &record.BookingRecord_Batch{Batch: batch}})
	if err != nil {
		return err
	}
	_, err = node.streams[bookingStream].Append(ctx, body)
	return err
}

// relayBatch sends a batch to the node that appends for the whole data centre, so that the batches of many nodes are
// written in one append. A wrong choice of that node does no harm, because any node may append.
func (node *Node) relayBatch(ctx context.Context, batch *record.BookingBatch) error {
	writer := node.members.DutyOwner("append/bookings")
	address, ok := node.members.AddressOf(writer)
	if writer == node.Incarnation || !ok {
		return <-node.appendBatcher.Add(batch)
	}
	body, err := proto.Marshal(batch)
	if err != nil {
		return err
	}
	reply, err := node.peers.Call(ctx, address, node.withSender(&exchange.Request{
		Kind: &exchange.Request_Append{Append: &exchange.AppendRequest{Batch: body}},
	}))
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return <-node.appendBatcher.Add(batch)
	case err != nil:
		return errors.Mark(err, logservice.ErrUnknownOutcome)
	case reply.GetAppend().GetWritten():
		return nil
	case reply.GetAppend().GetFailure() == "":
		return errors.Mark(errors.New("peer did not confirm the append of the booking batch"), logservice.ErrUnknownOutcome)
	}
	return errors.Mark(errors.New(reply.GetAppend().GetFailure()), logservice.ErrNotWritten)
}

func (node *Node) handleAppend(request *exchange.AppendRequest) *exchange.AppendReply {
	batch := &record.BookingBatch{}
	if err := proto.Unmarshal(request.Batch, batch); err != nil {
		return &exchange.AppendReply{Failure: "the batch cannot be decoded"}
	}
	err := <-node.appendBatcher.Add(batch)
	switch {
	case err == nil:
		return &exchange.AppendReply{Written: true}
	case errors.Is(err, logservice.ErrNotWritten):
		return &exchange.AppendReply{Failure: err.Error()}
	}
	return &exchange.AppendReply{}
}

// queryClaimHolder asks the node that holds the claim on a key whether the call is running and what its outcome is.
func (node *Node) queryClaimHolder(ctx context.Context, incarnation uint64, key string) (booking.HolderReply, bool) {
	address, ok := node.members.AddressOf(incarnation)
	if !ok {
		return booking.HolderReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := node.peers.Call(ctx, address, node.withSender(&exchange.Request{
		Kind: &exchange.Request_Claim{Claim: &exchange.ClaimRequest{Key: key, Incarnation: incarnation}},
	}))
	if err != nil || !reply.GetClaim().GetKnown() {
		return booking.HolderReply{}, false
	}
	claim := reply.GetClaim()
	status := booking.HolderReply{Known: true, Running: claim.Running}
	if len(claim.Outcome) > 0 {
		status.Outcome = &record.Outcome{}
		if err := proto.Unmarshal(claim.Outcome, status.Outcome); err != nil {
			return booking.HolderReply{}, false
		}
	}
	return status, true
}

func (node *Node) handleClaim(claim *exchange.ClaimRequest) *exchange.ClaimReply {
	if claim.Incarnation != node.Incarnation {
		return &exchange.ClaimReply{}
	}
	status := node.bookings.ClaimStatus(claim.Key)
	reply := &exchange.ClaimReply{Known: true, Running: status.Running}
	if status.Outcome != nil {
		body, err := proto.Marshal(status.Outcome)
		if err != nil {
			return &exchange.ClaimReply{}
		}
		reply.Outcome = body
	}
	return reply
}

// forwardTicketCall forwards a call with a ticket to the node that issued the ticket, or to the peer that took over the
// issuer's ticket table. Without a reply it is not known whether the call was executed, so the outcome is Unknown.
func (node *Node) forwardTicketCall(ctx context.Context, name string, call service.Call, body []byte, key string, digest []byte) booking.Result {
	issuer, _ := booking.TicketIssuer(key)
	request := &exchange.CallRequest{Service: name, Method: call.Method, Path: call.Path + querySuffix(call), Body: body, Key: key, Digest: digest}
	for header, values := range call.Header {
		for _, value := range values {
			request.Headers = append(request.Headers, &exchange.CallHeader{Name: header, Value: value})
		}
	}
	unreachable := booking.Result{Outcome: outcome.Unknown, Cause: "the node that issued this ticket cannot be asked"}
	addresses := []string{}
	if address, ok := node.members.AddressOf(issuer); ok {
		addresses = append(addresses, address)
	}
	for _, peerNode := range node.members.LocalPeers() {
		addresses = append(addresses, peerNode.Address)
	}
	for _, address := range addresses {
		reply, err := node.peers.Call(ctx, address, node.withSender(&exchange.Request{Kind: &exchange.Request_Call{Call: request}}))
		if errors.Is(err, peer.ErrNotSent) || (err == nil && reply.GetCall().GetOutcome() == "") {
			continue
		}
		if err != nil {
			return unreachable
		}
		result := reply.GetCall()
		return booking.Result{
			Outcome: outcome.Outcome(result.Outcome), Status: int(result.Status),
			ContentType: result.ContentType, Body: result.Body, Cause: result.Cause,
			Replayed: result.Replayed, Conflict: result.Conflict,
		}
	}
	return unreachable
}

func querySuffix(call service.Call) string {
	if call.Query == "" {
		return ""
	}
	return "?" + call.Query
}

// handleCall executes a forwarded call if this node issued its ticket or has taken over the issuer's ticket table.
// Otherwise the reply has an empty outcome, and the sender tries another node.
func (node *Node) handleCall(ctx context.Context, request *exchange.CallRequest) *exchange.CallReply {
	issuer, ok := booking.TicketIssuer(request.Key)
	if !ok || (issuer != node.Incarnation && !node.bookings.Adopted(issuer)) {
		return &exchange.CallReply{}
	}
	call := service.Call{Method: request.Method, Path: request.Path, Header: http.Header{}}
	for _, header := range request.Headers {
		call.Header.Add(header.Name, header.Value)
	}
	result := node.callerServices.RunTicket(ctx, request.Service, call, request.Body, request.Key, request.Digest)
	return &exchange.CallReply{
		Outcome: string(result.Outcome), Status: uint32(result.Status), ContentType: result.ContentType,
		Body: result.Body, Cause: result.Cause, Replayed: result.Replayed, Conflict: result.Conflict,
	}
}

func (node *Node) handleHandOver(request *exchange.HandOver) *exchange.HandOverReply {
	if node.stopping.Load() {
		return &exchange.HandOverReply{}
	}
	outcomes := []*record.Outcome{}
	for _, body := range request.Outcomes {
		decoded := &record.Outcome{}
		if err := proto.Unmarshal(body, decoded); err != nil {
			return &exchange.HandOverReply{}
		}
		outcomes = append(outcomes, decoded)
	}
	node.bookings.Adopt(request.Incarnation, outcomes)
	return &exchange.HandOverReply{Taken: true}
}
