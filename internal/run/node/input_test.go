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

// A caller sends something that is wrong. It must be told what, with an
// outcome, and the node must go on serving.
func TestBadRequestsAreRefusedWithTheReason(t *testing.T) {
	const chat = "/v1/chat/completions"
	const good = `{"messages":[{"role":"user","content":"x"}],"max_tokens":2}`
	class := http.Header{caller.HeaderClass: {"report"}}
	cases := []struct {
		name, path, body string
		header           http.Header
		status           int
		says             string
	}{
		{"an oversized body", chat, strings.Repeat("x", 2<<20), class, http.StatusRequestEntityTooLarge, "over 1048576 bytes"},
		{"an unknown class", chat, good, http.Header{caller.HeaderClass: {"nobody"}}, http.StatusBadRequest, "the classes are: report"},
		{"an unknown model", chat, `{"model":"none",` + good[1:], nil, http.StatusNotFound, "no class uses a model"},
		{"the wrong model of a class", chat, `{"model":"none",` + good[1:], class, http.StatusBadRequest, "is served by the model"},
		{"bad JSON", chat, `{"messages":`, class, http.StatusBadRequest, "not a chat-completions request"},
		{"no messages", chat, `{}`, class, http.StatusBadRequest, "at least one message"},
		{"too many tokens", chat, strings.Replace(good, ":2}", ":100000}", 1), class, http.StatusBadRequest, "max_tokens"},
		{"a class twice", chat, good, http.Header{caller.HeaderClass: {"report", "report"}}, http.StatusBadRequest, "more than once"},
		{"a key twice", "/services/scheduling/slots", "x", http.Header{caller.HeaderKey: {"a", "b"}}, http.StatusBadRequest, "must stand once"},
		{"an empty key", "/services/scheduling/slots", "x", http.Header{caller.HeaderKey: {""}}, http.StatusBadRequest, "must stand once"},
		{"an unknown service", "/services/none/slots", "x", nil, http.StatusNotFound, "there is no service"},
		{"an oversized booking", "/services/scheduling/slots", strings.Repeat("x", 2<<20), http.Header{caller.HeaderKey: {"big"}}, http.StatusRequestEntityTooLarge, "over 1048576 bytes"},
		{"an unknown path", "/v2/none", "x", nil, http.StatusNotFound, "there is nothing at"},
	}
	inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		for _, given := range cases {
			answer := running.Call(0, http.MethodPost, given.path, given.header, given.body)
			g.Expect(answer.Status).To(gomega.Equal(given.status), "%s: %s", given.name, answer.Text)
			g.Expect(answer.Outcome).To(gomega.Equal(outcome.NotRun), given.name)
			g.Expect(answer.Text).To(gomega.ContainSubstring(given.says), given.name)
			g.Expect(answer.Text).To(gomega.ContainSubstring(`"error"`), given.name)
		}
		g.Expect(running.Generate(0, "report", "still here", 3).Complete).To(gomega.BeTrue())
	})
}

// Callers and peers that send slowly, break off half way, or send what is no
// message at all. None may hold a connection for good or stop the node.
func TestBrokenConnectionsDoNoHarm(t *testing.T) {
	inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		tree := running.Settings[0]
		dial := running.Network.Dialer("stranger")
		send := func(address, text string, closing bool) io.ReadCloser {
			conn, err := dial(context.Background(), "tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = conn.Write([]byte(text))
			if closing {
				conn.Close()
			}
			return conn
		}
		slow := send(tree.Listen.Caller, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", false)
		stuck := send(tree.Listen.Caller, "POST /services/scheduling/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: stuck\r\nContent-Length: 100\r\n\r\nhalf", false)
		send(tree.Listen.Caller, "POST /services/scheduling/b HTTP/1.1\r\nHost: x\r\nIdempotency-Key: half\r\nContent-Length: 100\r\n\r\nhalf", true)
		send(tree.Listen.Peer, "this is no yamux frame at all", true)

		conn, err := dial(context.Background(), "tcp", tree.Listen.Peer)
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
		for _, held := range []io.ReadCloser{slow, stuck} {
			text, _ := io.ReadAll(held)
			g.Expect(string(text)).To(gomega.Or(gomega.BeEmpty(), gomega.ContainSubstring("HTTP/1.1 4")))
			held.Close()
		}
		g.Expect(running.Nodes[0].State().Traffic.PeerBadFrames).To(gomega.BeNumerically(">=", 2))
		g.Expect(running.Environment.Book.Executions("stuck") + running.Environment.Book.Executions("half")).To(gomega.BeZero())
		g.Expect(running.Generate(0, "report", "still here", 3).Complete).To(gomega.BeTrue())
	})
}

// A record that nobody can decode stands on each stream. Every node must skip
// and count it, and take what follows.
func TestUndecodableRecordIsSkipped(t *testing.T) {
	inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
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

// A plain service refuses, breaks off after it ran, or is slow. The outcome
// that the caller hears must be what the service really did.
func TestServiceFaultsAreToldTruly(t *testing.T) {
	cases := map[string]struct {
		faults   service.Faults
		outcome  outcome.Outcome
		executed int
	}{
		"refuses":                {service.Faults{Refuse: true}, outcome.NotRun, 0},
		"runs and loses replies": {service.Faults{LoseReplies: true}, outcome.Unknown, 1},
		"is slow":                {service.Faults{DelayMs: 5000}, outcome.Run, 1},
	}
	for name, given := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
				for _, server := range running.Environment.Services {
					server.SetFaults(given.faults)
				}
				g.Expect(running.BookSlot(0, "visit", "x").Outcome).To(gomega.Equal(given.outcome))
				g.Expect(running.BookSlot(1, "visit", "x").Outcome).To(gomega.Equal(given.outcome))
				g.Expect(running.Environment.Book.Executions("visit")).To(gomega.Equal(given.executed))

				before := running.Environment.Book.Total()
				without := running.Call(0, http.MethodPost, "/services/scheduling/slots", nil, "x")
				g.Expect(without.Outcome).To(gomega.Equal(given.outcome), without.Text)
				g.Expect(running.Environment.Book.Total() - before).To(gomega.Equal(given.executed))
			})
		})
	}
}

// Every engine refuses for good. The draft's caller must get a final answer
// soon, with the truth that nothing ran, and not be held.
func TestDraftThatNobodyTakesIsRefusedSoon(t *testing.T) {
	inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		for _, server := range running.Environment.Engines {
			server.SetFaults(engine.Faults{RefuseDrafts: 1000})
		}
		answer := running.Generate(0, "report", "nobody", 5)
		g.Expect(answer.Outcome).To(gomega.Equal(outcome.NotRun), fmt.Sprint(answer))
		g.Expect(answer.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		g.Expect(answer.Duration).To(gomega.BeNumerically("<", 6*time.Second))
		running.Environment.Engines[0].SetFaults(engine.Faults{})
	})
}

// A ticketed call arrives at another node than the one that issued the ticket,
// with the log dark. It must run once, at the issuer.
func TestTicketIsRunByItsIssuer(t *testing.T) {
	inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		running.Environment.Log.SetFaults(darkLog)
		time.Sleep(6 * time.Second)
		g.Expect(running.BookSlot(1, "no-ticket", "x").Outcome).To(gomega.Equal(outcome.NotRun))
		issued := running.Call(0, http.MethodPost, "/tickets", nil, "")
		var issuedTicket caller.Ticket
		g.Expect(json.Unmarshal([]byte(issued.Text), &issuedTicket)).To(gomega.Succeed())
		ticket := issuedTicket.Key
		for _, index := range []int{1, 0, 1} {
			answer := running.BookSlot(index, ticket, "x")
			g.Expect(answer.Outcome).To(gomega.Equal(outcome.Run), answer.Text)
		}
		g.Expect(running.Environment.Book.Executions(ticket)).To(gomega.Equal(1))
		// What the issuer says of a repeated or misused ticket was lost on its
		// way through the other node: a replay looked like a run, and another
		// request under the ticket like an outage (503 instead of 422).
		g.Expect(running.BookSlot(1, ticket, "x").Header.Get(caller.HeaderReplayed)).To(gomega.Equal("true"))
		g.Expect(running.BookSlot(1, ticket, "another").Status).To(gomega.Equal(http.StatusUnprocessableEntity))

		// The issuer stops gracefully; its peer answers for it.
		running.Nodes[0].Stop()
		running.Nodes[0] = nil
		g.Expect(running.BookSlot(1, ticket, "x").Outcome).To(gomega.Equal(outcome.Run))
		g.Expect(running.Environment.Book.Executions(ticket)).To(gomega.Equal(1))
	})
}
