package inbound_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/memory"
	"hazelslip/internal/serve/inbound"
)

// site is a server behind a guard. Its handler responds with the length of the body.
type site struct {
	guard   *inbound.Guard
	bounds  *inbound.Address
	address string
	limits  atomic.Pointer[inbound.Limits]
	handled atomic.Int64
	// release lets the handlers finish, nil for at once.
	release chan struct{}
	// episodes are those reported by Sweep.
	episodes []inbound.Episode
}

func newSite(t *testing.T, budget *memory.Budget, limits inbound.Limits, options ...inbound.AddressOption) *site {
	t.Helper()
	started := &site{}
	started.guard = inbound.New(inbound.Budget(budget), inbound.OnEpisode(func(episode inbound.Episode) { started.episodes = append(started.episodes, episode) }))
	started.limits.Store(&limits)
	started.bounds = started.guard.NewAddress("Callers", append(options, inbound.CurrentLimits(func() inbound.Limits { return *started.limits.Load() }))...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	started.address = listener.Addr().String()
	server := started.bounds.Server(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		started.handled.Add(1)
		body, _ := io.ReadAll(request.Body)
		if started.release != nil {
			<-started.release
		}
		_, _ = fmt.Fprint(writer, len(body))
	}))
	guarded := started.bounds.Listen(listener)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(guarded)
	}()
	t.Cleanup(func() {
		server.Close()
		<-done
	})
	return started
}

// client is a connection to a site.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (site *site) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", site.address)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

// ask sends text and returns the status, the header and the body of the next response, or status 0 without one.
func (client *client) ask(text string) (int, http.Header, string) {
	_, _ = io.WriteString(client, text)
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body)
}

// head returns a request head of a size, made of many short fields.
func head(size, bodyLength int) string {
	text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n", bodyLength)
	fields := strings.Builder{}
	for number := 0; len(text)+fields.Len()+16 < size; number++ {
		fmt.Fprintf(&fields, "%x:\r\n", number)
	}
	text += fields.String()
	return text + "a:" + strings.Repeat("b", size-len(text)-6) + "\r\n\r\n"
}

// A head at the limit must be served with its body, on each request of a connection.
func TestHeadsWithinTheLimitAreServed(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{MaxHeaderBytes: 16 << 10})
	client, body := site.dial(t), strings.Repeat("\n", 1<<20)
	for range 3 {
		text := head(16<<10, len(body))
		expect.Expect(text).To(gomega.HaveLen(16 << 10))
		status, _, answer := client.ask(text + body)
		expect.Expect(status).To(gomega.Equal(200))
		expect.Expect(answer).To(gomega.Equal(fmt.Sprint(len(body))))
	}
}

// Requests that are sent without waiting for answers must be counted one by one.
func TestPipelinedHeadsAreCountedOneByOne(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{MaxHeaderBytes: 4 << 10})
	client := site.dial(t)
	_, _ = io.WriteString(client, strings.Repeat(head(3<<10, 2)+"xy", 50))
	for range 50 {
		status, _, answer := client.ask("")
		expect.Expect(status).To(gomega.Equal(200))
		expect.Expect(answer).To(gomega.Equal("2"))
	}
}

// A head over the limit must be refused before a handler sees it, also if the limit was lowered after the connection
// was opened.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{MaxHeaderBytes: 64 << 10})
	client := site.dial(t)
	status, _, _ := client.ask(head(32<<10, 0))
	expect.Expect(status).To(gomega.Equal(200))
	site.limits.Store(&inbound.Limits{MaxHeaderBytes: 16 << 10})
	status, _, _ = client.ask(head(32<<10, 0))
	expect.Expect(status).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	_, err := client.reader.ReadByte()
	expect.Expect(err).To(gomega.MatchError(io.EOF))
	expect.Expect(site.handled.Load()).To(gomega.Equal(int64(1)))
	expect.Expect(site.bounds.Counts.HeadsTooLarge.Load()).To(gomega.Equal(uint64(1)))
}

// Large heads together must not take more than the budget allows. The refused ones have not run, ordinary requests are
// served beside them, and the memory is given back.
func TestHeadsBeyondTheMemoryBudgetAreRefused(t *testing.T) {
	expect := gomega.NewWithT(t)
	budget := memory.New(4 << 20)
	site := newSite(t, budget, inbound.Limits{MaxHeaderBytes: 16 << 10})
	site.release = make(chan struct{})
	clients, refused := []*client{}, 0
	for range 8 {
		client := site.dial(t)
		_, _ = io.WriteString(client, head(16<<10, 0))
		expect.Eventually(func() uint64 {
			return uint64(site.handled.Load()) + site.bounds.Counts.HeadsOutOfMemory.Load()
		}).Should(gomega.Equal(uint64(len(clients) + refused + 1)))
		if int(site.bounds.Counts.HeadsOutOfMemory.Load()) == refused {
			clients = append(clients, client)
			continue
		}
		refused++
		status, header, _ := client.ask("")
		expect.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		expect.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	}
	expect.Expect(refused).To(gomega.BeNumerically(">", 0))
	expect.Expect(clients).NotTo(gomega.BeEmpty())
	held, _, _ := budget.Totals()
	expect.Expect(held).To(gomega.BeNumerically("<=", 2<<20))
	ordinary := site.dial(t)
	_, _ = io.WriteString(ordinary, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	expect.Eventually(site.handled.Load).Should(gomega.Equal(int64(len(clients) + 1)))
	close(site.release)
	for _, client := range append(clients, ordinary) {
		status, _, _ := client.ask("")
		expect.Expect(status).To(gomega.Equal(200))
	}
	expect.Eventually(func() int64 {
		held, _, _ := budget.Totals()
		return held
	}).Should(gomega.BeZero())
}

// A refusal must reach a client that is still sending.
func TestRefusalReachesClientThatSends(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{MaxHeaderBytes: 16 << 10})
	for range 20 {
		client := site.dial(t)
		_ = client.SetDeadline(time.Now().Add(time.Minute))
		status, _, _ := client.ask(head(128<<10, 0))
		expect.Expect(status).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	}
}

// sweep calls Sweep as often as it is called in a span of time.
func (site *site) sweep(span time.Duration) {
	for range span / inbound.SweepInterval {
		site.guard.Sweep()
	}
}

// waiting returns the number of connections without a request in progress.
func (site *site) waiting() int {
	state := site.guard.State()[0]
	return state.Conns - state.InProgress
}

const ordinaryRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Beyond the maximum, the connection that has waited longest for a request must give way, whether it has sent nothing, a
// part of a head or earlier requests. A connection with a request in progress must not.
func TestLongestWaitingConnectionGivesWay(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{}, inbound.MaxConns(4))
	site.release = make(chan struct{}, 1)
	busy := site.dial(t)
	_, _ = io.WriteString(busy, ordinaryRequest)
	expect.Eventually(site.handled.Load).Should(gomega.Equal(int64(1)))
	silent, half, reused := site.dial(t), site.dial(t), site.dial(t)
	_, _ = io.WriteString(half, "GET / HT")
	expect.Eventually(site.waiting).Should(gomega.Equal(3))
	served := func(client *client, text string) {
		t.Helper()
		site.release <- struct{}{}
		status, _, _ := client.ask(text)
		expect.Expect(status).To(gomega.Equal(200))
	}
	// The busy request is answered first and its connection is used again, so that it is no longer the oldest.
	served(busy, "")
	_, _ = io.WriteString(busy, ordinaryRequest)
	expect.Eventually(site.handled.Load).Should(gomega.Equal(int64(2)))
	for _, displaced := range []*client{silent, half} {
		newer := site.dial(t)
		_, err := displaced.reader.ReadByte()
		expect.Expect(err).To(gomega.HaveOccurred())
		expect.Eventually(site.waiting).Should(gomega.Equal(3))
		_ = newer
	}
	expect.Expect(site.bounds.Counts.ConnsDisplaced.Load()).To(gomega.Equal(uint64(2)))
	served(busy, "")
	served(reused, ordinaryRequest)
}

// If each connection has a request in progress, a new one must be closed, and the requests go on.
func TestConnectionsInProgressAreNotDisplaced(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{}, inbound.MaxConns(3))
	site.release = make(chan struct{})
	clients := []*client{}
	for range 3 {
		client := site.dial(t)
		_, _ = io.WriteString(client, ordinaryRequest)
		clients = append(clients, client)
		expect.Eventually(site.handled.Load).Should(gomega.Equal(int64(len(clients))))
	}
	for range 5 {
		_, err := site.dial(t).reader.ReadByte()
		expect.Expect(err).To(gomega.HaveOccurred())
	}
	expect.Expect(site.bounds.Counts.ConnsRefused.Load()).To(gomega.Equal(uint64(5)))
	close(site.release)
	for _, client := range clients {
		status, _, _ := client.ask("")
		expect.Expect(status).To(gomega.Equal(200))
	}
	status, _, _ := clients[0].ask(ordinaryRequest)
	expect.Expect(status).To(gomega.Equal(200))
}

// A head that takes too long must be refused with 408. The time counts from its first byte, and a lowered limit applies to
// open connections.
func TestSlowHeadsAreRefused(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{HeaderTimeout: 30 * time.Second, IdleTimeout: time.Hour})
	slow, silent := site.dial(t), site.dial(t)
	status, _, _ := slow.ask(ordinaryRequest)
	expect.Expect(status).To(gomega.Equal(200))
	site.sweep(10 * time.Second)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\n")
	expect.Eventually(func() int { return site.guard.State()[0].ReadingHeads }).Should(gomega.Equal(1))
	site.sweep(10 * time.Second)
	expect.Expect(site.bounds.Counts.HeadsTooSlow.Load()).To(gomega.BeZero())
	site.limits.Store(&inbound.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: time.Hour})
	site.sweep(time.Second)
	status, _, _ = slow.ask("")
	expect.Expect(status).To(gomega.Equal(http.StatusRequestTimeout))
	expect.Expect(site.handled.Load()).To(gomega.Equal(int64(1)))
	status, _, _ = silent.ask(ordinaryRequest)
	expect.Expect(status).To(gomega.Equal(200))
}

// A connection must be closed after the idle time, and not within four fifths of it.
func TestIdleConnectionsAreClosed(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{IdleTimeout: 15 * time.Second})
	client := site.dial(t)
	for range 3 {
		status, _, _ := client.ask(ordinaryRequest)
		expect.Expect(status).To(gomega.Equal(200))
		expect.Eventually(site.waiting).Should(gomega.Equal(1))
		site.sweep(12 * time.Second)
	}
	site.sweep(5 * time.Second)
	_, err := client.reader.ReadByte()
	expect.Expect(err).To(gomega.MatchError(io.EOF))
	expect.Expect(site.bounds.Counts.IdleClosed.Load()).To(gomega.Equal(uint64(1)))
}

// A limit that refuses clients must be reported once when that begins and once when it has ended.
func TestEpisodesAreReportedOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{MaxHeaderBytes: 1 << 10})
	site.sweep(time.Minute)
	expect.Expect(site.episodes).To(gomega.BeEmpty())
	for range 3 {
		status, _, _ := site.dial(t).ask(head(16<<10, 0))
		expect.Expect(status).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
		site.sweep(2 * time.Second)
	}
	site.sweep(time.Minute)
	expect.Expect(site.episodes).To(gomega.Equal([]inbound.Episode{
		{Address: "Callers", Limit: inbound.LimitHeaderBytes, Refused: 1, Hosts: 1},
		{Address: "Callers", Limit: inbound.LimitHeaderBytes, Ended: true, Refused: 3, Hosts: 1},
	}))
}

// A server that shuts down must end the connections of which a part of a head was read, and let requests in progress end.
func TestCloseWaitingSparesRequestsInProgress(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{})
	site.release = make(chan struct{})
	busy, half := site.dial(t), site.dial(t)
	_, _ = io.WriteString(busy, ordinaryRequest)
	_, _ = io.WriteString(half, "GET / HT")
	expect.Eventually(site.handled.Load).Should(gomega.Equal(int64(1)))
	expect.Eventually(func() int { return site.guard.State()[0].ReadingHeads }).Should(gomega.Equal(1))
	site.guard.CloseWaiting()
	_, err := half.reader.ReadByte()
	expect.Expect(err).To(gomega.HaveOccurred())
	close(site.release)
	status, _, _ := busy.ask("")
	expect.Expect(status).To(gomega.Equal(200))
}

// A request with a length beside a chunked body must not let the request after it through, wherever the reads of the
// connection are split, and whether the request came alone or was sent behind another one.
func TestRequestsWithLengthAndChunksAreRefused(t *testing.T) {
	expect := gomega.NewWithT(t)
	ambiguous := "POST / HTTP/1.1\r\nHost: a\r\ncontent-LENGTH: 45\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + ordinaryRequest
	for split := range len(ambiguous) {
		site := newSite(t, memory.New(0), inbound.Limits{})
		client := site.dial(t)
		_, _ = io.WriteString(client, ambiguous[:split])
		if split%8 == 0 {
			time.Sleep(time.Millisecond)
		}
		status, _, _ := client.ask(ambiguous[split:])
		expect.Expect(status).To(gomega.Equal(http.StatusBadRequest))
		status, _, _ = client.ask("")
		expect.Expect(status).To(gomega.BeZero())
		expect.Expect(site.handled.Load()).To(gomega.BeZero())
	}
	site := newSite(t, memory.New(0), inbound.Limits{})
	client := site.dial(t)
	first := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy"
	status, _, _ := client.ask(first + ambiguous)
	expect.Expect(status).To(gomega.Equal(200))
	_, _, _ = client.ask("")
	status, _, _ = client.ask("")
	expect.Expect(status).To(gomega.BeZero())
	expect.Expect(site.handled.Load()).To(gomega.BeNumerically("<=", 2))
}

// Requests with chunked bodies must keep their connection, as must those of callers that send a length.
func TestChunkedRequestsKeepTheirConnection(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(0), inbound.Limits{})
	client := site.dial(t)
	for range 5 {
		status, _, answer := client.ask("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n")
		expect.Expect(status).To(gomega.Equal(200))
		expect.Expect(answer).To(gomega.Equal("2"))
		status, _, answer = client.ask("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz")
		expect.Expect(status).To(gomega.Equal(200))
		expect.Expect(answer).To(gomega.Equal("3"))
	}
}

// Ordinary heads must be accepted when nothing is left of the budget, and large ones must not.
func TestOrdinaryHeadsNeedNoBudget(t *testing.T) {
	expect := gomega.NewWithT(t)
	site := newSite(t, memory.New(1), inbound.Limits{})
	status, _, _ := site.dial(t).ask("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X-Field: 9c41d07be2a35f689c41d07be2a35f68\r\n", 20) + "\r\n")
	expect.Expect(status).To(gomega.Equal(200))
	status, _, _ = site.dial(t).ask(head(16<<10, 0))
	expect.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
}
