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

// request names this node as the sender.
func (node *Node) request(request *exchange.Request) *exchange.Request {
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

// answer answers a question of another node.
func (node *Node) answer(ctx context.Context, request *exchange.Request) *exchange.Reply {
	reply := &exchange.Reply{}
	switch kind := request.Kind.(type) {
	case *exchange.Request_Hello:
		// A node that cannot read the instance list still learns of its peers
		// by their hellos.
		node.members.Learn([]member.Peer{{
			Address: kind.Hello.Address, Region: kind.Hello.Region, DataCentre: kind.Hello.DataCentre,
		}})
		reply.Kind = &exchange.Reply_Hello{Hello: node.hello()}
	case *exchange.Request_Pull:
		reply.Kind = &exchange.Reply_Pull{Pull: node.answerPull(kind.Pull)}
	case *exchange.Request_Fetch:
		reply = node.answerFetch(kind.Fetch)
	case *exchange.Request_Probe:
		reply.Kind = &exchange.Reply_Probe{Probe: node.answerProbe(ctx, kind.Probe)}
	case *exchange.Request_Append:
		reply.Kind = &exchange.Reply_Append{Append: node.answerAppend(kind.Append)}
	case *exchange.Request_Claim:
		reply.Kind = &exchange.Reply_Claim{Claim: node.answerClaim(kind.Claim)}
	case *exchange.Request_Call:
		reply.Kind = &exchange.Reply_Call{Call: node.answerCall(ctx, kind.Call)}
	case *exchange.Request_HandOver:
		reply.Kind = &exchange.Reply_HandOver{HandOver: node.answerHandOver(kind.HandOver)}
	default:
		reply.Failure = "this node does not know that kind of request"
	}
	reply.Incarnation = node.Incarnation
	return reply
}

func (node *Node) answerPull(pull *exchange.PullRequest) *exchange.PullReply {
	reply := &exchange.PullReply{Streams: node.positions(), Stopping: node.stopping.Load()}
	if pull.WantGroups {
		reply.Groups = node.summaries()
		return reply
	}
	reply.Listings = node.lists.own(pull.Listings)
	reply.Draining = node.former.Draining()
	held := map[string]*exchange.DomainVersion{}
	for _, version := range pull.Domains {
		held[version.FabricDomain] = version
	}
	now := node.now()
	for _, reading := range node.watcher.Readings() {
		reply.Domains = append(reply.Domains, domainReport(&reading, held[reading.FabricDomain], node.Incarnation, now))
	}
	for _, group := range node.router.Sent() {
		reply.Sent = append(reply.Sent, &exchange.Sent{
			Group: group.Target.Number, Tokens: uint32(max(0, group.Outstanding)), Running: uint32(group.Running),
		})
	}
	return reply
}

// summaries lists the serving groups for another data centre.
func (node *Node) summaries() []*exchange.GroupSummary {
	now := node.now()
	summaries := []*exchange.GroupSummary{}
	for _, group := range node.groups.Load().Open(node.draining(now)) {
		summaries = append(summaries, &exchange.GroupSummary{
			Number: group.Number, Model: group.Model, Leader: group.Leader, Running: group.Running,
			QueuedTokens: group.QueuedTokens, TokensPerSecond: group.TokensPerSecond,
			PrefillPerSecond: group.PrefillPerSecond, Concurrency: group.Concurrency,
			AgeMs: milliseconds(now - group.ReadAt),
		})
	}
	return summaries
}

func (node *Node) answerFetch(fetch *exchange.FetchRequest) *exchange.Reply {
	follower, ok := node.stream(fetch.Stream)
	if !ok {
		return &exchange.Reply{Failure: "this node does not follow the stream " + fetch.Stream}
	}
	relayed, err := follower.Fetch(stream.Want{From: fetch.From, Snapshot: fetch.WantSnapshot}, int(min(fetch.Max, fetchRecords)))
	if err != nil {
		return &exchange.Reply{Failure: err.Error()}
	}
	reply := &exchange.FetchReply{Snapshot: relayed.Snapshot, SnapshotNext: relayed.SnapshotNext}
	for _, kept := range relayed.Records {
		reply.Records = append(reply.Records, &exchange.Record{Offset: kept.Offset, Body: kept.Body})
	}
	return &exchange.Reply{Kind: &exchange.Reply_Fetch{Fetch: reply}}
}

func (node *Node) answerProbe(ctx context.Context, probe *exchange.ProbeRequest) *exchange.ProbeReply {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := node.engines.Report(ctx, probe.Address)
	if err != nil {
		return &exchange.ProbeReply{}
	}
	return &exchange.ProbeReply{Report: toWire(report, 0)}
}

// probe asks one live peer to read a server that this node cannot reach.
func (node *Node) probe(ctx context.Context, address string) (engine.Report, time.Duration, bool) {
	sent := node.now()
	for _, known := range node.members.Local() {
		if known.Incarnation == 0 || known.Heard == 0 || sent-known.Heard > pullEvery*3 {
			continue
		}
		reply, err := node.peers.Call(ctx, known.Address, node.request(&exchange.Request{
			Kind: &exchange.Request_Probe{Probe: &exchange.ProbeRequest{Address: address}},
		}))
		if err == nil && reply.GetProbe().GetReport() != nil {
			return fromWire(reply.GetProbe().GetReport()), node.now() - sent, true
		}
		if err == nil {
			return engine.Report{}, 0, false
		}
	}
	return engine.Report{}, 0, false
}

// appendBatch writes a batch to the log.
func (node *Node) appendBatch(ctx context.Context, batch *record.BookingBatch) error {
	body, err := proto.Marshal(&record.BookingRecord{Kind: &record.BookingRecord_Batch{Batch: batch}})
	if err != nil {
		return err
	}
	_, err = node.streams[bookingStream].Append(ctx, body)
	return err
}

// relayBatch gives a batch to the node that writes for the data centre, so
// that the appends of many nodes become one. It need not be the right node:
// any node may append.
func (node *Node) relayBatch(ctx context.Context, batch *record.BookingBatch) error {
	home := node.members.Duty("append/bookings")
	address, ok := node.members.Find(home)
	if home == node.Incarnation || !ok {
		return <-node.appender.Add(batch)
	}
	body, err := proto.Marshal(batch)
	if err != nil {
		return err
	}
	reply, err := node.peers.Call(ctx, address, node.request(&exchange.Request{
		Kind: &exchange.Request_Append{Append: &exchange.AppendRequest{Batch: body}},
	}))
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return <-node.appender.Add(batch)
	case err != nil:
		return errors.Mark(err, logservice.ErrUnknownOutcome)
	case reply.GetAppend().GetWritten():
		return nil
	case reply.GetAppend().GetFailure() == "":
		return errors.Mark(errors.New("the peer did not append"), logservice.ErrUnknownOutcome)
	}
	return errors.Mark(errors.New(reply.GetAppend().GetFailure()), logservice.ErrNotWritten)
}

func (node *Node) answerAppend(request *exchange.AppendRequest) *exchange.AppendReply {
	batch := &record.BookingBatch{}
	if err := proto.Unmarshal(request.Batch, batch); err != nil {
		return &exchange.AppendReply{Failure: "the batch cannot be decoded"}
	}
	err := <-node.appender.Add(batch)
	switch {
	case err == nil:
		return &exchange.AppendReply{Written: true}
	case errors.Is(err, logservice.ErrNotWritten):
		return &exchange.AppendReply{Failure: err.Error()}
	}
	return &exchange.AppendReply{}
}

// askHolder asks the node that holds a claim.
func (node *Node) askHolder(ctx context.Context, incarnation uint64, key string) (booking.HolderReply, bool) {
	address, ok := node.members.Find(incarnation)
	if !ok {
		return booking.HolderReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := node.peers.Call(ctx, address, node.request(&exchange.Request{
		Kind: &exchange.Request_Claim{Claim: &exchange.ClaimRequest{Key: key, Incarnation: incarnation}},
	}))
	if err != nil || !reply.GetClaim().GetKnown() {
		return booking.HolderReply{}, false
	}
	claim := reply.GetClaim()
	held := booking.HolderReply{Known: true, Running: claim.Running}
	if len(claim.Outcome) > 0 {
		held.Outcome = &record.Outcome{}
		if err := proto.Unmarshal(claim.Outcome, held.Outcome); err != nil {
			return booking.HolderReply{}, false
		}
	}
	return held, true
}

func (node *Node) answerClaim(claim *exchange.ClaimRequest) *exchange.ClaimReply {
	if claim.Incarnation != node.Incarnation {
		return &exchange.ClaimReply{}
	}
	held := node.bookings.Holding(claim.Key)
	reply := &exchange.ClaimReply{Known: true, Running: held.Running}
	if held.Outcome != nil {
		body, err := proto.Marshal(held.Outcome)
		if err != nil {
			return &exchange.ClaimReply{}
		}
		reply.Outcome = body
	}
	return reply
}

// forwardTicket passes a call with a ticket to its issuer, or to the peer that
// has taken over the issuer's table. Whether it ran is known only from a reply.
func (node *Node) forwardTicket(ctx context.Context, name string, call service.Call, body []byte, key string, digest []byte) booking.Answer {
	issuer, _ := booking.TicketIssuer(key)
	request := &exchange.CallRequest{Service: name, Method: call.Method, Path: call.Path + query(call), Body: body, Key: key, Digest: digest}
	for header, values := range call.Header {
		for _, value := range values {
			request.Headers = append(request.Headers, &exchange.CallHeader{Name: header, Value: value})
		}
	}
	unknown := booking.Answer{Outcome: outcome.Unknown, Cause: "the node that issued this ticket cannot be asked"}
	addresses := []string{}
	if address, ok := node.members.Find(issuer); ok {
		addresses = append(addresses, address)
	}
	for _, known := range node.members.Local() {
		addresses = append(addresses, known.Address)
	}
	for _, address := range addresses {
		reply, err := node.peers.Call(ctx, address, node.request(&exchange.Request{Kind: &exchange.Request_Call{Call: request}}))
		if errors.Is(err, peer.ErrNotSent) || (err == nil && reply.GetCall().GetOutcome() == "") {
			continue
		}
		if err != nil {
			return unknown
		}
		answered := reply.GetCall()
		return booking.Answer{
			Outcome: outcome.Outcome(answered.Outcome), Status: int(answered.Status),
			ContentType: answered.ContentType, Body: answered.Body, Cause: answered.Cause,
			Replayed: answered.Replayed, Conflict: answered.Conflict,
		}
	}
	return unknown
}

func query(call service.Call) string {
	if call.Query == "" {
		return ""
	}
	return "?" + call.Query
}

// answerCall runs a forwarded call under a ticket that this node answers for.
// A node that does not answer for it says nothing.
func (node *Node) answerCall(ctx context.Context, request *exchange.CallRequest) *exchange.CallReply {
	issuer, ok := booking.TicketIssuer(request.Key)
	if !ok || (issuer != node.Incarnation && !node.bookings.Adopted(issuer)) {
		return &exchange.CallReply{}
	}
	call := service.Call{Method: request.Method, Path: request.Path, Header: http.Header{}}
	for _, header := range request.Headers {
		call.Header.Add(header.Name, header.Value)
	}
	answer := node.calls.RunTicket(ctx, request.Service, call, request.Body, request.Key, request.Digest)
	return &exchange.CallReply{
		Outcome: string(answer.Outcome), Status: uint32(answer.Status), ContentType: answer.ContentType,
		Body: answer.Body, Cause: answer.Cause, Replayed: answer.Replayed, Conflict: answer.Conflict,
	}
}

func (node *Node) answerHandOver(request *exchange.HandOver) *exchange.HandOverReply {
	if node.stopping.Load() {
		return &exchange.HandOverReply{}
	}
	ended := []*record.Outcome{}
	for _, body := range request.Outcomes {
		kept := &record.Outcome{}
		if err := proto.Unmarshal(body, kept); err != nil {
			return &exchange.HandOverReply{}
		}
		ended = append(ended, kept)
	}
	node.bookings.Adopt(request.Incarnation, ended)
	return &exchange.HandOverReply{Taken: true}
}
