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
	if !attempt.readAhead {
		exchange.bufferResponse(attempt)
	}
	switch err := attempt.readErr; {
	case exchange.second.tookOver():
		attempt.releasePending()
		return nil, errSuperseded
	case exceedsBuffer(err):
		exchange.dropSecond()
		exchange.relayUnbuffered(attempt, attempt.pending, attempt.reserved)
		return &response{status: attempt.Status, relayed: true}, nil
	case err != nil:
		attempt.releasePending()
		return nil, err
	}
	return &response{status: attempt.Status, header: attempt.Header, body: attempt.pending, reserved: attempt.reserved}, nil
}

// bufferResponse reads a response as far as it fits into the buffer, and releases the exchange meanwhile.
func (exchange *exchange) bufferResponse(attempt *attempt) {
	exchange.wait(attempt)
	defer exchange.resume(attempt)
	before := attempt.reservation.Bytes()
	attempt.pending, attempt.readErr = readLimited(attempt, attempt.Length, maxResponseBytes, attempt.reservation)
	attempt.reserved = attempt.reservation.Bytes() - before
}

// exceedsBuffer reports whether a response was not read completely because it does not fit into the buffer.
func exceedsBuffer(err error) bool {
	return errors.IsAny(err, errMemoryExhausted, errTooLarge)
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
	exchange.dropSecond()
	exchange.releaseBody()
	exchange.copyHeaders(received.header)
	exchange.writer.Header().Set("Content-Length", strconv.Itoa(len(received.body)))
	exchange.writer.WriteHeader(received.status)
	if err := exchange.write(received.body); err != nil {
		exchange.cause = "write the response to the caller: " + err.Error()
	}
	exchange.outcome = ServerFailed
	exchange.log(received.status)
}

// write writes a part of the response to the caller, and releases the exchange meanwhile.
func (exchange *exchange) write(part []byte) error {
	exchange.mu.Unlock()
	defer exchange.mu.Lock()
	_, err := exchange.writer.Write(part)
	return err
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
	err := exchange.write(read)
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
		n, err := exchange.readReply(attempt, buffer[:])
		if err := exchange.write(buffer[:n]); err != nil {
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
