package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/dispatch"
)

const (
	// streamBeyond is how many streams may wait at a group whose places are all
	// taken. A place of seventeen comes free every 50 to 90 ms, so four wait less
	// than their target at a group that is only just full, and keep it busy while
	// the nodes' counts lag.
	streamBeyond = 4
	// resumeBeyond is the same for a stream that goes on elsewhere: its caller
	// already reads, and what it has would be lost.
	resumeBeyond = 6
	// eventMost bounds one event.
	eventMost = 1 << 20
	// pendingKept is how large a buffer is kept for the next events of a stream.
	pendingKept = 16 << 10
)

// stream serves a request whose answer is a series of events.
func (exchange *exchange) stream() {
	if overload, shed := exchange.sheds(); shed {
		exchange.forwarder.Counts.Shed.Add(1)
		exchange.cause = fmt.Sprintf("streams of rank %d are shed: the pool can begin %.0f calls a second, %.0f are asked for, of which %.0f go first",
			exchange.urgency(), overload.Capacity, overload.Asked, overload.Before)
		exchange.again = min(retryNone, exchange.left()/retryPart)
		exchange.noSlot(nil, dispatch.Full)
		exchange.end()
		return
	}
	for exchange.left() > leastLeft && !exchange.gone() && !exchange.quarantined() && exchange.mayRepeat() {
		beyond := streamBeyond
		if exchange.mayHaveRun {
			beyond = resumeBeyond
		}
		target, verdict := exchange.pick(beyond)
		if exchange.quarantined() {
			break
		}
		if verdict == dispatch.Unreached && exchange.mayDetour() {
			if ended, sent := exchange.detour(exchange.streamOne); ended {
				return
			} else if sent {
				continue
			}
			if !exchange.forwarder.Board.WayLost(exchange.pool()) {
				target, verdict = exchange.pick(beyond)
			}
		}
		if verdict != dispatch.Chosen {
			exchange.noSlot(target, verdict)
			break
		}
		if exchange.streamOne(exchange.attempt(target, exchange.left())) {
			return
		}
	}
	exchange.end()
}

// noSlot notes why the stream was given no group, and counts it as demand that its pool has no slot for.
func (exchange *exchange) noSlot(target *dispatch.Target, verdict dispatch.Verdict) {
	exchange.noTarget(target, verdict)
	exchange.countRefused()
}

// countRefused counts a stream that was refused since its pool has no slot for it. One of another node's caller is counted
// there.
func (exchange *exchange) countRefused() {
	if exchange.inward == nil && exchange.configured() && (exchange.outcome == Full || exchange.outcome == NoServer) {
		exchange.forwarder.Board.Refused(exchange.pool())
	}
}

// sheds counts the stream as demand, and says whether it is refused since its pool is asked for more than it can run and
// other streams go first. Only an operator who gives streams different priorities says which are refused so that
// others are in time; elsewhere they wait at the servers. A caller that has a part of its answer isn't refused the rest.
func (exchange *exchange) sheds() (dispatch.Overload, bool) {
	if !exchange.configured() || exchange.inward.counted() {
		return dispatch.Overload{}, false
	}
	board, pool, rank := exchange.forwarder.Board, exchange.pool(), exchange.urgency()
	if !exchange.asked {
		exchange.asked = true
		defer board.Asked(pool, rank)
	}
	if !exchange.snapshot.PrioritizesStreams(exchange.service) || exchange.request.Continues {
		return dispatch.Overload{}, false
	}
	return board.Sheds(pool, rank, dispatch.Wish{Regions: exchange.regions})
}

// configured says whether the configuration knows the stream's pool. Callers name models freely, and demand is kept and
// told by pool, so names that nothing serves must not add to it.
func (exchange *exchange) configured() bool {
	service, ok := exchange.snapshot.Service(exchange.service)
	if !ok || service.Engine == nil {
		return ok
	}
	_, ok = service.Engine.Model(exchange.request.Model)
	return ok
}

const (
	// waitShare is the part of its target that a stream may wait here for a
	// place. A place of a full pool comes free every few milliseconds; whoever
	// waits longer would rather be told at once.
	waitShare = 0.12
	// waitResumed is how long a stream that was begun may wait: its caller gives
	// up a stream only after seconds.
	waitResumed = 900 * time.Millisecond
	// waitStep is how often a place is looked for.
	waitStep = 8 * time.Millisecond
)

// pick chooses a group, and waits a little for a place if all are full.
func (exchange *exchange) pick(beyond int) (*dispatch.Target, dispatch.Verdict) {
	wait := exchange.placeWait()
	if exchange.goesOn() {
		wait = waitResumed
	}
	return exchange.pickWithin(wait, beyond, func(verdict dispatch.Verdict) bool {
		return verdict != dispatch.Chosen && verdict != dispatch.Unreached && (verdict != dispatch.None || exchange.goesOn())
	})
}

// placeWait is how long a request that was not begun may wait here for a place.
func (exchange *exchange) placeWait() time.Duration {
	return time.Duration(waitShare * float64(exchange.route.Target))
}

// pickWithin chooses a target, and looks again for some time after the verdicts that are
// worth it.
func (exchange *exchange) pickWithin(wait time.Duration, beyond int, worth func(verdict dispatch.Verdict) bool) (*dispatch.Target, dispatch.Verdict) {
	until := exchange.forwarder.Now() + wait
	var done func()
	for {
		target, verdict := exchange.forwarder.Board.Pick(exchange.pool(), dispatch.Wish{
			DataCentre: exchange.forwarder.DataCentre, Exclude: exchange.exclude, Beyond: beyond, Proven: exchange.mayHaveRun,
			Urgency: exchange.urgency(), Regions: exchange.regions, ReachedOnly: exchange.reachedOnly(),
		})
		if !worth(verdict) || exchange.opensLater(target, verdict, until) || exchange.forwarder.Now()+waitStep > until || exchange.left() < 2*leastLeft || exchange.gone() || exchange.quarantined() {
			return target, verdict
		}
		if verdict == dispatch.Limited && done == nil {
			done = target.Await(exchange.urgency())
			defer done()
			exchange.forwarder.AskPermits()
		}
		time.Sleep(waitStep)
	}
}

// opensLater says whether the wait for a place ends before any server's backoff does. The
// caller is told at once then, unless it has a part of its answer: a group may be formed.
func (exchange *exchange) opensLater(target *dispatch.Target, verdict dispatch.Verdict, until time.Duration) bool {
	return verdict == dispatch.BackedOff && !exchange.goesOn() && target.OpensAt() > until
}

// streamOne passes on the stream, or the rest of it, that one call brings and says whether
// the request has ended.
func (exchange *exchange) streamOne(leg *leg) bool {
	defer leg.end()
	if leg.Reply == nil {
		return false
	}
	switch {
	case leg.NotRun:
		exchange.refused(leg)
		return false
	case leg.Status != http.StatusOK:
		return exchange.streamFailed(leg)
	}
	err := exchange.relay(leg)
	exchange.note(leg, err != nil)
	if err == nil {
		exchange.noteServed(leg)
		exchange.log(http.StatusOK)
		return true
	}
	exchange.ran()
	exchange.noteEnd(leg, err)
	exchange.cause = "the stream of " + leg.target.ID + " broke off: " + err.Error()
	if leg.use.Moved() {
		exchange.cause = "group " + leg.target.Group + " stood still"
	}
	exchange.exclude = append(exchange.exclude, leg.target.ID)
	return false
}

// streamFailed deals with a group that answered a failure of its own.
func (exchange *exchange) streamFailed(leg *leg) bool {
	exchange.exclude = append(exchange.exclude, leg.target.ID)
	exchange.cause = "server " + leg.target.ID + " answered " + strconv.Itoa(leg.Status)
	if exchange.begun {
		exchange.note(leg, leg.Status >= http.StatusInternalServerError)
		exchange.ran()
		return false
	}
	found, err := exchange.readAnswer(leg)
	exchange.note(leg, err != nil || leg.Status >= http.StatusInternalServerError)
	if err != nil {
		exchange.noteEnd(leg, err)
		exchange.ran()
		return false
	}
	if found.passed {
		return true
	}
	if leg.Status >= http.StatusInternalServerError && exchange.worthRepeating() {
		exchange.ran()
		exchange.keep(found)
		return false
	}
	exchange.deliver(found)
	return true
}

// errGap means that a stream doesn't go on where it was left.
var errGap = errors.New("an event is missing or comes twice")

// relay passes the events of one leg on, whole ones only. It returns nil when
// the stream is complete.
func (exchange *exchange) relay(leg *leg) error {
	buffer, _ := exchange.forwarder.buffers.Get().(*[copyBuffer]byte)
	defer exchange.forwarder.buffers.Put(buffer)
	pending, counted := []byte{}, 0
	defer func() { exchange.held.Shrink(int64(counted)) }()
	for {
		n, err := leg.Read(buffer[:])
		pending = append(pending, buffer[:n]...)
		if grown := cap(pending) - counted; grown > 0 {
			exchange.held.Take(int64(grown))
			counted = cap(pending)
		}
		whole := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
		if whole >= len(eventEnd) {
			if err := exchange.passEvents(leg, pending[:whole]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[whole:]...)
			if counted > pendingKept && len(pending) == 0 {
				exchange.held.Shrink(int64(counted))
				pending, counted = nil, 0
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return exchange.complete(leg, pending)
		case err != nil:
			return err
		case len(pending) > eventMost:
			return errors.New("an event is too long")
		}
	}
}

var eventEnd = []byte("\n\n")

// complete ends the answer if its end is beyond doubt.
func (exchange *exchange) complete(leg *leg, pending []byte) error {
	switch {
	case len(pending) > 0:
		return errors.New("the last event is not whole")
	case !exchange.begun:
		return errors.New("there was no event")
	case !leg.Framed():
		return errors.New("its end can't be told from a broken connection")
	}
	return nil
}

// passEvents passes whole events on at once and notes the last one's ID.
func (exchange *exchange) passEvents(leg *leg, events []byte) error {
	last, err := lastEvent(events, exchange.request.After, exchange.request.Continues)
	if err != nil {
		return err
	}
	leg.use.Events(bytes.Count(events, eventEnd))
	came := exchange.forwarder.Now()
	exchange.pace.event(came - exchange.arrived)
	if !exchange.begun {
		// Not before: a failure that is answered in its place must not bear the
		// server's headers.
		exchange.passHead(leg.Header)
		exchange.begun = true
		exchange.writer.WriteHeader(http.StatusOK)
	}
	leg.use.Hold()
	err = exchange.writeEvents(events)
	leg.use.Resume()
	if err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	leg.use.PassedOn(exchange.forwarder.Now() - came)
	if last >= 0 {
		exchange.request.After = last
		exchange.request.Continues = true
	}
	return nil
}

// writeEvents returns once the caller's connection has taken the events, so that a caller
// that reads slowly holds back the server, and nothing is buffered for it here.
func (exchange *exchange) writeEvents(events []byte) error {
	if _, err := exchange.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(exchange.writer).Flush()
}

var eventID = []byte("id:")

// lastEvent returns the ID of the last of some whole events, -1 if none has
// one. IDs must go up by one from the event before.
func lastEvent(events []byte, after int64, continues bool) (int64, error) {
	last := int64(-1)
	if continues {
		last = after
	}
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		events = rest
		value, found := bytes.CutPrefix(line, eventID)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read the ID of an event")
		}
		if last >= 0 && id != last+1 {
			return 0, errors.Wrapf(errGap, "event %d after %d", id, last)
		}
		last = id
	}
	return last, nil
}
