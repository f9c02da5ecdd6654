// Package accept accepts connections from a listener and goes on after errors that pass, for instance a lack of
// descriptors. A loop that ends with the first error leaves its process without the listener for good.
//
// # Usage
//
//	accept.Loop(listener, component.Sleep, logError, func(conn net.Conn) bool { ... })
package accept

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// The pause after an error doubles with each further one.
const (
	minPause = 5 * time.Millisecond
	maxPause = time.Second
)

// Loop passes each accepted connection to handle, until handle returns false or the listener is closed. Sleep returns
// false if the loop must end. OnError is called for the first of several errors in a row.
func Loop(listener net.Listener, sleep func(pause time.Duration) bool, onError func(err error), handle func(conn net.Conn) bool) {
	pause := time.Duration(0)
	for {
		conn, err := listener.Accept()
		if err == nil {
			pause = 0
			if !handle(conn) {
				return
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		first := pause == 0
		pause = min(max(minPause, 2*pause), maxPause)
		if !sleep(pause) {
			return
		}
		if first {
			onError(err)
		}
	}
}
