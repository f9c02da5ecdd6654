// Package metering counts connections to one kind of peer and the bytes sent and received over them.
//
// # Usage
//
//	traffic := &metering.Traffic{}
//	transport := &http.Transport{DialContext: traffic.WrapDial(dialer.DialContext)}
//	traffic.State() // connections and bytes so far
package metering

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts connections and bytes. The counts never decrease.
type Traffic struct {
	connections atomic.Uint64
	sent        atomic.Uint64
	received    atomic.Uint64
}

// State is a snapshot of the counts, as the state dump shows it.
type State struct {
	Connections   uint64
	BytesSent     uint64
	BytesReceived uint64
}

// State returns a snapshot of the counts.
func (traffic *Traffic) State() State {
	return State{
		Connections: traffic.connections.Load(), BytesSent: traffic.sent.Load(), BytesReceived: traffic.received.Load(),
	}
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns a DialFunc that counts the connections opened by dial and the bytes that cross them.
func (traffic *Traffic) WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return traffic.WrapConn(conn), nil
	}
}

// WrapConn counts the connection and returns a net.Conn that counts the bytes read and written.
func (traffic *Traffic) WrapConn(conn net.Conn) net.Conn {
	traffic.connections.Add(1)
	return meteredConn{Conn: conn, traffic: traffic}
}

type meteredConn struct {
	net.Conn
	traffic *Traffic
}

// Read adds the number of bytes read to the received count.
func (meteredConn meteredConn) Read(buffer []byte) (int, error) {
	n, err := meteredConn.Conn.Read(buffer)
	meteredConn.traffic.received.Add(uint64(n))
	return n, err
}

// Write adds the number of bytes written to the sent count.
func (meteredConn meteredConn) Write(buffer []byte) (int, error) {
	n, err := meteredConn.Conn.Write(buffer)
	meteredConn.traffic.sent.Add(uint64(n))
	return n, err
}
