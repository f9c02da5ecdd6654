// Package load sends a mix of requests to entry nodes and measures what comes
// back: time to the first token, time between tokens, refusals and outcomes by
// class.
//
// It is an open loop: requests start on schedule whether or not earlier ones
// have ended, so a slow system cannot slow the load down and look better for
// it. Requests and time are bounded.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Plan{Targets: urls, Rate: 50, Duration: 10 * time.Second, Mix: mix})
package load

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/caller"
)

const (
	requestTimeout = 60 * time.Second
	mostSeconds    = 600
	mostRequests   = 1_000_000
	mostMicros     = 120_000_000
	digits         = 3
)

// Share is one class's part of the mix. FirstToken and BetweenTokens are the
// targets that its answers are held against.
type Share struct {
	Class         string
	Weight        float64
	Workspaces    int
	PromptBytes   int
	MaxTokens     int
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Plan says what to send. From StepAt on the class StepClass is sent StepTimes
// as often.
type Plan struct {
	Targets   []string
	Rate      float64
	Duration  time.Duration
	Mix       []Share
	StepClass string
	StepAt    time.Duration
	StepTimes float64
	Seed      uint64
}

// ClassReport is what came back for one class. Times are in milliseconds.
type ClassReport struct {
	Class            string
	Sent             int
	Whole            int
	InTarget         int
	InTargetShare    float64
	Refused          int
	Failed           int
	RefusedLate      int
	Tokens           int
	FirstTokenP50    float64
	FirstTokenP95    float64
	FirstTokenP99    float64
	BetweenTokensP50 float64
	BetweenTokensP95 float64
	BetweenTokensP99 float64
	Outcomes         map[string]int
}

// Second is what became of the requests that were sent in one second.
type Second struct {
	At       int
	Class    string
	Sent     int
	InTarget int
}

// Report is what came back.
type Report struct {
	Seconds         float64
	TokensPerSecond float64
	Classes         []ClassReport
	Timeline        []Second
}

// Check reports what is wrong with a plan.
func (plan Plan) Check() error {
	switch {
	case len(plan.Targets) == 0:
		return errors.New("name at least one target")
	case plan.Rate <= 0 || plan.Duration <= 0 || plan.Duration > mostSeconds*time.Second:
		return errors.Newf("the rate must be over 0 and the duration at most %d s", mostSeconds)
	case plan.Rate*plan.Duration.Seconds()*max(1, plan.StepTimes) > mostRequests:
		return errors.Newf("that is over %d requests", mostRequests)
	case len(plan.Mix) == 0:
		return errors.New("name at least one class")
	}
	return nil
}

type collector struct {
	mu       sync.Mutex
	classes  map[string]*classCollector
	timeline map[moment]*Second
}

type moment struct {
	at    int
	class string
}

type classCollector struct {
	report  ClassReport
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

// Run sends the plan's requests and waits for all the answers.
func Run(ctx context.Context, plan Plan) (Report, error) {
	if err := plan.Check(); err != nil {
		return Report{}, err
	}
	collector := &collector{classes: map[string]*classCollector{}, timeline: map[moment]*Second{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: requestTimeout}
	random := rand.New(rand.NewPCG(plan.Seed, 1))
	began := time.Now()
	requests := conc.NewWaitGroup()
	for serial, at := 0, time.Duration(0); at < plan.Duration && ctx.Err() == nil; serial++ {
		share, rate := plan.draw(random, at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(began.Add(at)))
		target := plan.Targets[serial%len(plan.Targets)]
		sentAt := int(at.Seconds())
		requests.Go(func() { collector.add(share, sentAt, send(ctx, client, target, share, serial)) })
	}
	requests.Wait()
	client.CloseIdleConnections()
	return collector.report(time.Since(began)), nil
}

// draw chooses the next request's class, and the rate in force at the moment.
func (plan Plan) draw(random *rand.Rand, at time.Duration) (Share, float64) {
	total, normal := 0.0, 0.0
	weights := make([]float64, len(plan.Mix))
	for index, share := range plan.Mix {
		weights[index] = share.Weight
		normal += share.Weight
		if share.Class == plan.StepClass && at >= plan.StepAt {
			weights[index] *= max(1, plan.StepTimes)
		}
		total += weights[index]
	}
	drawn := random.Float64() * total
	for index, weight := range weights {
		if drawn -= weight; drawn < 0 {
			return plan.Mix[index], plan.Rate * total / normal
		}
	}
	return plan.Mix[len(plan.Mix)-1], plan.Rate * total / normal
}

// answer is what one request got.
type answer struct {
	whole   bool
	tokens  int
	first   time.Duration
	gaps    []time.Duration
	slowest time.Duration
	ended   time.Duration
	outcome string
}

func send(ctx context.Context, client *http.Client, target string, share Share, serial int) answer {
	prompt := fmt.Sprintf("request %d ", serial) + strings.Repeat("x", max(0, share.PromptBytes))
	body, err := json.Marshal(map[string]any{
		"messages": []map[string]string{{"role": "user", "content": prompt}}, "stream": true, "max_tokens": share.MaxTokens,
	})
	if err != nil {
		return answer{outcome: "NotSent"}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{outcome: "NotSent"}
	}
	request.Header.Set(caller.HeaderClass, share.Class)
	request.Header.Set(caller.HeaderWorkspace, fmt.Sprintf("workspace-%d", serial%max(1, share.Workspaces)))
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return answer{outcome: "NoAnswer", ended: time.Since(began)}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer{outcome: response.Header.Get(outcome.Header), ended: time.Since(began)}
	}
	return readEvents(response, began)
}

func readEvents(response *http.Response, began time.Time) answer {
	result := answer{outcome: "CutOff"}
	last := began
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		switch {
		case line == "[DONE]":
			result.whole, result.outcome, result.ended = true, string(outcome.Run), now.Sub(began)
			return result
		case strings.HasPrefix(line, `{"error"`):
			result.outcome, result.ended = "ErrorEvent", now.Sub(began)
			return result
		case strings.Contains(line, `"content"`):
			result.token(now, began, last)
			last = now
		}
	}
	result.ended = time.Since(began)
	return result
}

func (answer *answer) token(now, began, last time.Time) {
	answer.tokens++
	if answer.tokens == 1 {
		answer.first = now.Sub(began)
		return
	}
	gap := now.Sub(last)
	answer.gaps = append(answer.gaps, gap)
	answer.slowest = max(answer.slowest, gap)
}

// inTarget holds an answer against its class: the first token in time, and the
// mean time between tokens too.
func (answer *answer) inTarget(share Share) bool {
	if !answer.whole || answer.first > share.FirstToken {
		return false
	}
	if len(answer.gaps) == 0 {
		return true
	}
	total := time.Duration(0)
	for _, gap := range answer.gaps {
		total += gap
	}
	return total/time.Duration(len(answer.gaps)) <= share.BetweenTokens
}

func (collector *collector) add(share Share, sentAt int, answer answer) {
	collector.mu.Lock()
	defer collector.mu.Unlock()
	class, ok := collector.classes[share.Class]
	if !ok {
		class = &classCollector{
			report:  ClassReport{Class: share.Class, Outcomes: map[string]int{}},
			first:   hdrhistogram.New(1, mostMicros, digits),
			between: hdrhistogram.New(1, mostMicros, digits),
		}
		collector.classes[share.Class] = class
	}
	class.add(share, answer)
	second, ok := collector.timeline[moment{sentAt, share.Class}]
	if !ok {
		second = &Second{At: sentAt, Class: share.Class}
		collector.timeline[moment{sentAt, share.Class}] = second
	}
	second.Sent++
	if answer.inTarget(share) {
		second.InTarget++
	}
}

func (class *classCollector) add(share Share, answer answer) {
	class.report.Sent++
	class.report.Tokens += answer.tokens
	class.report.Outcomes[answer.outcome]++
	if answer.inTarget(share) {
		class.report.InTarget++
	}
	switch {
	case answer.whole:
		class.report.Whole++
	case answer.outcome == string(outcome.NotRun):
		class.report.Refused++
		if answer.ended > share.FirstToken {
			class.report.RefusedLate++
		}
	default:
		class.report.Failed++
	}
	if answer.tokens > 0 {
		_ = class.first.RecordValue(answer.first.Microseconds())
	}
	for _, gap := range answer.gaps {
		_ = class.between.RecordValue(max(1, gap.Microseconds()))
	}
}

func (collector *collector) report(took time.Duration) Report {
	collector.mu.Lock()
	defer collector.mu.Unlock()
	report := Report{Seconds: took.Seconds()}
	tokens := 0
	for _, class := range collector.classes {
		line := class.report
		line.InTargetShare = float64(line.InTarget) / float64(max(1, line.Sent))
		line.FirstTokenP50, line.FirstTokenP95, line.FirstTokenP99 = quantiles(class.first)
		line.BetweenTokensP50, line.BetweenTokensP95, line.BetweenTokensP99 = quantiles(class.between)
		report.Classes = append(report.Classes, line)
		tokens += line.Tokens
	}
	report.TokensPerSecond = float64(tokens) / took.Seconds()
	for _, second := range collector.timeline {
		report.Timeline = append(report.Timeline, *second)
	}
	slices.SortFunc(report.Timeline, func(a, b Second) int {
		return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Class, b.Class))
	})
	slices.SortFunc(report.Classes, func(a, b ClassReport) int { return strings.Compare(a.Class, b.Class) })
	return report
}

func quantiles(histogram *hdrhistogram.Histogram) (p50, p95, p99 float64) {
	const microsPerMilli = 1000
	return float64(histogram.ValueAtQuantile(50)) / microsPerMilli,
		float64(histogram.ValueAtQuantile(95)) / microsPerMilli,
		float64(histogram.ValueAtQuantile(99)) / microsPerMilli
}
