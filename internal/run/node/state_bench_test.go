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

// startNodes starts nodes of one data centre over loopback and waits until they are ready. With viaPeer, all nodes
// but the first have no access to the log.
func startNodes(b *testing.B, count int, viaPeer bool) ([]*node.Node, *demo.Environment) {
	b.Helper()
	environment, err := demo.NewEnvironment(demo.BasePort(stateBenchPort), demo.Size(demo.Shape{
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
		environment.Stop()
	})
	for index, nodeSettings := range environment.Settings() {
		nodeSettings.Stopping = settings.Stopping{DrainSeconds: 1}
		if viaPeer && index > 0 {
			// Nothing listens at this address, so the node receives the log's records only from its peers.
			nodeSettings.Platform.LogService = "http://127.0.0.1:1"
		}
		created, err := node.New(nodeSettings, node.Logger(slog.New(slog.NewTextHandler(io.Discard, nil))))
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
	return nodes, environment
}

// BenchmarkInForce measures the time from the append of a configuration change until it is in force at each node. In
// one variant all nodes read the log; in the other, all nodes but one receive the change from peers only.
func BenchmarkInForce(b *testing.B) {
	for _, count := range []int{8, 60} {
		for _, viaPeer := range []bool{false, true} {
			name := fmt.Sprintf("%d nodes from the log", count)
			if viaPeer {
				name = fmt.Sprintf("%d nodes through one peer", count)
			}
			b.Run(name, func(b *testing.B) { benchInForce(b, count, viaPeer) })
		}
	}
}

func benchInForce(b *testing.B, count int, viaPeer bool) {
	nodes, environment := startNodes(b, count, viaPeer)
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	const changes = 5
	for change := range changes {
		name := fmt.Sprintf("class-%d-%d", b.N, change)
		start := time.Now()
		environment.Log.Append("Config", fleet.EncodeClassChange(fleet.ClassTarget(name, "drafting", 0.1), 0, name))
		waits := conc.NewWaitGroup()
		elapsed := make([]time.Duration, count)
		for index, running := range nodes {
			waits.Go(func() {
				for running.InForce(name) == 0 && time.Since(start) < time.Minute {
					time.Sleep(2 * time.Millisecond)
				}
				elapsed[index] = time.Since(start)
			})
		}
		waits.Wait()
		for _, latency := range elapsed {
			_ = latencies.RecordValue(latency.Microseconds())
		}
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(latencies.Max())/1000, "max-ms")
}

// BenchmarkBookings measures the latency of bookings and the number of log appends per booking at several rates, with
// batching and, for comparison, with one append per booking.
func BenchmarkBookings(b *testing.B) {
	for _, rate := range []int{20, 100, 300} {
		for _, unbatched := range []bool{false, true} {
			name := fmt.Sprintf("%d a second in batches", rate)
			if unbatched {
				name = fmt.Sprintf("%d a second one by one", rate)
			}
			b.Run(name, func(b *testing.B) { benchBookings(b, rate, unbatched) })
		}
	}
}

func benchBookings(b *testing.B, rate int, unbatched bool) {
	nodes, environment := startNodes(b, 2, false)
	for _, running := range nodes {
		running.DisableBookingBatches(unbatched)
	}
	const seconds = 5
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	elapsed := make([]time.Duration, rate*seconds)
	succeeded := make([]bool, rate*seconds)
	before := environment.Log.Appends()
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
			request.Header.Set(caller.HeaderIdempotencyKey, fmt.Sprintf("%d-%v-%d-%d", rate, unbatched, b.N, index))
			start := time.Now()
			response, err := client.Do(request)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			elapsed[index], succeeded[index] = time.Since(start), response.StatusCode == http.StatusOK
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	calls.Wait()
	time.Sleep(2 * time.Second)
	booked := 0
	for index, latency := range elapsed {
		if succeeded[index] {
			booked++
			_ = latencies.RecordValue(latency.Microseconds())
		}
	}
	b.ReportMetric(float64(environment.Log.Appends()-before)/float64(max(1, booked)), "appends/booking")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(booked)/float64(len(elapsed)), "booked-share")
}
