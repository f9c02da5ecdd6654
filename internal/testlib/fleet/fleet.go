// Package fleet runs complete nodes against simulated backends on an in-memory network, for tests in virtual time. The
// nodes run their production code; only dialing, listening and the clock are replaced.
//
// # Usage
//
//	fleet.Bubble(t, func(t *testing.T) {
//		running := fleet.New(t, demo.Shape{...})
//		running.Start()
//		running.ApplyClasses(fleet.ClassTarget("urgent", "model", 0.5))
//		result := running.Generate(0, "urgent", "hello", 10)
//		running.Stop()
//	})
package fleet

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/caller"
	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/node"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/testlib/network"
	"hazelslip/internal/wire/record"
)

// Fleet holds the nodes of a test deployment with their environment, network and settings. Nodes has a nil entry for
// each node that is not running.
type Fleet struct {
	Environment *demo.Environment
	Network     *network.Network
	Nodes       []*node.Node
	Settings    []settings.Node

	t   *testing.T
	now clock.Now
	// jumped is how far the clock of the nodes is ahead of the time of the bubble.
	jumped     atomic.Int64
	logger     *slog.Logger
	client     *http.Client
	nodeStarts uint64
}

// New starts the simulated environment and prepares the settings of the nodes. The nodes start with Start or StartNode.
func New(t *testing.T, shape demo.Shape) *Fleet {
	t.Helper()
	memoryNetwork := network.New()
	environment, err := demo.NewEnvironment(demo.Size(shape), demo.Listen(memoryNetwork.Listen))
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DialContext: memoryNetwork.Dialer("caller"), DisableKeepAlives: true}
	fleet := &Fleet{
		Environment: environment, Network: memoryNetwork, t: t, Settings: environment.Settings(),
		logger: slog.New(slog.NewTextHandler(io.Discard, nil)), client: &http.Client{Transport: transport},
	}
	virtual := clock.Virtual()
	fleet.now = func() time.Duration { return virtual() + time.Duration(fleet.jumped.Load()) }
	for index := range fleet.Settings {
		fleet.Settings[index].Stopping = settings.Stopping{NoticeSeconds: 1, DrainSeconds: 60}
	}
	if testing.Verbose() {
		fleet.logger = slog.New(slog.NewTextHandler(t.Output(), &slog.HandlerOptions{Level: slog.LevelInfo}))
	}
	fleet.Nodes = make([]*node.Node, len(fleet.Settings))
	return fleet
}

// Start starts every node.
func (fleet *Fleet) Start() {
	fleet.t.Helper()
	for index := range fleet.Settings {
		fleet.StartNode(index)
	}
}

// StartNode starts one node as a new incarnation.
func (fleet *Fleet) StartNode(index int) {
	fleet.t.Helper()
	fleet.nodeStarts++
	nodeSettings := fleet.Settings[index]
	created, err := node.New(
		nodeSettings,
		node.Network(fleet.Network.Dialer(nodeSettings.Name), fleet.Network.Listen),
		node.Clock(fleet.now), node.Seed(fleet.nodeStarts*7919),
		node.Logger(fleet.logger.With("Node", nodeSettings.Name)),
	)
	if err != nil {
		fleet.t.Fatal(err)
	}
	created.Start()
	fleet.Nodes[index] = created
}

// Kill stops a node without a graceful shutdown.
func (fleet *Fleet) Kill(index int) {
	fleet.Nodes[index].Kill()
	fleet.Nodes[index] = nil
}

// JumpClock moves the clock of all nodes on, as it is for processes that were stopped for that span.
func (fleet *Fleet) JumpClock(span time.Duration) {
	fleet.jumped.Add(int64(span))
}

// Stop stops the nodes and the environment. Stop must be called inside the bubble.
func (fleet *Fleet) Stop() {
	stops := conc.NewWaitGroup()
	for _, running := range fleet.Nodes {
		if running != nil {
			stops.Go(running.Stop)
		}
	}
	stops.Wait()
	fleet.Environment.Stop()
	fleet.client.CloseIdleConnections()
	// Each closed connection keeps a timer for some time. The bubble ends only after these timers have expired.
	time.Sleep(2 * time.Minute)
}

// ApplyClasses appends the class targets to the log, as a node does, and waits until every running node applies them.
func (fleet *Fleet) ApplyClasses(targets ...*record.ClassTarget) {
	fleet.t.Helper()
	for _, target := range targets {
		fleet.Environment.Log.Append("Config", EncodeClassChange(target, 0, "fleet-"+target.Name))
	}
	fleet.Eventually(20*time.Second, "all running nodes apply the classes", func() bool {
		for _, running := range fleet.Nodes {
			if running != nil && len(running.State().Members.Live) > 0 && running.State().Classes.Classes < len(targets) {
				return false
			}
		}
		return true
	})
}

// ClassTarget returns a class target with default values for the fields that most tests do not depend on.
func ClassTarget(name, model string, share float64) *record.ClassTarget {
	return &record.ClassTarget{
		Name: name, Model: model, FirstTokenMs: 2000, BetweenTokensMs: 100, InTargetShare: 0.95,
		Priority: 10, GuaranteedShare: share,
	}
}

// Eventually polls the condition in virtual time and fails the test if the condition does not hold within the limit.
func (fleet *Fleet) Eventually(within time.Duration, description string, holds func() bool) {
	fleet.t.Helper()
	for waited := time.Duration(0); waited < within; waited += 50 * time.Millisecond {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	fleet.t.Fatalf("condition did not hold within %s: %s", within, description)
}

// ServingGroups returns the number of groups of a model that are serving according to a node.
func (fleet *Fleet) ServingGroups(index int, model string) int {
	count := 0
	for _, group := range fleet.Nodes[index].State().Groups {
		if group.Serving && group.Model == model {
			count++
		}
	}
	return count
}

// Result is the response to one request as the caller received it. Complete is set if a stream ended with [DONE].
type Result struct {
	Status    int
	Outcome   outcome.Outcome
	Text      string
	Complete  bool
	Error     string
	Header    http.Header
	RequestID string
	Duration  time.Duration
}

// Generate sends a streamed chat completion request to a node and reads the response.
func (fleet *Fleet) Generate(index int, class, content string, tokens int) Result {
	body, _ := json.Marshal(map[string]any{
		"messages": []map[string]string{{"role": "user", "content": content}}, "stream": true, "max_tokens": tokens,
	})
	header := http.Header{caller.HeaderClass: {class}}
	result := fleet.Call(index, http.MethodPost, "/v1/chat/completions", header, string(body))
	if result.Status != http.StatusOK {
		return result
	}
	events := result.Text
	result.Text = ""
	for _, event := range strings.Split(events, "\n\n") {
		result.readEvent(strings.TrimPrefix(event, "data: "))
	}
	return result
}

func (result *Result) readEvent(event string) {
	if event == "[DONE]" {
		result.Complete = true
		return
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error struct {
			Message string `json:"message"`
			Outcome string `json:"hazelslip_outcome"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(event), &chunk) != nil {
		return
	}
	for _, choice := range chunk.Choices {
		result.Text += choice.Delta.Content
	}
	if chunk.Error.Message != "" {
		result.Error, result.Outcome = chunk.Error.Message, outcome.Outcome(chunk.Error.Outcome)
	}
}

// Prompt returns the prompt that a node builds from the content of a user message.
func Prompt(content string) string {
	return "user: " + content + "\n"
}

// Call sends a request to the caller address of a node and reads the response.
func (fleet *Fleet) Call(index int, method, path string, header http.Header, body string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+fleet.Settings[index].Listen.Caller+path, strings.NewReader(body))
	if err != nil {
		fleet.t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	sentAt := time.Now()
	response, err := fleet.client.Do(request)
	if err != nil {
		return Result{Error: err.Error(), Duration: time.Since(sentAt)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	result := Result{
		Status: response.StatusCode, Outcome: outcome.Outcome(response.Header.Get(outcome.Header)),
		Text: string(text), Header: response.Header, RequestID: response.Header.Get(caller.HeaderRequest),
		Duration: time.Since(sentAt),
	}
	if err != nil {
		result.Error = err.Error()
	}
	return result
}

// BookSlot calls the simulated service with an idempotency key. The node must run such a call at most once.
func (fleet *Fleet) BookSlot(index int, key, body string) Result {
	return fleet.Call(index, http.MethodPost, "/services/"+demo.ServiceName+"/slots", http.Header{caller.HeaderIdempotencyKey: {key}}, body)
}
