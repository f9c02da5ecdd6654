package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// spoiledShare is the share of the answers of the faulty runner after which further bytes come, leftoverDelay how late.
	spoiledShare  = 0.05
	leftoverDelay = 8 * time.Millisecond
	// leftoverClients call at the same time, each after a pause, for leftoverTime.
	leftoverClients = 8
	leftoverPause   = 60 * time.Millisecond
	leftoverTime    = 20 * time.Second
)

// leftoverBytes are what a faulty runner sends after a complete answer. They belong to no request: they bear neither an
// attempt's ID nor a signature.
const leftoverBytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nleftovers\n"

// leftovers: one of three plain runners sends further bytes after some of its complete answers.
func leftovers(record *record, trouble bool) (int, error) {
	deployed, err := newDeployment(record)
	if err != nil {
		return cannotRun, err
	}
	defer deployed.stop()
	deployed.putConfiguration(1, nil)
	for number := range 3 {
		started, err := deployed.startRunner(fmt.Sprintf("i-%d", number+1), zoneName)
		if err != nil {
			return cannotRun, err
		}
		if trouble && number == 0 {
			started.after = func(conn net.Conn) {
				if rand.Float64() >= spoiledShare {
					return
				}
				time.AfterFunc(leftoverDelay, func() {
					record.note("runner %s sends further bytes that belong to no request: %q", started.id, leftoverBytes)
					_, _ = conn.Write([]byte(leftoverBytes))
				})
			}
		}
	}
	started, err := deployed.startOnlyNode()
	if err != nil {
		return cannotRun, err
	}
	tally := tally{}
	waiters := sync.WaitGroup{}
	for number := range leftoverClients {
		waiters.Go(func() { tally.call(record, started.caller, number) })
	}
	waiters.Wait()
	record.note("served %d, refused or failed %d, MIXED %d", tally.served.Load(), tally.failed.Load(), tally.mixed.Load())
	switch {
	case tally.mixed.Load() > 0:
		return broken, nil
	case tally.served.Load() == 0:
		return cannotRun, errNothingServed
	}
	return held, nil
}

// tally counts what the clients got.
type tally struct {
	served, failed, mixed atomic.Int64
}

// call sends bookings over kept connections, one after the other.
func (tally *tally) call(record *record, address string, number int) {
	caller := &client{address: address, record: record}
	defer caller.close()
	for count, deadline := 0, time.Now().Add(leftoverTime); time.Now().Before(deadline); count++ {
		attempt := fmt.Sprintf("%04x%08x", number, count)
		got := caller.send(http.MethodPost, "/book/1", attempt, "Tuesday 9:00")
		switch {
		case got.status != http.StatusOK || got.err != nil:
			tally.failed.Add(1)
		case !strings.HasPrefix(got.signature, "signed.") || got.body != answerOf(attempt):
			tally.mixed.Add(1)
			record.note("MIXED: attempt %s got a success without a runner's signature, with the body %q", attempt, got.body)
		default:
			tally.served.Add(1)
		}
		time.Sleep(time.Duration(float64(leftoverPause) * (0.5 + rand.Float64())))
	}
}
