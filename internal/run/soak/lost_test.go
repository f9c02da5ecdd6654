package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/platform/standin"
)

// Guards against a plan whose faults excuse all cut answers: plans with sound servers have planned work and silences
// only, all kinds of them, and silences that overlap with planned work.
func TestPlansOfSoundServersHaveNoExcuses(t *testing.T) {
	expect := gomega.NewWithT(t)
	seen, groups, sound, workInSilence, overlapping := map[Kind]bool{}, map[string]bool{}, 0, 0, 0
	for seed := range uint64(40) {
		plan := GeneratePlan(seed, 20*time.Second, 4, 24, 3)
		if !plan.SoundServers {
			continue
		}
		sound++
		silentUntil := time.Duration(0)
		for _, fault := range plan.Faults {
			seen[fault.Kind] = true
			switch fault.Kind {
			case ServersSilent:
				groups[fault.Group] = true
				expect.Expect(len(fault.Servers)).To(gomega.BeNumerically(">", 1))
				fallthrough
			case ServerSilent:
				expect.Expect(fault.Duration).To(gomega.And(gomega.BeNumerically(">=", minSilence), gomega.BeNumerically("<=", maxSilence)))
				if fault.At < silentUntil {
					overlapping++
				}
				silentUntil = max(silentUntil, fault.At+fault.Duration)
			default:
				expect.Expect(fault.Kind).To(gomega.BeElementOf(Configure, NodeReload, NodeStop))
				if fault.At < silentUntil {
					workInSilence++
				}
			}
		}
	}
	expect.Expect(sound).To(gomega.Equal(20))
	for _, series := range soundSeries {
		expect.Expect(seen).To(gomega.HaveKey(series.kind))
	}
	for _, group := range []string{"some", "most", "all", "all of data centre 1", "all of data centre 2", "all of data centre 3"} {
		expect.Expect(groups).To(gomega.HaveKey(group))
	}
	expect.Expect(overlapping).To(gomega.BeNumerically(">", 50))
	expect.Expect(workInSilence).To(gomega.BeNumerically(">", 100))
}

// Engines are numbered by domain, so the engines of one data centre follow one another.
func TestServersOfADataCentreAreSilentTogether(t *testing.T) {
	expect := gomega.NewWithT(t)
	engines, plain := standin.ServerIDs(standin.Shape{Domains: domains, Servers: 8, Ledgers: 3})
	for seed := range uint64(40) {
		for _, fault := range GeneratePlan(seed, 20*time.Second, 4, len(engines), len(plain)).Faults {
			if fault.Group != "all of data centre 2" {
				continue
			}
			ids := []string{}
			for _, server := range fault.Servers {
				ids = append(ids, engines[server])
			}
			expect.Expect(ids).To(gomega.Equal(engines[8:16]))
		}
	}
}

// Guards against a silence that breaks something: held data must arrive after it on the same connection, also on one
// that was opened meanwhile.
func TestSilentServersLoseNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	relayed, err := newProxy("127.0.0.1:0", server.Addr().String())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer relayed.stop()
	connect := func() (client, accepted net.Conn) {
		client, err := net.Dial("tcp", relayed.listener.Addr().String())
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		accepted, err = server.Accept()
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		return client, accepted
	}
	receive := func(conn net.Conn, within time.Duration) string {
		expect.Expect(conn.SetReadDeadline(time.Now().Add(within))).To(gomega.Succeed())
		buffer := make([]byte, 4)
		if _, err := io.ReadFull(conn, buffer); err != nil {
			return err.Error()
		}
		return string(buffer)
	}
	send := func(conn net.Conn, text string) {
		_, err := io.WriteString(conn, text)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
	}
	client, accepted := connect()
	defer client.Close()
	send(client, "call")
	expect.Expect(receive(accepted, time.Minute)).To(gomega.Equal("call"))

	begin, end := (&fleet{serverProxies: []*proxy{relayed}}).silenceActions([]int{0})
	begin()
	send(accepted, "held")
	expect.Expect(receive(client, 20*time.Millisecond)).To(gomega.ContainSubstring("timeout"))
	second, secondAccepted := connect()
	defer second.Close()
	send(second, "more")
	expect.Expect(receive(secondAccepted, 20*time.Millisecond)).To(gomega.ContainSubstring("timeout"))
	end()
	expect.Expect(receive(client, time.Minute)).To(gomega.Equal("held"))
	expect.Expect(receive(secondAccepted, time.Minute)).To(gomega.Equal("more"))
}

// Guards against a kind of fault that the check of lost answers takes for another: of all kinds that servers, links,
// nodes and the store may bring, silences and planned work alone excuse nothing.
func TestTimelineKeepsDisruptionsFromSilences(t *testing.T) {
	expect := gomega.NewWithT(t)
	kinds := []Kind{Harmful}
	for _, weighted := range faultWeights {
		kinds = append(kinds, weighted.kind)
	}
	for _, kind := range kinds {
		recorded := timeline{}
		recorded.addFault(Fault{Kind: kind}, time.Second, 2*time.Second, []string{"i-1"})
		switch kind {
		case ServerSilent, ServersSilent:
			expect.Expect(recorded.silences).To(gomega.HaveLen(1), string(kind))
			expect.Expect(recorded.disruptions).To(gomega.BeEmpty(), string(kind))
		case ServerEnd, ServerKill:
			expect.Expect(recorded.failures).To(gomega.HaveLen(1), string(kind))
			expect.Expect(recorded.disruptions).To(gomega.BeEmpty(), string(kind))
		case NodeStop, NodeReload, Configure, PlainDrain, Harmful:
			expect.Expect(recorded.disruptions).To(gomega.BeEmpty(), string(kind))
		default:
			expect.Expect(recorded.disruptions).To(gomega.HaveLen(1), string(kind))
			expect.Expect(recorded.disruptions[0].Until).To(gomega.BeNumerically(">=", 2*time.Second), string(kind))
		}
	}
}

// Guards against a soak that doesn't see answers which are cut beside a configuration version while servers are silent.
func TestCutAnswersAreReported(t *testing.T) {
	expect := gomega.NewWithT(t)
	start, boot := time.Now(), clock.Boot()
	cut := standin.Result{
		Request: standin.Request{ID: "draft-1", Kind: standin.Draft}, At: start, WrittenAt: start.Add(time.Millisecond),
		Duration: time.Second, Status: 200, Received: 3, Failure: "unexpected EOF",
	}
	recorded := timeline{}
	recorded.addPlanned(standin.Configuring, 0, boot, boot)
	recorded.addFault(Fault{Kind: ServersSilent, Servers: []int{1, 2}}, boot, boot+time.Second, nil)
	violations, count := recorded.checkLost([]standin.Result{cut}, standin.Observed{}, start)
	expect.Expect(violations).To(gomega.HaveLen(2))
	expect.Expect(violations[1]).To(gomega.ContainSubstring("draft-1 at node 1 was sent at 0.000 s and cut at 1.000 s after 3 events"))
	expect.Expect(count).To(gomega.Equal(1))

	ran := standin.Observed{Runs: []standin.Run{{ID: "draft-1", Server: "i-1", At: boot}}, Harmful: []standin.HarmfulCall{{Server: "i-1", EndedAt: boot + time.Second/2}}}
	violations, _ = recorded.checkLost([]standin.Result{cut}, ran, start)
	expect.Expect(violations).To(gomega.BeEmpty(), "a harmful request crashed its server")

	recorded.addFault(Fault{Kind: NodeKill}, boot, boot, nil)
	violations, count = recorded.checkLost([]standin.Result{cut}, standin.Observed{}, start)
	expect.Expect(violations).To(gomega.BeEmpty(), "a node was killed")
	expect.Expect(count).To(gomega.Equal(1))
}
