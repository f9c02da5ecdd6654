// Package metering counts what crosses the connections to one kind of peer.
//
// # Usage
//
//	traffic := &metering.Traffic{}
//	transport := &http.Transport{DialContext: traffic.Dial(dialer.DialContext)}
//	traffic.State() // connections and bytes so far
package metering

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts connections and bytes. All counts only grow.
type Traffic struct {
	connections atomic.Uint64
	sent        atomic.Uint64
	received    atomic.Uint64
}

// State is a copy of the counts.
type State struct {
	Connections   uint64
	BytesSent     uint64
	BytesReceived uint64
}

// State returns a copy of the counts.
func (traffic *Traffic) State() State {
	return State{
		Connections: traffic.connections.Load(), BytesSent: traffic.sent.Load(), BytesReceived: traffic.received.Load(),
	}
}

// Dialer opens connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Dial counts the connections that the dialer opens.
func (traffic *Traffic) Dial(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return traffic.Wrap(conn), nil
	}
}

// Wrap counts what crosses a connection.
func (traffic *Traffic) Wrap(conn net.Conn) net.Conn {
	traffic.connections.Add(1)
	return metered{Conn: conn, traffic: traffic}
}

type metered struct {
	net.Conn
	traffic *Traffic
}

// Read counts what it reads.
func (metered metered) Read(buffer []byte) (int, error) {
	n, err := metered.Conn.Read(buffer)
	metered.traffic.received.Add(uint64(n))
	return n, err
}

// Write counts what it writes.
func (metered metered) Write(buffer []byte) (int, error) {
	n, err := metered.Conn.Write(buffer)
	metered.traffic.sent.Add(uint64(n))
	return n, err
}
