package node_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/peer/caller"
	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/node"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/testlib/fleet"
)

const stateBenchPort = 27_000

// manyNodes runs nodes of one data centre over loopback.
func manyNodes(b *testing.B, count int, relay bool) ([]*node.Node, *demo.World) {
	b.Helper()
	world, err := demo.NewWorld(demo.BasePort(stateBenchPort), demo.Size(demo.Shape{
		DataCentres: []string{"bench"}, Nodes: count, Domains: 1, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}))
	if err != nil {
		b.Fatal(err)
	}
	nodes := []*node.Node{}
	b.Cleanup(func() {
		stops := conc.NewWaitGroup()
		for _, running := range nodes {
			stops.Go(running.Stop)
		}
		stops.Wait()
		world.Stop()
	})
	for index, tree := range world.Settings() {
		tree.Stopping = settings.Stopping{DrainSeconds: 1}
		if relay && index > 0 {
			// Nothing listens there: this node has the log from its peers only.
			tree.Platform.LogService = "http://127.0.0.1:1"
		}
		created, err := node.New(tree, node.Logger(slog.New(slog.NewTextHandler(io.Discard, nil))))
		if err != nil {
			b.Fatal(err)
		}
		created.Start()
		nodes = append(nodes, created)
	}
	for range 600 {
		ready := 0
		for _, running := range nodes {
			if running.Ready() == nil {
				ready++
			}
		}
		if ready == count {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	return nodes, world
}

// BenchmarkInForce measures how long a change takes from its append until it
// is in force at each node, from the log and, for all nodes but one, through
// peers alone.
func BenchmarkInForce(b *testing.B) {
	for _, count := range []int{8, 60} {
		for _, relay := range []bool{false, true} {
			name := fmt.Sprintf("%d nodes from the log", count)
			if relay {
				name = fmt.Sprintf("%d nodes through one peer", count)
			}
			b.Run(name, func(b *testing.B) { benchInForce(b, count, relay) })
		}
	}
}

func benchInForce(b *testing.B, count int, relay bool) {
	nodes, world := manyNodes(b, count, relay)
	times := hdrhistogram.New(1, 60_000_000, 3)
	const changes = 5
	for change := range changes {
		name := fmt.Sprintf("class-%d-%d", b.N, change)
		began := time.Now()
		world.Log.Append("Config", fleet.EncodeClassChange(fleet.ClassTarget(name, "drafting", 0.1), 0, name))
		waits := conc.NewWaitGroup()
		spent := make([]time.Duration, count)
		for index, running := range nodes {
			waits.Go(func() {
				for running.InForce(name) == 0 && time.Since(began) < time.Minute {
					time.Sleep(2 * time.Millisecond)
				}
				spent[index] = time.Since(began)
			})
		}
		waits.Wait()
		for _, took := range spent {
			_ = times.RecordValue(took.Microseconds())
		}
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(times.Max())/1000, "max-ms")
}

// BenchmarkBookings measures what a booking adds before its call is sent, and
// how many appends it takes, by rate, with batches and with one append a
// booking (the naive way).
func BenchmarkBookings(b *testing.B) {
	for _, rate := range []int{20, 100, 300} {
		for _, single := range []bool{false, true} {
			name := fmt.Sprintf("%d a second in batches", rate)
			if single {
				name = fmt.Sprintf("%d a second one by one", rate)
			}
			b.Run(name, func(b *testing.B) { benchBookings(b, rate, single) })
		}
	}
}

func benchBookings(b *testing.B, rate int, single bool) {
	nodes, world := manyNodes(b, 2, false)
	for _, running := range nodes {
		running.BookOneByOne(single)
	}
	const seconds = 5
	times := hdrhistogram.New(1, 60_000_000, 3)
	spent := make([]time.Duration, rate*seconds)
	good := make([]bool, rate*seconds)
	before := world.Log.Appends()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	calls := conc.NewWaitGroup()
	for index := range rate * seconds {
		address, _, _ := nodes[index%len(nodes)].Addresses()
		calls.Go(func() {
			request, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/scheduling/slots", strings.NewReader("x"))
			if err != nil {
				return
			}
			request.Header.Set(caller.HeaderKey, fmt.Sprintf("%d-%v-%d-%d", rate, single, b.N, index))
			began := time.Now()
			response, err := client.Do(request)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			spent[index], good[index] = time.Since(began), response.StatusCode == http.StatusOK
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	calls.Wait()
	time.Sleep(2 * time.Second)
	booked := 0
	for index, took := range spent {
		if good[index] {
			booked++
			_ = times.RecordValue(took.Microseconds())
		}
	}
	b.ReportMetric(float64(world.Log.Appends()-before)/float64(max(1, booked)), "appends/booking")
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(booked)/float64(len(spent)), "booked-share")
}
