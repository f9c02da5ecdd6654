package main

import (
	"fmt"
	"net/http"
	"time"

	"hazelslip/platform/standin"
)

const (
	// extraShare is the share of the answers of a faulty server, extraTime how long it is faulty.
	extraShare = 0.03
	extraTime  = 5 * time.Second
	tailTime   = 2 * time.Second
)

// faultyAnswers is what happened to bookings while one of their servers sent additional bytes.
type faultyAnswers struct {
	sent, extras int
	// unsigned are the bookings with a success that no server gave, doubled those that ran more than once, and refused
	// those that ran and were answered with a status that promises the contrary.
	unsigned, doubled, refused []string
}

// playAnswers books while a faulty server sends additional bytes after a part of its responses, late, where the next
// response is expected.
func playAnswers(trouble bool, record *record, extra string) (faultyAnswers, error) {
	fleet, err := newFleet(standin.Shape{Domains: 3, Seed: 1})
	if err != nil {
		return faultyAnswers{}, err
	}
	defer fleet.stop()
	servers, traffic, err := startBookings(fleet, record)
	if err != nil {
		return faultyAnswers{}, err
	}
	time.Sleep(calmTime)
	faulty := servers[0]
	if trouble {
		faulty.setExtra(extraShare, extra)
		record.print("%s sends additional bytes after %.2f of its responses for %s: %q", faulty.id, extraShare, extraTime, extra)
	}
	time.Sleep(extraTime)
	faulty.setExtra(0, extra)
	time.Sleep(tailTime)
	results := traffic.stop()
	for _, server := range servers {
		server.exit()
	}
	found := judgeAnswers(results, servers)
	found.extras = faulty.extras()
	record.print("bookings: %d sent; additional bytes: sent %d times", found.sent, found.extras)
	record.print("successes that no server gave: %d %v", len(found.unsigned), found.unsigned)
	record.print("bookings that ran more than once: %d %v", len(found.doubled), found.doubled)
	record.print("bookings that ran and were answered 408, 421, 429 or 503: %d %v", len(found.refused), found.refused)
	return found, nil
}

// judgeAnswers compares what the callers got with what the servers ran.
func judgeAnswers(results []standin.Result, servers []*bookingServer) faultyAnswers {
	found := faultyAnswers{sent: len(results)}
	for index := range results {
		result := &results[index]
		runs := 0
		for _, server := range servers {
			runs += server.runsOf(result.ID)
		}
		if result.Status == http.StatusOK && result.Violation != "" {
			found.unsigned = append(found.unsigned, result.ID)
		}
		if runs > 1 {
			found.doubled = append(found.doubled, result.ID)
		}
		switch result.Status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if runs > 0 {
				found.refused = append(found.refused, result.ID)
			}
		}
	}
	return found
}

// playForeignSuccess plays MIXED.
func playForeignSuccess(trouble bool, record *record) (verdict, error) {
	found, err := playAnswers(trouble, record, extraSuccess)
	return verdict{
		broken: len(found.unsigned) > 0, reason: fmt.Sprintf("%d of %d bookings got a success without a server's signature", len(found.unsigned), found.sent),
	}, err
}

// playForeignRefusal plays TWICE.
func playForeignRefusal(trouble bool, record *record) (verdict, error) {
	found, err := playAnswers(trouble, record, extraRefusal)
	return verdict{broken: len(found.doubled) > 0, reason: fmt.Sprintf("%d of %d bookings ran more than once", len(found.doubled), found.sent)}, err
}
