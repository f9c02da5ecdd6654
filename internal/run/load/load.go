// Package load sends a mix of requests to entry nodes and measures, for each
// class, the time to the first token, the time between tokens, refusals and
// outcomes.
//
// The load is an open loop: requests start on schedule whether or not earlier
// requests have ended. A slow system therefore cannot reduce the load and
// improve its own figures. The number of requests and the duration are bounded.
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
	requestTimeout    = 60 * time.Second
	maxSeconds        = 600
	maxRequests       = 1_000_000
	maxMicroseconds   = 120_000_000
	significantDigits = 3
)

// ClassSpec describes the requests of one class in the mix. FirstToken and
// BetweenTokens are the latency targets of the class.
type ClassSpec struct {
	Class         string
	Weight        float64
	Workspaces    int
	PromptBytes   int
	MaxTokens     int
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Plan describes the load. Rate is in requests per second over all classes. From StepAt on, the rate of the class StepClass is
// multiplied by StepTimes.
type Plan struct {
	Targets   []string
	Rate      float64
	Duration  time.Duration
	Mix       []ClassSpec
	StepClass string
	StepAt    time.Duration
	StepTimes float64
	Seed      uint64
}

// ClassReport holds the measurements of one class. Times are in milliseconds. Whole counts
// complete responses, Refused counts requests that the system reported as not run, and RefusedLate
// counts those of them that took longer than the first-token target.
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

// Second counts the requests of one class that were sent in second At of the run.
type Second struct {
	At       int
	Class    string
	Sent     int
	InTarget int
}

// Report holds the measurements of a run.
type Report struct {
	Seconds         float64
	TokensPerSecond float64
	Classes         []ClassReport
	Timeline        []Second
}

// Check validates the plan.
func (plan Plan) Check() error {
	switch {
	case len(plan.Targets) == 0:
		return errors.New("the plan has no targets")
	case plan.Rate <= 0 || plan.Duration <= 0 || plan.Duration > maxSeconds*time.Second:
		return errors.Newf("the rate and the duration must be greater than 0, and the duration at most %d s", maxSeconds)
	case plan.Rate*plan.Duration.Seconds()*max(1, plan.StepTimes) > maxRequests:
		return errors.Newf("the plan would send more than %d requests", maxRequests)
	case len(plan.Mix) == 0:
		return errors.New("the plan has no classes")
	}
	return nil
}

type collector struct {
	mu       sync.Mutex
	classes  map[string]*classCollector
	timeline map[timelineKey]*Second
}

type timelineKey struct {
	at    int
	class string
}

type classCollector struct {
	report        ClassReport
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

// Run sends the requests of the plan and waits for all responses.
func Run(ctx context.Context, plan Plan) (Report, error) {
	if err := plan.Check(); err != nil {
		return Report{}, err
	}
	collector := &collector{classes: map[string]*classCollector{}, timeline: map[timelineKey]*Second{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: requestTimeout}
	random := rand.New(rand.NewPCG(plan.Seed, 1))
	start := time.Now()
	requests := conc.NewWaitGroup()
	for number, at := 0, time.Duration(0); at < plan.Duration && ctx.Err() == nil; number++ {
		spec, rate := plan.pickClass(random, at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		target := plan.Targets[number%len(plan.Targets)]
		sentAt := int(at.Seconds())
		requests.Go(func() { collector.add(spec, sentAt, sendRequest(ctx, client, target, spec, number)) })
	}
	requests.Wait()
	client.CloseIdleConnections()
	return collector.report(time.Since(start)), nil
}

// pickClass picks the class of the next request at random, and returns the request rate at this time.
func (plan Plan) pickClass(random *rand.Rand, elapsed time.Duration) (ClassSpec, float64) {
	totalWeight, baseWeight := 0.0, 0.0
	weights := make([]float64, len(plan.Mix))
	for index, spec := range plan.Mix {
		weights[index] = spec.Weight
		baseWeight += spec.Weight
		if spec.Class == plan.StepClass && elapsed >= plan.StepAt {
			weights[index] *= max(1, plan.StepTimes)
		}
		totalWeight += weights[index]
	}
	remaining := random.Float64() * totalWeight
	for index, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return plan.Mix[index], plan.Rate * totalWeight / baseWeight
		}
	}
	return plan.Mix[len(plan.Mix)-1], plan.Rate * totalWeight / baseWeight
}

// result is the measured outcome of one request.
type result struct {
	complete   bool
	tokens     int
	firstToken time.Duration
	tokenGaps  []time.Duration
	longestGap time.Duration
	elapsed    time.Duration
	outcome    string
}

func sendRequest(ctx context.Context, client *http.Client, target string, spec ClassSpec, number int) result {
	prompt := fmt.Sprintf("request %d ", number) + strings.Repeat("x", max(0, spec.PromptBytes))
	body, err := json.Marshal(map[string]any{
		"messages": []map[string]string{{"role": "user", "content": prompt}}, "stream": true, "max_tokens": spec.MaxTokens,
	})
	if err != nil {
		return result{outcome: "NotSent"}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return result{outcome: "NotSent"}
	}
	request.Header.Set(caller.HeaderClass, spec.Class)
	request.Header.Set(caller.HeaderWorkspace, fmt.Sprintf("workspace-%d", number%max(1, spec.Workspaces)))
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return result{outcome: "NoAnswer", elapsed: time.Since(start)}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return result{outcome: response.Header.Get(outcome.Header), elapsed: time.Since(start)}
	}
	return readEvents(response, start)
}

func readEvents(response *http.Response, start time.Time) result {
	result := result{outcome: "CutOff"}
	last := start
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		switch {
		case line == "[DONE]":
			result.complete, result.outcome, result.elapsed = true, string(outcome.Run), now.Sub(start)
			return result
		case strings.HasPrefix(line, `{"error"`):
			result.outcome, result.elapsed = "ErrorEvent", now.Sub(start)
			return result
		case strings.Contains(line, `"content"`):
			result.addToken(now, start, last)
			last = now
		}
	}
	result.elapsed = time.Since(start)
	return result
}

func (result *result) addToken(now, start, last time.Time) {
	result.tokens++
	if result.tokens == 1 {
		result.firstToken = now.Sub(start)
		return
	}
	gap := now.Sub(last)
	result.tokenGaps = append(result.tokenGaps, gap)
	result.longestGap = max(result.longestGap, gap)
}

// inTarget reports whether the response is complete and meets both targets of its
// class: the time to the first token and the mean time between tokens.
func (result *result) inTarget(spec ClassSpec) bool {
	if !result.complete || result.firstToken > spec.FirstToken {
		return false
	}
	if len(result.tokenGaps) == 0 {
		return true
	}
	total := time.Duration(0)
	for _, gap := range result.tokenGaps {
		total += gap
	}
	return total/time.Duration(len(result.tokenGaps)) <= spec.BetweenTokens
}

func (collector *collector) add(spec ClassSpec, sentAt int, result result) {
	collector.mu.Lock()
	defer collector.mu.Unlock()
	class, ok := collector.classes[spec.Class]
	if !ok {
		class = &classCollector{
			report:        ClassReport{Class: spec.Class, Outcomes: map[string]int{}},
			firstToken:    hdrhistogram.New(1, maxMicroseconds, significantDigits),
			betweenTokens: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		}
		collector.classes[spec.Class] = class
	}
	class.add(spec, result)
	second, ok := collector.timeline[timelineKey{sentAt, spec.Class}]
	if !ok {
		second = &Second{At: sentAt, Class: spec.Class}
		collector.timeline[timelineKey{sentAt, spec.Class}] = second
	}
	second.Sent++
	if result.inTarget(spec) {
		second.InTarget++
	}
}

func (class *classCollector) add(spec ClassSpec, result result) {
	class.report.Sent++
	class.report.Tokens += result.tokens
	class.report.Outcomes[result.outcome]++
	if result.inTarget(spec) {
		class.report.InTarget++
	}
	switch {
	case result.complete:
		class.report.Whole++
	case result.outcome == string(outcome.NotRun):
		class.report.Refused++
		if result.elapsed > spec.FirstToken {
			class.report.RefusedLate++
		}
	default:
		class.report.Failed++
	}
	if result.tokens > 0 {
		_ = class.firstToken.RecordValue(result.firstToken.Microseconds())
	}
	for _, gap := range result.tokenGaps {
		_ = class.betweenTokens.RecordValue(max(1, gap.Microseconds()))
	}
}

func (collector *collector) report(elapsed time.Duration) Report {
	collector.mu.Lock()
	defer collector.mu.Unlock()
	report := Report{Seconds: elapsed.Seconds()}
	tokens := 0
	for _, class := range collector.classes {
		line := class.report
		line.InTargetShare = float64(line.InTarget) / float64(max(1, line.Sent))
		line.FirstTokenP50, line.FirstTokenP95, line.FirstTokenP99 = quantiles(class.firstToken)
		line.BetweenTokensP50, line.BetweenTokensP95, line.BetweenTokensP99 = quantiles(class.betweenTokens)
		report.Classes = append(report.Classes, line)
		tokens += line.Tokens
	}
	report.TokensPerSecond = float64(tokens) / elapsed.Seconds()
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
