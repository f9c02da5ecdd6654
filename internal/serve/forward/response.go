package forward

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// relayGrace is how much longer than the request's time a server may take for a response that is relayed
	// unbuffered, because the caller has already received the beginning of it.
	relayGrace = 200 * time.Millisecond
	// maxLateBytes bounds what is relayed of a response of unknown length after the request's time. A caller may read
	// slowly, so that a large response is late through no fault of its server, but one without end must end.
	maxLateBytes = 64 << 20
)

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
// are counted. It ends the request. If the server disconnects early or does not end the response in time,
// relayUnbuffered closes the caller's connection, so that the truncated response does not look complete.
func (exchange *exchange) relayUnbuffered(attempt *attempt, read []byte, reserved int64) {
	// The timeout does not tell the server's time from the time that the caller takes to read.
	attempt.timeout.Stop()
	exchange.deadline = exchange.computeDeadline(0)
	serverTime := exchange.timeLeft() + relayGrace
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
		err = exchange.relayRest(attempt, serverTime)
	}
	if errors.Is(err, errTruncated) {
		if errors.IsAny(err, os.ErrDeadlineExceeded, errNotEnding) {
			exchange.outcome = TimeUp
		}
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

var (
	// errTruncated means that the server did not complete a relayed response.
	errTruncated = errors.New("response truncated")
	// errNotEnding means that a response went on after the request's time.
	errNotEnding = errors.New("the response did not end in time")
)

// relayRest relays the rest of a response, for which the server has the given time. The time that the caller takes to
// read does not count. The error is marked as errTruncated if the server does not complete the response.
func (exchange *exchange) relayRest(attempt *attempt, serverTime time.Duration) error {
	buffer, _ := exchange.forwarder.buffers.Get().(*[copyBufferSize]byte)
	defer exchange.forwarder.buffers.Put(buffer)
	lateBytes := 0
	for serverTime > 0 && lateBytes <= maxLateBytes {
		began := exchange.forwarder.Now()
		attempt.SetDeadline(time.Now().Add(serverTime))
		n, err := exchange.readReply(attempt, buffer[:])
		serverTime -= exchange.forwarder.Now() - began
		if err := exchange.write(buffer[:n]); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Mark(errors.Wrapf(err, "read the response of server %s", attempt.target.ID), errTruncated)
		case attempt.Length < 0 && exchange.timeLeft() < 0:
			lateBytes += n
		}
	}
	return errors.Mark(errors.Wrapf(errNotEnding, "relay the response of server %s", attempt.target.ID), errTruncated)
}
