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

type conn struct {
	net.Conn
	reader *bufio.Reader
	// unreadHead is the number of bytes that may still be read before the head of a response is complete.
	unreadHead int
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

// headLimiter reads from a connection, and fails when a head is too long.
type headLimiter struct{ conn *conn }

// Read reads from the connection. It returns io.EOF only if the server closed the connection.
func (limiter headLimiter) Read(buffer []byte) (int, error) {
	connection := limiter.conn
	if connection.unreadHead <= 0 {
		return 0, errHeadTooLong
	}
	n, err := connection.Read(buffer)
	connection.unreadHead -= n
	if connection.hiddenReset != nil && errors.Is(err, io.EOF) {
		err = connection.hiddenReset
	}
	return n, err
}
