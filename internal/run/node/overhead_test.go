package node_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/peer/caller"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/node"
	"hazelslip/internal/run/settings"
	standin "hazelslip/internal/standin/engine"
	"hazelslip/internal/testlib/fleet"
)

const benchPort = 23_000

// startNodeOnLoopback starts one node and two groups of stand-in engines, connected over loopback sockets.
func startNodeOnLoopback(b *testing.B) (*node.Node, *demo.Environment) {
	b.Helper()
	// The engines have capacity for a thousand concurrent drafts, so that the benchmark measures the node.
	rates := standin.Rates{Step: 10 * time.Millisecond, StepPerRequest: 20 * time.Microsecond, PrefillPerSecond: 1_000_000, Concurrency: 600}
	environment, err := demo.NewEnvironment(demo.BasePort(benchPort), demo.Speed(rates), demo.Size(demo.Shape{
		DataCentres: []string{"bench"}, Nodes: 1, Domains: 1, Engines: 8,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}))
	if err != nil {
		b.Fatal(err)
	}
	nodeSettings := environment.Settings()[0]
	nodeSettings.Stopping = settings.Stopping{DrainSeconds: 1}
	running, err := node.New(nodeSettings, node.Logger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	if err != nil {
		b.Fatal(err)
	}
	running.Start()
	environment.Log.Append("Config", fleet.EncodeClassChange(fleet.ClassTarget("report", "drafting", 1), 0, "bench"))
	for range 200 {
		if groups := running.State().Groups; len(groups) == 2 && groups[0].Serving && groups[1].Serving {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	b.Cleanup(func() {
		running.Stop()
		environment.Stop()
	})
	return running, environment
}

// draftFromEngine requests a draft from an engine directly and returns the time to its first token.
func draftFromEngine(ctx context.Context, client *engine.Client, group uint64, address string, tokens int) (first time.Duration, err error) {
	start := time.Now()
	stream, err := client.Generate(ctx, address, engine.GenerateRequest{Group: group, Attempt: 1, Model: "drafting", Prompt: "bench", MaxTokens: tokens})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	for {
		piece, err := stream.Next()
		if err != nil || piece.End {
			return first, err
		}
		if first == 0 {
			first = time.Since(start)
		}
	}
}

// draftThroughNode requests a draft through a node. It returns the time to the first token and the number of tokens.
func draftThroughNode(client *http.Client, address string, tokens int) (first time.Duration, count int, err error) {
	body, err := json.Marshal(map[string]any{"messages": []map[string]string{{"role": "user", "content": "bench"}}, "stream": true, "max_tokens": tokens})
	if err != nil {
		return 0, 0, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set(caller.HeaderClass, "report")
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), `"content"`) {
			continue
		}
		if count++; count == 1 {
			first = time.Since(start)
		}
	}
	return first, count, scanner.Err()
}

// BenchmarkFirstToken sends drafts of one token alternately to the engine and through the node, so that both run under
// the same conditions. It reports the difference and the ratio of the times to the first token.
func BenchmarkFirstToken(b *testing.B) {
	running, _ := startNodeOnLoopback(b)
	address, _, _ := running.Addresses()
	group := running.State().Groups[0]
	engines, client := engine.New(), &http.Client{}
	defer engines.Close()
	defer client.CloseIdleConnections()
	engineLatency, nodeLatency := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	b.ResetTimer()
	for range b.N {
		first, err := draftFromEngine(context.Background(), engines, group.Number, group.Members[0], 1)
		if err != nil {
			b.Fatal(err)
		}
		_ = engineLatency.RecordValue(first.Microseconds())
		if first, _, err = draftThroughNode(client, address, 1); err != nil {
			b.Fatal(err)
		}
		_ = nodeLatency.RecordValue(first.Microseconds())
	}
	for name, quantile := range map[string]float64{"p50": 50, "p99": 99} {
		engineTime, nodeTime := float64(engineLatency.ValueAtQuantile(quantile)), float64(nodeLatency.ValueAtQuantile(quantile))
		b.ReportMetric(nodeTime-engineTime, name+"-added-us")
		b.ReportMetric(nodeTime/engineTime, name+"-ratio")
	}
}

// BenchmarkStreams runs a thousand concurrent drafts of 200 tokens through one node. It reports the throughput, the
// allocations per token, the peak memory and the number of complete drafts per thousand. Allocations and memory are
// those of the whole process, including stand-ins and callers.
func BenchmarkStreams(b *testing.B) {
	const streams, tokens = 1000, 200
	running, _ := startNodeOnLoopback(b)
	address, _, _ := running.Addresses()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	totalTokens, completed, peakMemory := 0, 0, uint64(0)
	b.ResetTimer()
	start := time.Now()
	for range b.N {
		counts := make([]int, streams)
		callers := conc.NewWaitGroup()
		for index := range streams {
			callers.Go(func() { _, counts[index], _ = draftThroughNode(client, address, tokens) })
		}
		time.Sleep(500 * time.Millisecond)
		runtime.ReadMemStats(&after)
		peakMemory = max(peakMemory, after.HeapAlloc+after.StackInuse)
		callers.Wait()
		for _, count := range counts {
			totalTokens += count
			if count == tokens {
				completed++
			}
		}
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(totalTokens)/time.Since(start).Seconds(), "tokens/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(max(1, totalTokens)), "allocs/token")
	b.ReportMetric(float64(peakMemory)/1e6, "MB-most")
	b.ReportMetric(float64(completed)/float64(b.N), "whole/1000")
}
