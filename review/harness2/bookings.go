package main

import (
	"time"

	"hazelslip/platform/standin"
)

const (
	bookingServers = 3
	// bookingCallers is the number of callers at each node, bookingPause the pause between two bookings of a caller.
	bookingCallers = 4
	bookingPause   = 20 * time.Millisecond
)

// startBookings starts the booking servers and the nodes, and callers that book at all nodes.
func startBookings(fleet *fleet, record *record) ([]*bookingServer, *traffic, error) {
	servers := []*bookingServer{}
	for number := range bookingServers {
		server, err := startBookingServer(fleet, record, number+1)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, server)
	}
	if err := fleet.startAll(true); err != nil {
		return nil, nil, err
	}
	if err := fleet.awaitReady(func() bool { return true }); err != nil {
		return nil, nil, err
	}
	record.print("all nodes are ready")
	callers := &traffic{fleet: fleet, record: record, pause: bookingPause, kind: func(int64) standin.Kind { return standin.Book }}
	callers.start(bookingCallers)
	return servers, callers, nil
}
