// Package fleet runs whole nodes before stand-ins on a network in memory, for
// tests in virtual time. It is the nodes' own code; only dialling, listening
// and the clock are replaced.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		running := fleet.New(t, fleet.Shape(demo.Shape{...}))
//		running.Start()
//		running.State("urgent", change)
//		answer := running.Draft(0, "urgent", "hello", 10)
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

// Fleet is a running deployment.
type Fleet struct {
	World   *demo.Environment
	Network *network.Network
	Nodes   []*node.Node
	Trees   []settings.Node

	t       *testing.T
	now     clock.Now
	logger  *slog.Logger
	client  *http.Client
	serials uint64
}

// New builds the stand-ins and the nodes' settings; nothing runs yet but the
// stand-ins.
func New(t *testing.T, shape demo.Shape) *Fleet {
	t.Helper()
	wires := network.New()
	world, err := demo.NewEnvironment(demo.Size(shape), demo.Listen(wires.Listen))
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DialContext: wires.Dialer("caller"), DisableKeepAlives: true}
	fleet := &Fleet{
		World: world, Network: wires, t: t, now: clock.Virtual(), Trees: world.Settings(),
		logger: slog.New(slog.NewTextHandler(io.Discard, nil)), client: &http.Client{Transport: transport},
	}
	for index := range fleet.Trees {
		fleet.Trees[index].Stopping = settings.Stopping{NoticeSeconds: 1, DrainSeconds: 60}
	}
	if testing.Verbose() {
		fleet.logger = slog.New(slog.NewTextHandler(t.Output(), &slog.HandlerOptions{Level: slog.LevelInfo}))
	}
	fleet.Nodes = make([]*node.Node, len(fleet.Trees))
	return fleet
}

// Start starts every node.
func (fleet *Fleet) Start() {
	fleet.t.Helper()
	for index := range fleet.Trees {
		fleet.StartNode(index)
	}
}

// StartNode starts one node, as a new incarnation.
func (fleet *Fleet) StartNode(index int) {
	fleet.t.Helper()
	fleet.serials++
	tree := fleet.Trees[index]
	created, err := node.New(
		tree,
		node.Network(fleet.Network.Dialer(tree.Name), fleet.Network.Listen),
		node.Clock(fleet.now), node.Seed(fleet.serials*7919),
		node.Logger(fleet.logger.With("Node", tree.Name)),
	)
	if err != nil {
		fleet.t.Fatal(err)
	}
	created.Start()
	fleet.Nodes[index] = created
}

// Kill ends a node without warning.
func (fleet *Fleet) Kill(index int) {
	fleet.Nodes[index].Kill()
	fleet.Nodes[index] = nil
}

// Stop ends everything. It must be called inside the bubble.
func (fleet *Fleet) Stop() {
	stops := conc.NewWaitGroup()
	for _, running := range fleet.Nodes {
		if running != nil {
			stops.Go(running.Stop)
		}
	}
	stops.Wait()
	fleet.World.Stop()
	fleet.client.CloseIdleConnections()
	// Connections that are closed keep a timer each for a while.
	time.Sleep(2 * time.Minute)
}

// Classes states classes, writing to the log as a node would, and waits until
// each node has them in force.
func (fleet *Fleet) Classes(targets ...*record.ClassTarget) {
	fleet.t.Helper()
	for _, target := range targets {
		fleet.World.Log.Append("Config", ChangeBody(target, 0, "fleet-"+target.Name))
	}
	fleet.Eventually(20*time.Second, "classes in force", func() bool {
		for _, running := range fleet.Nodes {
			if running != nil && len(running.State().Members.Live) > 0 && running.State().Classes.Classes < len(targets) {
				return false
			}
		}
		return true
	})
}

// Target is a class target with values that most tests do not care about.
func Target(name, model string, share float64) *record.ClassTarget {
	return &record.ClassTarget{
		Name: name, Model: model, FirstTokenMs: 2000, BetweenTokensMs: 100, InTargetShare: 0.95,
		Priority: 10, GuaranteedShare: share,
	}
}

// Eventually waits in virtual time until the condition holds.
func (fleet *Fleet) Eventually(within time.Duration, what string, holds func() bool) {
	fleet.t.Helper()
	for waited := time.Duration(0); waited < within; waited += 50 * time.Millisecond {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	fleet.t.Fatalf("not within %s: %s", within, what)
}

// Serving is how many groups of a model a node sees serving.
func (fleet *Fleet) Serving(index int, model string) int {
	count := 0
	for _, group := range fleet.Nodes[index].State().Groups {
		if group.Serving && group.Model == model {
			count++
		}
	}
	return count
}

// Answer is what a caller got.
type Answer struct {
	Status   int
	Outcome  outcome.Outcome
	Text     string
	Whole    bool
	Error    string
	Header   http.Header
	Request  string
	Duration time.Duration
}

// Draft sends a streamed model request to a node and reads its answer.
func (fleet *Fleet) Draft(index int, class, content string, tokens int) Answer {
	body, _ := json.Marshal(map[string]any{
		"messages": []map[string]string{{"role": "user", "content": content}}, "stream": true, "max_tokens": tokens,
	})
	header := http.Header{caller.HeaderClass: {class}}
	answer := fleet.Call(index, http.MethodPost, "/v1/chat/completions", header, string(body))
	if answer.Status != http.StatusOK {
		return answer
	}
	events := answer.Text
	answer.Text = ""
	for _, event := range strings.Split(events, "\n\n") {
		answer.readEvent(strings.TrimPrefix(event, "data: "))
	}
	return answer
}

func (answer *Answer) readEvent(event string) {
	if event == "[DONE]" {
		answer.Whole = true
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
		answer.Text += choice.Delta.Content
	}
	if chunk.Error.Message != "" {
		answer.Error, answer.Outcome = chunk.Error.Message, outcome.Outcome(chunk.Error.Outcome)
	}
}

// Prompt is the prompt that a node makes of a caller's content.
func Prompt(content string) string {
	return "user: " + content + "\n"
}

// Call sends any request to a node.
func (fleet *Fleet) Call(index int, method, path string, header http.Header, body string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+fleet.Trees[index].Listen.Caller+path, strings.NewReader(body))
	if err != nil {
		fleet.t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	began := time.Now()
	response, err := fleet.client.Do(request)
	if err != nil {
		return Answer{Error: err.Error(), Duration: time.Since(began)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	answer := Answer{
		Status: response.StatusCode, Outcome: outcome.Outcome(response.Header.Get(outcome.Header)),
		Text: string(text), Header: response.Header, Request: response.Header.Get(caller.HeaderRequest),
		Duration: time.Since(began),
	}
	if err != nil {
		answer.Error = err.Error()
	}
	return answer
}

// Book makes a call under a key that may not be repeated.
func (fleet *Fleet) Book(index int, key, body string) Answer {
	return fleet.Call(index, http.MethodPost, "/services/"+demo.ServiceName+"/slots", http.Header{caller.HeaderIdempotencyKey: {key}}, body)
}
