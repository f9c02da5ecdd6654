package backendserver

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds what is read of a connection until the head of a response is complete, informational heads included.
const maxHeadBytes = 128 << 10

// errHeadTooLong means that a server sent maxHeadBytes and no complete head.
var errHeadTooLong = errors.Newf("no complete head within %d bytes", maxHeadBytes)

// errFoldedField means that a line of a head begins with a blank. net/http takes it for a part of the field before it.
var errFoldedField = errors.New("a line of the head begins with a blank")

type conn struct {
	net.Conn
	reader *bufio.Reader
	// unreadHead is the number of bytes that may still be read before the head of a response is complete.
	unreadHead int
	lines      headLines
	// idleDeadline is when the server may close the idle connection.
	idleDeadline time.Time
	// partlySent is set if only a part of the last call was sent.
	partlySent bool
	// hiddenReset is the error of a write after which reads return io.EOF although the server has not closed the
	// connection.
	hiddenReset error
}

// newConn returns a connection whose reader bounds the heads of responses.
func newConn(dialled net.Conn) *conn {
	connection := &conn{Conn: dialled, unreadHead: maxHeadBytes}
	connection.reader = bufio.NewReaderSize(headLimiter{connection}, readBufferSize)
	return connection
}

// beginHead prepares for the next head, a part of which may be in the buffer already.
func (conn *conn) beginHead() {
	conn.unreadHead = min(conn.unreadHead, maxHeadBytes)
	conn.lines = headLines{}
	// What is buffered can always be peeked.
	buffered, _ := conn.reader.Peek(conn.reader.Buffered())
	conn.lines.scan(buffered)
}

// headLines notes whether a line of a head begins with a blank.
type headLines struct {
	// started is set once the current line has a byte, ended after the empty line at the end of the head.
	started, ended bool
	// count is the number of complete lines.
	count  int
	folded bool
}

// scan takes a part of a head. What follows the head is ignored.
func (lines *headLines) scan(part []byte) {
	for _, char := range part {
		switch {
		case lines.ended:
			return
		case char == '\n':
			lines.ended = !lines.started && lines.count > 0
			lines.started = false
			lines.count++
		case char != '\r':
			lines.folded = lines.folded || (!lines.started && (char == ' ' || char == '\t'))
			lines.started = true
		}
	}
}

// headLimiter reads from a connection, scans the heads of responses, and fails when one is too long.
type headLimiter struct{ conn *conn }

// Read reads from the connection. It returns io.EOF only if the server closed the connection.
func (limiter headLimiter) Read(buffer []byte) (int, error) {
	connection := limiter.conn
	if connection.unreadHead <= 0 {
		return 0, errHeadTooLong
	}
	n, err := connection.Read(buffer)
	connection.unreadHead -= n
	connection.lines.scan(buffer[:n])
	if connection.hiddenReset != nil && errors.Is(err, io.EOF) {
		err = connection.hiddenReset
	}
	return n, err
}
