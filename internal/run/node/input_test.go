package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/onsi/gomega"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/caller"
	"hazelslip/internal/standin/engine"
	"hazelslip/internal/standin/service"
	"hazelslip/internal/testlib/fleet"
)

// Invalid requests must be rejected with a status, a reason and the outcome NotRun, and the node must keep serving.
func TestBadRequestsAreRefusedWithReason(t *testing.T) {
	const chat = "/v1/chat/completions"
	const validBody = `{"messages":[{"role":"user","content":"x"}],"max_tokens":2}`
	class := http.Header{caller.HeaderClass: {"report"}}
	cases := []struct {
		name, path, body string
		header           http.Header
		status           int
		says             string
	}{
		{"an oversized body", chat, strings.Repeat("x", 2<<20), class, http.StatusRequestEntityTooLarge, "over 1048576 bytes"},
		{"an unknown class", chat, validBody, http.Header{caller.HeaderClass: {"nobody"}}, http.StatusBadRequest, "the classes are: report"},
		{"an unknown model", chat, `{"model":"none",` + validBody[1:], nil, http.StatusNotFound, "no class uses a model"},
		{"the wrong model of a class", chat, `{"model":"none",` + validBody[1:], class, http.StatusBadRequest, "is served by the model"},
		{"bad JSON", chat, `{"messages":`, class, http.StatusBadRequest, "not a chat-completions request"},
		{"no messages", chat, `{}`, class, http.StatusBadRequest, "at least one message"},
		{"too many tokens", chat, strings.Replace(validBody, ":2}", ":100000}", 1), class, http.StatusBadRequest, "max_tokens"},
		{"a repeated class header", chat, validBody, http.Header{caller.HeaderClass: {"report", "report"}}, http.StatusBadRequest, "more than once"},
		{"a repeated key header", "/services/scheduling/slots", "x", http.Header{caller.HeaderIdempotencyKey: {"a", "b"}}, http.StatusBadRequest, "must stand once"},
		{"an empty key", "/services/scheduling/slots", "x", http.Header{caller.HeaderIdempotencyKey: {""}}, http.StatusBadRequest, "must stand once"},
		{"an unknown service", "/services/none/slots", "x", nil, http.StatusNotFound, "there is no service"},
		{"an oversized booking", "/services/scheduling/slots", strings.Repeat("x", 2<<20), http.Header{caller.HeaderIdempotencyKey: {"big"}}, http.StatusRequestEntityTooLarge, "over 1048576 bytes"},
		{"an unknown path", "/v2/none", "x", nil, http.StatusNotFound, "there is nothing at"},
	}
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		for _, testCase := range cases {
			result := running.Call(0, http.MethodPost, testCase.path, testCase.header, testCase.body)
			g.Expect(result.Status).To(gomega.Equal(testCase.status), "%s: %s", testCase.name, result.Text)
			g.Expect(result.Outcome).To(gomega.Equal(outcome.NotRun), testCase.name)
			g.Expect(result.Text).To(gomega.ContainSubstring(testCase.says), testCase.name)
			g.Expect(result.Text).To(gomega.ContainSubstring(`"error"`), testCase.name)
		}
		g.Expect(running.Generate(0, "report", "still here", 3).Complete).To(gomega.BeTrue())
	})
}

// Callers and peers may send slowly, close the connection in mid-request, or send bytes that are no valid message. None
// of them may keep a connection open indefinitely or stop the node, and no incomplete request may be executed.
func TestBrokenConnectionsDoNotStopNode(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		nodeSettings := running.Settings[0]
		dial := running.Network.Dialer("stranger")
		send := func(address, text string, closeAfterwards bool) io.ReadCloser {
			conn, err := dial(context.Background(), "tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = conn.Write([]byte(text))
			if closeAfterwards {
				conn.Close()
			}
			return conn
		}
		slow := send(nodeSettings.Listen.Caller, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", false)
		stuck := send(nodeSettings.Listen.Caller, "POST /services/scheduling/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: stuck\r\nContent-Length: 100\r\n\r\nhalf", false)
		send(nodeSettings.Listen.Caller, "POST /services/scheduling/b HTTP/1.1\r\nHost: x\r\nIdempotency-Key: half\r\nContent-Length: 100\r\n\r\nhalf", true)
		send(nodeSettings.Listen.Peer, "this is no yamux frame at all", true)

		conn, err := dial(context.Background(), "tcp", nodeSettings.Listen.Peer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(conn, config)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, frame := range []string{"\xff\xff\xff\xff\xff\xff\xff\xff\x7f", "\x03\x01\x02\x03", ""} {
			stream, err := session.OpenStream()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = stream.Write([]byte(frame))
			stream.Close()
		}
		time.Sleep(time.Minute)
		session.Close()
		for _, connection := range []io.ReadCloser{slow, stuck} {
			text, _ := io.ReadAll(connection)
			g.Expect(string(text)).To(gomega.Or(gomega.BeEmpty(), gomega.ContainSubstring("HTTP/1.1 4")))
			connection.Close()
		}
		g.Expect(running.Nodes[0].State().Traffic.PeerBadFrames).To(gomega.BeNumerically(">=", 2))
		g.Expect(running.Environment.ExecutionCounter.Executions("stuck") + running.Environment.ExecutionCounter.Executions("half")).To(gomega.BeZero())
		g.Expect(running.Generate(0, "report", "still here", 3).Complete).To(gomega.BeTrue())
	})
}

// Each stream contains a record that cannot be decoded. Every node must skip and count the record, and apply the
// records after it.
func TestUndecodableRecordIsSkipped(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		for _, name := range []string{"Config", "Groups.lakes-a", "Bookings." + "great-lakes"} {
			running.Environment.Log.Append(name, []byte("\xff no record"))
			running.Environment.Log.Append(name, nil)
		}
		running.Environment.Log.Append("Config", fleet.EncodeClassChange(fleet.ClassTarget("later", "drafting", 0.1), 0, "later"))
		time.Sleep(time.Second)
		for _, node := range running.Nodes {
			g.Expect(node.State().Classes.Classes).To(gomega.Equal(2))
			for _, stream := range node.State().Streams {
				g.Expect(stream.Undecodable).To(gomega.BeNumerically(">=", 1), stream.Stream)
			}
		}
		g.Expect(running.BookSlot(1, "after", "x").Outcome).To(gomega.Equal(outcome.Run))
	})
}

// A service refuses a call, executes it but loses the reply, or is slow. The outcome in the response must match what
// the service did: a call that was executed must not be reported as NotRun, nor executed again.
func TestServiceFaultsYieldAccurateOutcomes(t *testing.T) {
	cases := map[string]struct {
		faults   service.Faults
		outcome  outcome.Outcome
		executed int
	}{
		"refuses":                {service.Faults{Refuse: true}, outcome.NotRun, 0},
		"runs and loses replies": {service.Faults{LoseReplies: true}, outcome.Unknown, 1},
		"is slow":                {service.Faults{DelayMs: 5000}, outcome.Run, 1},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
				for _, server := range running.Environment.Services {
					server.SetFaults(testCase.faults)
				}
				g.Expect(running.BookSlot(0, "visit", "x").Outcome).To(gomega.Equal(testCase.outcome))
				g.Expect(running.BookSlot(1, "visit", "x").Outcome).To(gomega.Equal(testCase.outcome))
				g.Expect(running.Environment.ExecutionCounter.Executions("visit")).To(gomega.Equal(testCase.executed))

				before := running.Environment.ExecutionCounter.Total()
				withoutKey := running.Call(0, http.MethodPost, "/services/scheduling/slots", nil, "x")
				g.Expect(withoutKey.Outcome).To(gomega.Equal(testCase.outcome), withoutKey.Text)
				g.Expect(running.Environment.ExecutionCounter.Total() - before).To(gomega.Equal(testCase.executed))
			})
		})
	}
}

// Every engine refuses all drafts. The caller must receive a final response within seconds, with the outcome NotRun and
// a Retry-After header, instead of waiting.
func TestDraftRefusedByAllEnginesFailsFast(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		for _, server := range running.Environment.Engines {
			server.SetFaults(engine.Faults{RefuseDrafts: 1000})
		}
		result := running.Generate(0, "report", "nobody", 5)
		g.Expect(result.Outcome).To(gomega.Equal(outcome.NotRun), fmt.Sprint(result))
		g.Expect(result.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		g.Expect(result.Duration).To(gomega.BeNumerically("<", 6*time.Second))
		running.Environment.Engines[0].SetFaults(engine.Faults{})
	})
}

// While the log is unavailable, a call with a ticket arrives at a node that did not issue the ticket. It must be
// executed once, by the node that did.
func TestTicketIsRunByItsIssuer(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		running.Environment.Log.SetFaults(logOutage)
		time.Sleep(6 * time.Second)
		g.Expect(running.BookSlot(1, "no-ticket", "x").Outcome).To(gomega.Equal(outcome.NotRun))
		ticketResponse := running.Call(0, http.MethodPost, "/tickets", nil, "")
		var decodedTicket caller.Ticket
		g.Expect(json.Unmarshal([]byte(ticketResponse.Text), &decodedTicket)).To(gomega.Succeed())
		ticket := decodedTicket.Key
		for _, index := range []int{1, 0, 1} {
			result := running.BookSlot(index, ticket, "x")
			g.Expect(result.Outcome).To(gomega.Equal(outcome.Run), result.Text)
		}
		g.Expect(running.Environment.ExecutionCounter.Executions(ticket)).To(gomega.Equal(1))
		// Regression: the forwarding node dropped the issuer's Replayed and Conflict flags. A replayed response looked
		// like a new execution, and a different request under the same ticket returned 503 instead of 422.
		g.Expect(running.BookSlot(1, ticket, "x").Header.Get(caller.HeaderReplayed)).To(gomega.Equal("true"))
		g.Expect(running.BookSlot(1, ticket, "another").Status).To(gomega.Equal(http.StatusUnprocessableEntity))

		// After a graceful stop of the issuer, a peer that took over its tickets must reply in its place.
		running.Nodes[0].Stop()
		running.Nodes[0] = nil
		g.Expect(running.BookSlot(1, ticket, "x").Outcome).To(gomega.Equal(outcome.Run))
		g.Expect(running.Environment.ExecutionCounter.Executions(ticket)).To(gomega.Equal(1))
	})
}
