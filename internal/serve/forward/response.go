package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRelayPause is how long a server may send nothing of a response that is relayed unbuffered, once the caller's
// time is over: a late response is still delivered.
const maxRelayPause = 3 * time.Second

// readResponse buffers a response. A response that is longer than maxResponseBytes or does not fit into the memory
// budget is relayed unbuffered, because the call has run and can no longer be refused.
func (exchange *exchange) readResponse(attempt *attempt) (*response, error) {
	before := exchange.reservation.Bytes()
	body, err := readLimited(attempt, attempt.Length, maxResponseBytes, &exchange.reservation)
	if errors.IsAny(err, errMemoryExhausted, errTooLarge) {
		exchange.relayUnbuffered(attempt, body, exchange.reservation.Bytes()-before)
		return &response{status: attempt.Status, relayed: true}, nil
	}
	if err != nil {
		exchange.reservation.Shrink(exchange.reservation.Bytes() - before)
		return nil, err
	}
	return &response{status: attempt.Status, header: attempt.Header, body: body, reserved: exchange.reservation.Bytes() - before}, nil
}

// setFallback stores an error response that is delivered if no other server does better.
func (exchange *exchange) setFallback(received *response) {
	exchange.releaseResponse(exchange.fallback)
	exchange.fallback = received
}

// releaseResponse frees a response's memory.
func (exchange *exchange) releaseResponse(received *response) {
	if received != nil {
		received.body = nil
		exchange.reservation.Shrink(received.reserved)
	}
}

// releaseBody frees the request's body, which no further server needs.
func (exchange *exchange) releaseBody() {
	exchange.request.Body = nil
	exchange.reservation.Shrink(exchange.bodyReserved)
	exchange.bodyReserved = 0
}

// deliver sends a buffered response to the caller.
func (exchange *exchange) deliver(received *response) {
	if received != exchange.fallback {
		exchange.setFallback(nil)
	}
	exchange.releaseBody()
	exchange.copyHeaders(received.header)
	exchange.writer.Header().Set("Content-Length", strconv.Itoa(len(received.body)))
	exchange.writer.WriteHeader(received.status)
	if _, err := exchange.writer.Write(received.body); err != nil {
		exchange.cause = "write the response to the caller: " + err.Error()
	}
	exchange.outcome = ServerFailed
	exchange.log(received.status)
}

// relayUnbuffered relays a response as it arrives, starting with the part already read, for which reserved bytes
// are counted. It ends the request. If the server disconnects early, relayUnbuffered closes the caller's
// connection, so that the truncated response does not look complete.
func (exchange *exchange) relayUnbuffered(attempt *attempt, read []byte, reserved int64) {
	// The server's time limit was for the whole response to be read. From here on, the caller's reading speed
	// determines the duration.
	attempt.timeout.Stop()
	exchange.setFallback(nil)
	exchange.releaseBody()
	exchange.copyHeaders(attempt.Header)
	if attempt.Length >= 0 {
		exchange.writer.Header().Set("Content-Length", strconv.FormatInt(attempt.Length, 10))
	}
	exchange.responseStarted = true
	exchange.writer.WriteHeader(attempt.Status)
	_, err := exchange.writer.Write(read)
	exchange.reservation.Shrink(reserved)
	if err == nil {
		err = exchange.relayRest(attempt)
	}
	if errors.Is(err, errTruncated) {
		exchange.recordRun()
		exchange.recordResult(attempt, true)
		exchange.recordServerFailure(attempt, err)
		exchange.cause = err.Error()
		exchange.finishUnserved()
	}
	if err != nil {
		exchange.cause = "write the response to the caller: " + err.Error()
	} else if attempt.Status < http.StatusInternalServerError {
		exchange.recordSuccess(attempt)
	}
	exchange.outcome = ServerFailed
	exchange.log(attempt.Status)
}

// errTruncated means that the server disconnected in the middle of a relayed response.
var errTruncated = errors.New("response truncated")

// relayRest relays the rest of a response.
func (exchange *exchange) relayRest(attempt *attempt) error {
	buffer, _ := exchange.forwarder.buffers.Get().(*[copyBufferSize]byte)
	defer exchange.forwarder.buffers.Put(buffer)
	for {
		attempt.SetDeadline(time.Now().Add(max(exchange.timeLeft(), maxRelayPause)))
		n, err := attempt.Read(buffer[:])
		if _, err := exchange.writer.Write(buffer[:n]); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Mark(errors.Wrapf(err, "read the response of server %s", attempt.target.ID), errTruncated)
		}
	}
}
