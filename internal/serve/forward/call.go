package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/configuration"
)

func splitList(line string) []string {
	names := strings.Split(line, ",")
	for number := range names {
		names[number] = strings.TrimSpace(names[number])
	}
	return names
}

const (
	// hedgeAfter is how long a plain call that may run twice waits for its
	// first server before it is sent to another. It is many times the usual
	// work, so that a slow call isn't repeated, only a lost one.
	hedgeAfter = 150 * time.Millisecond
	// answerMost bounds a plain answer, which is kept whole before it is passed
	// on.
	answerMost = 8 << 20
	// plainBeyond is how many calls may wait at a plain server.
	plainBeyond = 6
)

// answer is a plain answer, whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	// held is what the body holds of the node's memory.
	held int64
	// passed says that it was passed on as it came, since it didn't fit.
	passed bool
}

// call serves a request whose answer is one piece. The answer is read whole
// before any of it is passed on, so that one that breaks off is never seen by
// the caller and can be asked for again. One that doesn't fit into the node's
// memory is passed on as it comes.
func (exchange *exchange) call() {
	for exchange.left() > leastLeft && !exchange.gone() && !exchange.quarantined() && exchange.mayRepeat() {
		target, verdict := exchange.pickPlain()
		if verdict == dispatch.Unreached && exchange.mayDetour() {
			if ended, sent := exchange.detour(exchange.callOne); ended {
				return
			} else if sent {
				continue
			}
			if !exchange.forwarder.Board.WayLost(exchange.pool()) {
				target, verdict = exchange.pickPlain()
			}
		}
		if verdict != dispatch.Chosen {
			exchange.noTarget(target, verdict)
			break
		}
		if exchange.callOne(exchange.attempt(target, exchange.patience())) {
			return
		}
	}
	exchange.end()
}

// pickPlain chooses a server, and waits a little where one may take the call soon.
func (exchange *exchange) pickPlain() (*dispatch.Target, dispatch.Verdict) {
	return exchange.pickWithin(exchange.placeWait(), plainBeyond, func(verdict dispatch.Verdict) bool {
		return verdict == dispatch.Limited || verdict == dispatch.BackedOff
	})
}

// noTarget notes why no server was chosen, after what was tried before. The target is the one
// that is free first, where that is known.
func (exchange *exchange) noTarget(target *dispatch.Target, verdict dispatch.Verdict) {
	occupancy := exchange.forwarder.Board.Occupancy(exchange.pool())
	reason := fmt.Sprintf("pool %s has %d of %d places taken at %d targets", exchange.pool(), occupancy.Taken, occupancy.Places, occupancy.Targets)
	if exchange.straight && (verdict == dispatch.None || verdict == dispatch.Full) && exchange.forwarder.Board.WayLost(exchange.pool()) {
		verdict = dispatch.Unreached
	}
	switch verdict {
	case dispatch.Full:
		exchange.outcome = Full
	case dispatch.Limited:
		exchange.outcome = Limited
		exchange.forwarder.Counts.Limited.Add(1)
		exchange.again = exchange.forwarder.Returns.After(exchange.pool(), occupancy.Limit/float64(exchange.forwarder.Nodes()))
		reason += fmt.Sprintf(", whose servers take %.2f requests a second by the limits that they name", occupancy.Limit)
	case dispatch.BackedOff:
		exchange.outcome = BackedOff
		exchange.forwarder.Counts.BackedOff.Add(1)
		opens := target.OpensAt() - exchange.forwarder.Now()
		exchange.notBefore = exchange.returnAfter(opens)
		reason += fmt.Sprintf(", and all that could take it asked for a backoff, %s for %v more", target.ID, opens.Round(time.Millisecond))
	case dispatch.Unreached:
		exchange.outcome = Unreached
		if len(exchange.excludePeers) > 0 {
			exchange.again = retryUnreached
		}
		reason += ", and no server of it is reached from here"
	default:
		exchange.outcome = NoServer
	}
	if exchange.cause != "" {
		reason = exchange.cause + "; " + reason
	}
	exchange.cause = reason
}

// callOne reads the answer to one call, passes it on if it is to be delivered, and says whether the request
// has ended.
func (exchange *exchange) callOne(leg *leg) bool {
	defer leg.end()
	if leg.Reply == nil {
		exchange.lateAnswer(leg)
		return false
	}
	if leg.NotRun {
		exchange.refused(leg)
		return false
	}
	found, err := exchange.readAnswer(leg)
	exchange.note(leg, err != nil || leg.Status >= http.StatusInternalServerError)
	if err != nil {
		exchange.ran()
		exchange.noteEnd(leg, err)
		exchange.cause = "the answer of " + leg.target.ID + " broke off: " + err.Error()
		exchange.exclude = append(exchange.exclude, leg.target.ID)
		return false
	}
	if found.passed {
		return true
	}
	if leg.Status >= http.StatusInternalServerError && exchange.worthRepeating() {
		exchange.ran()
		exchange.cause = "server " + leg.target.ID + " failed: " + strconv.Itoa(leg.Status)
		exchange.exclude = append(exchange.exclude, leg.target.ID)
		exchange.keep(found)
		return false
	}
	if leg.Status < http.StatusInternalServerError {
		exchange.noteServed(leg)
	}
	exchange.deliver(found)
	return true
}

// lateAnswer keeps calls off a server that answered nothing in time: it may
// have lost power, and the next call would be lost like this one.
func (exchange *exchange) lateAnswer(leg *leg) {
	if !exchange.gone() && !leg.withheld && leg.peer == nil {
		leg.target.Avoid(avoidUnreachable)
		exchange.forwarder.Pool.CloseIdle(leg.target.Address)
	}
}

// worthRepeating says whether a failure that the server itself answered may be
// tried elsewhere.
func (exchange *exchange) worthRepeating() bool {
	return exchange.route.Repeatable() && exchange.runs+1 < exchange.route.MaxAttempts &&
		exchange.left() > 4*leastLeft
}

// patience is how long one server is waited for.
func (exchange *exchange) patience() time.Duration {
	left := exchange.left()
	if exchange.route.Kind == configuration.Idempotent && exchange.runs+1 < exchange.route.MaxAttempts {
		return min(left, max(hedgeAfter, exchange.route.Target*3/2))
	}
	return left
}
