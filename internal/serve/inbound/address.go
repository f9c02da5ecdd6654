package inbound

import (
	"container/list"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Counts holds the counters of an Address, which only increase.
type Counts struct {
	// HeadsTooLarge, HeadsOutOfMemory and HeadsTooSlow count the heads that were refused, and IdleClosed the connections
	// that were idle for too long.
	HeadsTooLarge, HeadsOutOfMemory, HeadsTooSlow, IdleClosed atomic.Uint64
	// RequestsAmbiguous counts the requests that were refused for a length beside a chunked body.
	RequestsAmbiguous atomic.Uint64
	// ConnsDisplaced counts the connections that gave way to newer ones, ConnsRefused the new ones for which none could.
	ConnsDisplaced, ConnsRefused atomic.Uint64
}

// Address is an address at which clients connect.
type Address struct {
	Name   string
	Counts Counts

	guard    *Guard
	limits   func() Limits
	maxConns int

	mu sync.Mutex
	// conns holds the open connections (*Conn). Those without a request in progress are in the order in which they began
	// to wait for one.
	conns    list.List
	episodes map[Limit]*episode
}

// AddressOption configures an Address.
type AddressOption func(*Address)

// MaxConns sets the maximum number of open connections, 0 for no maximum.
func MaxConns(maxConns int) AddressOption {
	return func(address *Address) { address.maxConns = maxConns }
}

// CurrentLimits sets the function that returns the limits in force. It is called often.
func CurrentLimits(limits func() Limits) AddressOption {
	return func(address *Address) { address.limits = limits }
}

// NewAddress returns an address with default limits and any number of connections, unless the options say otherwise.
func (guard *Guard) NewAddress(name string, options ...AddressOption) *Address {
	address := &Address{Name: name, guard: guard, limits: func() Limits { return Limits{} }, episodes: map[Limit]*episode{}}
	for _, option := range options {
		option(address)
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.addresses = append(guard.addresses, address)
	return address
}

// Timeouts of net/http. They apply if Sweep is not called, and bound what the operator can set.
const (
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = 10 * time.Minute
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Server returns a server for the connections of the address's listener.
func (address *Address) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: checkRequest(handler), ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout,
		ConnState: trackState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		// The messages of net/http are about connections that clients break.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// checkRequest aborts requests whose connection was closed while their head was read, and refuses those that hide
// another one.
func checkRequest(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := request.Context().Value(connKey{}).(*Conn)
		if !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		if !conn.inProgress() {
			panic(http.ErrAbortHandler)
		}
		switch conn.framing.ambiguity(request) {
		case certain:
			conn.address.Counts.RequestsAmbiguous.Add(1)
			writer.Header().Set("Connection", "close")
			writer.WriteHeader(http.StatusBadRequest)
			return
		case possible:
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// trackState tells the connection when a head has been read and when the request has ended.
func trackState(conn net.Conn, state http.ConnState) {
	guarded, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		guarded.beginRequest()
	case http.StateIdle:
		guarded.endRequest()
	case http.StateClosed, http.StateHijacked:
		guarded.reservation.Release()
	}
}

// Listen returns a listener whose connections are bounded.
func (address *Address) Listen(listener net.Listener) net.Listener {
	return &boundedListener{Listener: listener, address: address}
}

type boundedListener struct {
	net.Listener
	address *Address
}

// Accept returns the next connection that is admitted.
func (listener *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		BoundBuffers(accepted)
		if conn := listener.address.admit(accepted); conn != nil {
			return conn, nil
		}
		accepted.Close()
	}
}

// admit returns the new connection, or nil if there are too many and each has a request in progress.
func (address *Address) admit(accepted net.Conn) *Conn {
	conn := &Conn{Conn: accepted, address: address, reservation: address.guard.budget.NewReservation(headAccount, false)}
	address.mu.Lock()
	defer address.mu.Unlock()
	if address.maxConns > 0 && address.conns.Len() >= address.maxConns {
		displaced := address.longestWaitingLocked()
		if displaced == nil {
			address.Counts.ConnsRefused.Add(1)
			address.recordLocked(LimitConns, accepted)
			return nil
		}
		address.Counts.ConnsDisplaced.Add(1)
		address.recordLocked(LimitConns, displaced)
		displaced.refusal = errDisplaced
		_ = displaced.closeLocked()
	}
	conn.waitingSince = address.guard.sweeps.Load()
	conn.element = address.conns.PushBack(conn)
	return conn
}

// longestWaitingLocked returns the connection that has waited longest for a request, or nil.
func (address *Address) longestWaitingLocked() *Conn {
	for element := address.conns.Front(); element != nil; element = element.Next() {
		if conn := element.Value.(*Conn); !conn.serving.Load() {
			return conn
		}
	}
	return nil
}

// expire ends the connections that have waited too long at a sweep.
func (address *Address) expire(now int64) {
	limits := address.limits().OrDefaults()
	elapsed := func(since int64) time.Duration { return time.Duration(now-since-1) * SweepInterval }
	address.mu.Lock()
	defer address.mu.Unlock()
	for element := address.conns.Front(); element != nil; {
		conn := element.Value.(*Conn)
		element = element.Next()
		if conn.serving.Load() || conn.refusal != nil {
			continue
		}
		switch headSince := conn.headSince.Load(); {
		case headSince != 0 && elapsed(headSince) >= limits.HeaderTimeout:
			address.Counts.HeadsTooSlow.Add(1)
			address.recordLocked(LimitHeaderTimeout, conn)
			conn.refusal = errHeadTooSlow
			// The goroutine of the connection wakes up and refuses the request.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		case headSince == 0 && elapsed(conn.waitingSince) >= limits.IdleTimeout:
			address.Counts.IdleClosed.Add(1)
			conn.refusal = errIdle
			_ = conn.closeLocked()
		}
	}
}

func (address *Address) closeWaiting() {
	address.mu.Lock()
	defer address.mu.Unlock()
	for element := address.conns.Front(); element != nil; {
		conn := element.Value.(*Conn)
		element = element.Next()
		if !conn.serving.Load() {
			conn.refusal = errStopping
			_ = conn.closeLocked()
		}
	}
}

var (
	errStopping    = errors.New("the server is stopping")
	errDisplaced   = errors.New("the connection gave way to another one")
	errIdle        = errors.New("the connection was idle for too long")
	errHeadTooSlow = errors.New("the head of the request took too long")
)

// State describes the connections of an address.
type State struct {
	Name string
	// Conns is the number of open connections, InProgress that of those with a request in progress, and ReadingHeads that
	// of those of which a part of a head was read.
	Conns, InProgress, ReadingHeads int
	// MaxConns is the maximum number of connections, 0 for none.
	MaxConns int
	// Refusing lists the limits that refuse clients now.
	Refusing []Episode
}

// State returns the state of each address.
func (guard *Guard) State() []State {
	guard.mu.Lock()
	addresses := guard.addresses
	guard.mu.Unlock()
	states := make([]State, 0, len(addresses))
	for _, address := range addresses {
		states = append(states, address.state())
	}
	return states
}

func (address *Address) state() State {
	address.mu.Lock()
	defer address.mu.Unlock()
	state := State{Name: address.Name, Conns: address.conns.Len(), MaxConns: address.maxConns, Refusing: address.ongoingLocked()}
	for element := address.conns.Front(); element != nil; element = element.Next() {
		conn := element.Value.(*Conn)
		switch {
		case conn.serving.Load():
			state.InProgress++
		case conn.headSince.Load() != 0:
			state.ReadingHeads++
		}
	}
	return state
}
