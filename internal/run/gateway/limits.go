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

// permits is what was told over one link of limits and their permits.
type permits struct {
	// number names the link's other end among those that permits are borrowed from and
	// lent to.
	number ratelimit.Neighbour
	// limits are to be told with the next frame, claims and loans as they were told last.
	limits map[ratelimit.Run]struct{}
	claims map[ratelimit.Run]ratelimit.Claim
	loans  map[ratelimit.Run]ratelimit.Loan
}

func newPermits(number ratelimit.Neighbour, limits []ratelimit.Limit) permits {
	permits := permits{
		number: number, limits: map[ratelimit.Run]struct{}{},
		claims: map[ratelimit.Run]ratelimit.Claim{}, loans: map[ratelimit.Run]ratelimit.Loan{},
	}
	for _, limit := range limits {
		permits.limits[limit.Run] = struct{}{}
	}
	return permits
}

// limitNews makes known what this node learnt of a limit.
func (node *Node) limitNews(run ratelimit.Run) {
	node.peers.tellLimit(run, func(*overlay.Link) bool { return true })
	node.refreshPermits()
}

// refreshPermits brings the permits up to now.
func (node *Node) refreshPermits() {
	if node.limits.Any() {
		node.peers.hasten(node.limits.Refresh(node.peers.duties()))
	}
}

// limitPause is the least time between two limits that are told at once: a server may name
// another one with each answer.
const limitPause = 20 * time.Millisecond

// tellLimit tells what is known of a limit over some links, at once if none was told so just
// before.
func (peers *peers) tellLimit(run ratelimit.Run, over func(link *overlay.Link) bool) {
	now := peers.node.now()
	peers.mu.Lock()
	for link, channel := range peers.channels {
		if over(link) {
			channel.permits.limits[run] = struct{}{}
		}
	}
	due := now-peers.limitToldAt >= limitPause
	if due {
		peers.limitToldAt = now
	}
	peers.mu.Unlock()
	if due {
		peers.overlay.SendNow(over)
	}
}

// hasten sends frames at once to some neighbours.
func (peers *peers) hasten(neighbours []ratelimit.Neighbour) {
	if len(neighbours) == 0 {
		return
	}
	links := map[*overlay.Link]struct{}{}
	peers.mu.Lock()
	for link, channel := range peers.channels {
		if slices.Contains(neighbours, channel.permits.number) {
			links[link] = struct{}{}
		}
	}
	peers.mu.Unlock()
	peers.overlay.SendNow(func(link *overlay.Link) bool { _, due := links[link]; return due })
}

// root is a node that speaks for a data centre, by the link to it; Self is this node.
type root struct {
	dataCentre  string
	incarnation uint64
	neighbour   ratelimit.Neighbour
}

// duties returns where this node gets the permits of each server from: a leaf or a relay
// from the node above, a root from the one of the server's data centre.
func (peers *peers) duties() func(run ratelimit.Run) ratelimit.Duty {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.overlay.Role() != overlay.Root {
		lender := ratelimit.Self
		if channel := peers.channels[peers.overlay.Upstream()]; channel != nil {
			lender = channel.permits.number
		}
		return func(ratelimit.Run) ratelimit.Duty { return ratelimit.Duty{Lender: lender} }
	}
	self := root{dataCentre: peers.node.settings.DataCentre, incarnation: peers.node.Incarnation}
	roots := []root{self}
	for link, channel := range peers.channels {
		if link.Purpose == frame.Purpose_Root {
			roots = append(roots, root{dataCentre: link.Remote.DataCentre, incarnation: link.Incarnation, neighbour: channel.permits.number})
		}
	}
	slices.SortFunc(roots, func(one, other root) int { return cmp.Compare(one.incarnation, other.incarnation) })
	part := min(1, float64(peers.sumsLocked().nodes)/float64(peers.nodes()))
	places := peers.node.board.ServerRuns()
	return func(run ratelimit.Run) ratelimit.Duty {
		home := homeOf(run, places[run], roots)
		if home.neighbour == ratelimit.Self {
			return ratelimit.Duty{Home: true, Part: part}
		}
		return ratelimit.Duty{Lender: home.neighbour}
	}
}

// homeOf returns the root that issues a server's permits: the one of its data centre, or
// the same one of the others for all of them.
func homeOf(run ratelimit.Run, dataCentre string, roots []root) root {
	incarnations := make([]uint64, 0, len(roots))
	for _, root := range roots {
		if root.dataCentre == dataCentre {
			return root
		}
		incarnations = append(incarnations, root.incarnation)
	}
	home, _ := rendezvous.Pick(run.Server, incarnations)
	return roots[slices.Index(incarnations, home)]
}

// addPermits tells what the other side of a link lacks of limits and permits, and says
// whether that is anything.
func (peers *peers) addPermits(told *frame.Frame, channel *channel) bool {
	permits := &channel.permits
	limits := peers.node.limits
	if len(permits.limits) > 0 {
		told.Limits = limitsToWire(limits, permits.limits, peers.node.now())
		clear(permits.limits)
	}
	if !limits.Any() {
		clear(permits.claims)
		clear(permits.loans)
		return len(told.Limits) > 0
	}
	for _, claim := range limits.Claims(permits.number) {
		if before, known := permits.claims[claim.Run]; !known || before != claim {
			permits.claims[claim.Run] = claim
			told.Claims = append(told.Claims, claimToWire(&claim))
		}
	}
	for _, loan := range limits.Loans(permits.number) {
		if before, known := permits.loans[loan.Run]; !known || before != loan {
			permits.loans[loan.Run] = loan
			told.Loans = append(told.Loans, loanToWire(&loan))
		}
	}
	return len(told.Limits)+len(told.Claims)+len(told.Loans) > 0
}

// takePermits takes what another node tells of limits and permits.
func (peers *peers) takePermits(link *overlay.Link, received *frame.Frame) {
	for _, told := range received.Limits {
		peers.takeLimit(link, told)
	}
	if len(received.Claims)+len(received.Loans) == 0 {
		return
	}
	peers.mu.Lock()
	number := peers.channel(link).permits.number
	peers.mu.Unlock()
	for _, claim := range received.Claims {
		peers.takeLimit(link, &frame.ServerLimit{Server: claim.Server, Born: claim.Born, Rate: claim.Rate, Version: claim.Version})
	}
	duties := peers.duties()
	limits := peers.node.limits
	peers.hasten(limits.TakeClaims(number, claimsFromWire(received.Claims), duties))
	peers.hasten(limits.TakeLoans(number, loansFromWire(received.Loans), duties))
}

// takeLimit takes a limit that another node knows, and passes on what is news.
func (peers *peers) takeLimit(link *overlay.Link, told *frame.ServerLimit) {
	node := peers.node
	age := time.Duration(told.AgeMs) * time.Millisecond
	run := ratelimit.Run{Server: told.Server, Born: told.Born}
	before, known := node.limits.Limit(run)
	limit := ratelimit.Limit{Run: run, Rate: told.Rate, Version: told.Version, Ended: told.Ended, At: node.now() - age}
	switch node.limits.Take(limit) {
	case ratelimit.Same:
		return
	case ratelimit.Old:
		peers.tellLimit(run, func(other *overlay.Link) bool { return other == link })
		return
	}
	if !known || limit.Differs(&before) {
		node.logger.Info("gateway: a limit was told.", "Server", told.Server, "Rate", told.Rate, "Ended", told.Ended,
			"AgeMilliseconds", told.AgeMs, "From", link.Remote.Address, "SentLately", node.limits.Gate(run).SentLately())
	}
	peers.tellLimit(run, func(other *overlay.Link) bool { return other != link })
	node.refreshPermits()
}

func limitsToWire(limits *ratelimit.Limits, runs map[ratelimit.Run]struct{}, now time.Duration) []*frame.ServerLimit {
	told := make([]*frame.ServerLimit, 0, len(runs))
	for run := range runs {
		if limit, known := limits.Known(run); known {
			told = append(told, &frame.ServerLimit{Server: run.Server, Born: run.Born, Rate: limit.Rate, Version: limit.Version, Ended: limit.Ended, AgeMs: milliseconds(now - limit.At)})
		}
	}
	return told
}

func claimToWire(claim *ratelimit.Claim) *frame.PermitClaim {
	return &frame.PermitClaim{
		Server: claim.Server, Born: claim.Born, Session: claim.Session, Used: claim.Used, Returned: claim.Returned,
		Rate: claim.Rate, Version: claim.Version, Borrower: claim.Borrower, Wanted: uint32(claim.Wanted), Waiting: uint32(claim.Waiting), SentFree: uint32(claim.SentFree),
	}
}

func claimsFromWire(told []*frame.PermitClaim) []ratelimit.Claim {
	claims := make([]ratelimit.Claim, 0, len(told))
	for _, claim := range told {
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

func loansFromWire(told []*frame.PermitLoan) []ratelimit.Loan {
	loans := make([]ratelimit.Loan, 0, len(told))
	for _, loan := range told {
		loans = append(loans, ratelimit.Loan{Run: ratelimit.Run{Server: loan.Server, Born: loan.Born}, Session: loan.Session, Borrower: loan.Borrower, Lent: loan.Lent})
	}
	return loans
}
