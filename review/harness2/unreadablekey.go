package main

import (
	"fmt"
	"net/http"
	"time"

	"hazelslip/platform/standin"
)

// Timing of the case.
const (
	// drainTime is drain_ms of the bounds. leaveTime is how long the server serves after its entry was removed.
	drainTime = 2 * time.Second
	leaveTime = 8 * time.Second
	// foreignInterval and foreignTime are how often and how long another writer writes.
	foreignInterval = 250 * time.Millisecond
	foreignTime     = 4 * time.Second
	endTime         = 3 * time.Second
)

// playUnreadableKey plays DRAIN: a server's entry is removed while another writer writes entries whose bytes are no text.
func playUnreadableKey(trouble bool, record *record) (verdict, error) {
	fleet, err := newFleet(standin.Shape{Domains: 3, Seed: 1})
	if err != nil {
		return verdict{}, err
	}
	defer fleet.stop()
	servers, traffic, err := startBookings(fleet, record)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(calmTime)
	leaving := servers[bookingServers-1]
	if trouble {
		record.print("another writer writes unreadable entries for %s", foreignTime)
		go writeUnreadable(fleet)
	}
	time.Sleep(foreignTime / 2)
	removedAt := leaving.unlist()
	record.print("the entry of %s is removed; it serves for another %s", leaving.id, leaveTime)
	time.Sleep(leaveTime)
	leaving.exit()
	record.print("%s exits", leaving.id)
	time.Sleep(endTime)
	results := traffic.stop()
	for _, server := range servers[:bookingServers-1] {
		server.exit()
	}
	late := leaving.arrivalsAfter(removedAt.Add(drainTime))
	for _, arrived := range late {
		record.write("%s reached %s %d ms after its entry was removed", arrived.id, leaving.id, arrived.at.Sub(removedAt).Milliseconds())
	}
	lost := lostBookings(results, leaving)
	record.print("bookings: %d sent, %d of which ran at %s and got no answer of it: %v", len(results), len(lost), leaving.id, lost)
	return verdict{
		broken: len(late) > 0,
		reason: fmt.Sprintf("%d bookings reached %s later than %s after its entry was removed", len(late), leaving.id, drainTime),
	}, nil
}

// writeUnreadable writes entries whose keys and values are no text.
func writeUnreadable(fleet *fleet) {
	for number := range int(foreignTime / foreignInterval) {
		fleet.platform.Store.Put("keyed.servers", string([]byte{0xff, 0xfe, byte(number)}), []byte{0x01, 0x02, 0xff})
		time.Sleep(foreignInterval)
	}
}

// lostBookings returns the bookings that a server ran and whose callers did not get its answer.
func lostBookings(results []standin.Result, server *bookingServer) []string {
	lost := []string{}
	for index := range results {
		if result := &results[index]; result.Status != http.StatusOK && server.runsOf(result.ID) > 0 {
			lost = append(lost, result.ID)
		}
	}
	return lost
}
