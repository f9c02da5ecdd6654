package gateway

import (
	"cmp"
	"slices"
	"time"

	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/wire/frame"
)

// permitState is what was sent over one link about rate limits and their permits.
type permitState struct {
	// neighbour identifies the other end of the link as a lender or borrower of permits.
	neighbour ratelimit.Neighbour
	// pendingLimits are the limits to send with the next frame. sentClaims and sentLoans hold the claims and
	// loans as last sent.
	pendingLimits map[ratelimit.Run]struct{}
	sentClaims    map[ratelimit.Run]ratelimit.Claim
	sentLoans     map[ratelimit.Run]ratelimit.Loan
}

func newPermitState(neighbour ratelimit.Neighbour, limits []ratelimit.Limit) permitState {
	state := permitState{
		neighbour: neighbour, pendingLimits: map[ratelimit.Run]struct{}{},
		sentClaims: map[ratelimit.Run]ratelimit.Claim{}, sentLoans: map[ratelimit.Run]ratelimit.Loan{},
	}
	for _, limit := range limits {
		state.pendingLimits[limit.Run] = struct{}{}
	}
	return state
}

// announceLimit sends a limit that this node learned to all linked nodes.
func (node *Node) announceLimit(run ratelimit.Run) {
	node.peers.queueLimit(run, func(*overlay.Link) bool { return true })
	node.refreshPermits()
}

// refreshPermits updates the permits that this node holds, borrows and lends.
func (node *Node) refreshPermits() {
	if node.limits.Any() {
		node.peers.sendNow(node.limits.Refresh(node.peers.permitSources()))
	}
}

// limitSendInterval is the minimum interval between limits that are sent immediately, since a server may
// state another limit with each response. Limits in between go out with the next regular frame.
const limitSendInterval = 20 * time.Millisecond

// queueLimit queues a limit for the matching links, and sends it immediately unless another limit was sent
// within limitSendInterval.
func (peers *peers) queueLimit(run ratelimit.Run, match func(link *overlay.Link) bool) {
	now := peers.node.now()
	peers.mu.Lock()
	for link, state := range peers.linkStates {
		if match(link) {
			state.permits.pendingLimits[run] = struct{}{}
		}
	}
	immediately := now-peers.limitsSentAt >= limitSendInterval
	if immediately {
		peers.limitsSentAt = now
	}
	peers.mu.Unlock()
	if immediately {
		peers.overlay.SendNow(match)
	}
}

// sendNow sends frames immediately to some neighbours.
func (peers *peers) sendNow(neighbours []ratelimit.Neighbour) {
	if len(neighbours) == 0 {
		return
	}
	links := map[*overlay.Link]struct{}{}
	peers.mu.Lock()
	for link, state := range peers.linkStates {
		if slices.Contains(neighbours, state.permits.neighbour) {
			links[link] = struct{}{}
		}
	}
	peers.mu.Unlock()
	peers.overlay.SendNow(func(link *overlay.Link) bool { _, found := links[link]; return found })
}

// rootNode is the root of a data centre. Its neighbour is the link to it, or ratelimit.Self for this node.
type rootNode struct {
	dataCentre  string
	incarnation uint64
	neighbour   ratelimit.Neighbour
}

// permitSources returns a function that tells where this node gets the permits of each server from. A leaf or
// a relay borrows them from its upstream node. A root borrows them from the root that issues the server's
// permits, or issues them itself.
func (peers *peers) permitSources() func(run ratelimit.Run) ratelimit.PermitSource {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.overlay.Role() != overlay.Root {
		lender := ratelimit.Self
		if state := peers.linkStates[peers.overlay.Upstream()]; state != nil {
			lender = state.permits.neighbour
		}
		return func(ratelimit.Run) ratelimit.PermitSource { return ratelimit.PermitSource{Lender: lender} }
	}
	self := rootNode{dataCentre: peers.node.settings.DataCentre, incarnation: peers.node.Incarnation}
	roots := []rootNode{self}
	for link, state := range peers.linkStates {
		if link.Purpose == frame.Purpose_Root {
			roots = append(roots, rootNode{dataCentre: link.Remote.DataCentre, incarnation: link.Incarnation, neighbour: state.permits.neighbour})
		}
	}
	slices.SortFunc(roots, func(a, b rootNode) int { return cmp.Compare(a.incarnation, b.incarnation) })
	fraction := min(1, float64(peers.totalsLocked().fleetNodes)/float64(peers.budgetNodes()))
	dataCentres := peers.node.board.ServerRuns()
	return func(run ratelimit.Run) ratelimit.PermitSource {
		issuer := issuingRoot(run, dataCentres[run], roots)
		if issuer.neighbour == ratelimit.Self {
			return ratelimit.PermitSource{Issuer: true, Share: fraction}
		}
		return ratelimit.PermitSource{Lender: issuer.neighbour}
	}
}

// issuingRoot returns the root that issues a server's permits: the root of the server's data centre, or, if
// there is none, a root on which all nodes agree by rendezvous hashing.
func issuingRoot(run ratelimit.Run, dataCentre string, roots []rootNode) rootNode {
	incarnations := make([]uint64, 0, len(roots))
	for _, root := range roots {
		if root.dataCentre == dataCentre {
			return root
		}
		incarnations = append(incarnations, root.incarnation)
	}
	chosen, _ := rendezvous.Pick(run.Server, incarnations)
	return roots[slices.Index(incarnations, chosen)]
}

// addPermits adds the limits, claims and loans that the other side of a link lacks, and reports whether there
// are any.
func (peers *peers) addPermits(message *frame.Frame, state *linkState) bool {
	permits := &state.permits
	limits := peers.node.limits
	if len(permits.pendingLimits) > 0 {
		message.Limits = limitsToWire(limits, permits.pendingLimits, peers.node.now())
		clear(permits.pendingLimits)
	}
	if !limits.Any() {
		clear(permits.sentClaims)
		clear(permits.sentLoans)
		return len(message.Limits) > 0
	}
	for _, claim := range limits.Claims(permits.neighbour) {
		if sent, known := permits.sentClaims[claim.Run]; !known || sent != claim {
			permits.sentClaims[claim.Run] = claim
			message.Claims = append(message.Claims, claimToWire(&claim))
		}
	}
	for _, loan := range limits.Loans(permits.neighbour) {
		if sent, known := permits.sentLoans[loan.Run]; !known || sent != loan {
			permits.sentLoans[loan.Run] = loan
			message.Loans = append(message.Loans, loanToWire(&loan))
		}
	}
	return len(message.Limits)+len(message.Claims)+len(message.Loans) > 0
}

// handlePermits applies the limits, claims and loans that another node sent.
func (peers *peers) handlePermits(link *overlay.Link, received *frame.Frame) {
	for _, limit := range received.Limits {
		peers.handleLimit(link, limit)
	}
	if len(received.Claims)+len(received.Loans) == 0 {
		return
	}
	peers.mu.Lock()
	neighbour := peers.linkStateLocked(link).permits.neighbour
	peers.mu.Unlock()
	for _, claim := range received.Claims {
		peers.handleLimit(link, &frame.ServerLimit{Server: claim.Server, Born: claim.Born, Rate: claim.Rate, Version: claim.Version})
	}
	sources := peers.permitSources()
	limits := peers.node.limits
	peers.sendNow(limits.ApplyClaims(neighbour, claimsFromWire(received.Claims), sources))
	peers.sendNow(limits.ApplyLoans(neighbour, loansFromWire(received.Loans), sources))
}

// handleLimit merges a limit that another node sent, and forwards it if it is new. If the other node has an
// older limit, the current one is sent back to it.
func (peers *peers) handleLimit(link *overlay.Link, received *frame.ServerLimit) {
	node := peers.node
	age := time.Duration(received.AgeMs) * time.Millisecond
	run := ratelimit.Run{Server: received.Server, Born: received.Born}
	previous, known := node.limits.Limit(run)
	limit := ratelimit.Limit{Run: run, Rate: received.Rate, Version: received.Version, Ended: received.Ended, At: node.now() - age}
	switch node.limits.Merge(limit) {
	case ratelimit.AlreadyKnown:
		return
	case ratelimit.Stale:
		peers.queueLimit(run, func(other *overlay.Link) bool { return other == link })
		return
	}
	if !known || limit.WorthLogging(&previous) {
		node.logger.Info("gateway: another node reported a server's rate limit.", "Server", received.Server, "Rate", received.Rate, "Ended", received.Ended,
			"AgeMilliseconds", received.AgeMs, "From", link.Remote.Address, "SentLately", node.limits.Gate(run).SentLately())
	}
	peers.queueLimit(run, func(other *overlay.Link) bool { return other != link })
	node.refreshPermits()
}

func limitsToWire(limits *ratelimit.Limits, runs map[ratelimit.Run]struct{}, now time.Duration) []*frame.ServerLimit {
	encoded := make([]*frame.ServerLimit, 0, len(runs))
	for run := range runs {
		if limit, known := limits.Lookup(run); known {
			encoded = append(encoded, &frame.ServerLimit{Server: run.Server, Born: run.Born, Rate: limit.Rate, Version: limit.Version, Ended: limit.Ended, AgeMs: cappedMilliseconds(now - limit.At)})
		}
	}
	return encoded
}

func claimToWire(claim *ratelimit.Claim) *frame.PermitClaim {
	return &frame.PermitClaim{
		Server: claim.Server, Born: claim.Born, Session: claim.Session, Used: claim.Used, Returned: claim.Returned,
		Rate: claim.Rate, Version: claim.Version, Borrower: claim.Borrower, Wanted: uint32(claim.Wanted), Waiting: uint32(claim.Waiting), SentFree: uint32(claim.SentFree),
	}
}

func claimsFromWire(encoded []*frame.PermitClaim) []ratelimit.Claim {
	claims := make([]ratelimit.Claim, 0, len(encoded))
	for _, claim := range encoded {
		claims = append(claims, ratelimit.Claim{
			Run: ratelimit.Run{Server: claim.Server, Born: claim.Born}, Session: claim.Session, Borrower: claim.Borrower,
			Used: claim.Used, Returned: claim.Returned, Wanted: int(claim.Wanted), Waiting: int(claim.Waiting), SentFree: int(claim.SentFree),
		})
	}
	return claims
}

func loanToWire(loan *ratelimit.Loan) *frame.PermitLoan {
	return &frame.PermitLoan{Server: loan.Server, Born: loan.Born, Session: loan.Session, Borrower: loan.Borrower, Lent: loan.Lent}
}

func loansFromWire(encoded []*frame.PermitLoan) []ratelimit.Loan {
	loans := make([]ratelimit.Loan, 0, len(encoded))
	for _, loan := range encoded {
		loans = append(loans, ratelimit.Loan{Run: ratelimit.Run{Server: loan.Server, Born: loan.Born}, Session: loan.Session, Borrower: loan.Borrower, Lent: loan.Lent})
	}
	return loans
}
