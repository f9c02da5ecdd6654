package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hazelslip/platform/standin"
)

const (
	// foreignServerPort is the port offset of a server of another system.
	foreignServerPort = 90
	foreignStay       = 4 * time.Second
)

// playMissingBorn plays MIXED: another writer's entry lacks the field `born` alone, and names the address of a server of
// another system, which answers 200 to everything.
func playMissingBorn(trouble bool, record *record) (verdict, error) {
	fleet, err := newFleet(standin.Shape{Domains: 3, Seed: 1})
	if err != nil {
		return verdict{}, err
	}
	defer fleet.stop()
	address := fmt.Sprintf("127.0.0.1:%d", fleet.base+foreignServerPort)
	reached, err := startForeignServer(address, record)
	if err != nil {
		return verdict{}, err
	}
	servers, traffic, err := startBookings(fleet, record)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(calmTime)
	if trouble {
		fleet.platform.Store.Put("keyed.servers", "n-17", fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1}`,
			standin.LedgerService, address, fleet.shape.DataCentreOf(0), bookingSlots))
		record.print("another writer's entry without `born` is in the registry, with the address of a server of another system")
	}
	time.Sleep(foreignStay)
	results := traffic.stop()
	for _, server := range servers {
		server.exit()
	}
	found := judgeAnswers(results, servers)
	record.print("bookings: %d sent; requests that the other system's server got: %d", found.sent, reached.Load())
	record.print("successes that no server of the service gave: %d %v", len(found.unsigned), found.unsigned)
	return verdict{
		broken: len(found.unsigned) > 0, reason: fmt.Sprintf("%d of %d bookings got a success without a server's signature", len(found.unsigned), found.sent),
	}, nil
}

// startForeignServer starts a server of another system, and returns the number of requests that it gets.
func startForeignServer(address string, record *record) (*atomic.Int64, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	reached := &atomic.Int64{}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		reached.Add(1)
		record.write("%s reached the other system's server", request.Header.Get("X-Hazelslip-Attempt-Id"))
		_, _ = writer.Write([]byte("ok\n"))
	})}
	go func() { _ = server.Serve(listener) }()
	return reached, nil
}
