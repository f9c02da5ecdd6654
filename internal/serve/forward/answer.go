package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// passPause is how long a server may send nothing of an answer that is passed on as it comes,
// where the caller's time is over: a ready answer is delivered late as well.
const passPause = 3 * time.Second

// readAnswer reads an answer whole. One that is too long to be kept, or doesn't fit into the
// node's memory, is passed on as it comes: the call has run, and can't be refused any more.
func (exchange *exchange) readAnswer(leg *leg) (*answer, error) {
	before := exchange.held.Bytes()
	body, err := readWithin(leg, leg.Length, answerMost, &exchange.held)
	if errors.IsAny(err, errNoRoom, errTooLong) {
		exchange.passOn(leg, body, exchange.held.Bytes()-before)
		return &answer{status: leg.Status, passed: true}, nil
	}
	if err != nil {
		exchange.held.Shrink(exchange.held.Bytes() - before)
		return nil, err
	}
	return &answer{status: leg.Status, header: leg.Header, body: body, held: exchange.held.Bytes() - before}, nil
}

// keep keeps a failure that is delivered if no other server does better.
func (exchange *exchange) keep(found *answer) {
	exchange.drop(exchange.fallback)
	exchange.fallback = found
}

// drop gives back what an answer holds.
func (exchange *exchange) drop(found *answer) {
	if found != nil {
		found.body = nil
		exchange.held.Shrink(found.held)
	}
}

// dropBody gives the request's body back: it is sent to no further server.
func (exchange *exchange) dropBody() {
	exchange.request.Body = nil
	exchange.held.Shrink(exchange.bodyHeld)
	exchange.bodyHeld = 0
}

// deliver passes a whole answer on.
func (exchange *exchange) deliver(found *answer) {
	if found != exchange.fallback {
		exchange.keep(nil)
	}
	exchange.dropBody()
	exchange.passHead(found.header)
	exchange.writer.Header().Set("Content-Length", strconv.Itoa(len(found.body)))
	exchange.writer.WriteHeader(found.status)
	if _, err := exchange.writer.Write(found.body); err != nil {
		exchange.cause = "the caller could not be written to: " + err.Error()
	}
	exchange.outcome = ServerFailed
	exchange.log(found.status)
}

// passOn passes an answer on as it comes, beginning with what was read and held of it. It ends
// the request; where the server breaks off, the answer is cut so that it doesn't look whole.
func (exchange *exchange) passOn(leg *leg, read []byte, held int64) {
	// The time that the server was given was for the whole answer to be read. From here on
	// the caller's pace counts.
	leg.patience.Stop()
	exchange.keep(nil)
	exchange.dropBody()
	exchange.passHead(leg.Header)
	if leg.Length >= 0 {
		exchange.writer.Header().Set("Content-Length", strconv.FormatInt(leg.Length, 10))
	}
	exchange.begun = true
	exchange.writer.WriteHeader(leg.Status)
	_, err := exchange.writer.Write(read)
	exchange.held.Shrink(held)
	if err == nil {
		err = exchange.copyRest(leg)
	}
	if errors.Is(err, errBrokeOff) {
		exchange.ran()
		exchange.note(leg, true)
		exchange.noteEnd(leg, err)
		exchange.cause = err.Error()
		exchange.end()
	}
	if err != nil {
		exchange.cause = "the caller could not be written to: " + err.Error()
	} else if leg.Status < http.StatusInternalServerError {
		exchange.noteServed(leg)
	}
	exchange.outcome = ServerFailed
	exchange.log(leg.Status)
}

// errBrokeOff means that the server broke off an answer that was passed on as it came.
var errBrokeOff = errors.New("the answer broke off")

// copyRest passes on what is left of an answer.
func (exchange *exchange) copyRest(leg *leg) error {
	buffer, _ := exchange.forwarder.buffers.Get().(*[copyBuffer]byte)
	defer exchange.forwarder.buffers.Put(buffer)
	for {
		leg.SetDeadline(time.Now().Add(max(exchange.left(), passPause)))
		n, err := leg.Read(buffer[:])
		if _, err := exchange.writer.Write(buffer[:n]); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Mark(errors.Wrapf(err, "the answer of %s broke off", leg.target.ID), errBrokeOff)
		}
	}
}
