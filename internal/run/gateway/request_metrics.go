package gateway

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelslip/internal/serve/forward"
	"hazelslip/internal/state/configuration"
)

// Range and precision of the latency histograms: up to one minute in milliseconds, with two significant
// digits.
const (
	histogramMax    = 60_000
	histogramDigits = 2
)

// histogram is a latency histogram in milliseconds that is safe for concurrent use.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (histogram *histogram) observe(span time.Duration) {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	// Values out of range are recorded as the maximum.
	_ = histogram.values.RecordValue(min(max(span.Milliseconds(), 1), histogramMax))
}

// Quantiles is a histogram as shown in the metrics, in milliseconds.
type Quantiles struct {
	Count            int64
	P50, P90, P99    int64
	MaxMilliseconds  int64
	MeanMilliseconds float64
}

func (histogram *histogram) quantiles() Quantiles {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	values := histogram.values
	return Quantiles{
		Count: values.TotalCount(), P50: values.ValueAtQuantile(50), P90: values.ValueAtQuantile(90),
		P99: values.ValueAtQuantile(99), MaxMilliseconds: values.Max(), MeanMilliseconds: values.Mean(),
	}
}

// requestMetrics counts finished requests and records their latencies.
type requestMetrics struct {
	firstEvent   *histogram
	longestPause *histogram
	stream       *histogram
	call         *histogram
	refusal      *histogram

	mu       sync.Mutex
	outcomes map[string]map[forward.Outcome]uint64
}

func newRequestMetrics() *requestMetrics {
	return &requestMetrics{
		firstEvent: newHistogram(), longestPause: newHistogram(), stream: newHistogram(), call: newHistogram(),
		refusal: newHistogram(), outcomes: map[string]map[forward.Outcome]uint64{},
	}
}

// record counts a request by outcome and records the latencies that apply to its outcome.
func (requestMetrics *requestMetrics) record(summary forward.Summary) {
	requestMetrics.mu.Lock()
	byOutcome, ok := requestMetrics.outcomes[summary.Route]
	if !ok {
		byOutcome = map[forward.Outcome]uint64{}
		requestMetrics.outcomes[summary.Route] = byOutcome
	}
	byOutcome[summary.Outcome]++
	requestMetrics.mu.Unlock()
	switch {
	case summary.Outcome == forward.Full || summary.Outcome == forward.NoServer:
		requestMetrics.refusal.observe(summary.Duration)
	case summary.Outcome != forward.Answered:
	case summary.Kind == configuration.Streaming:
		requestMetrics.firstEvent.observe(summary.FirstEvent)
		requestMetrics.longestPause.observe(summary.LongestPause)
		requestMetrics.stream.observe(summary.Duration)
	default:
		requestMetrics.call.observe(summary.Duration)
	}
}

// outcomesByRoute returns a copy of the outcome counters.
func (requestMetrics *requestMetrics) outcomesByRoute() map[string]map[forward.Outcome]uint64 {
	requestMetrics.mu.Lock()
	defer requestMetrics.mu.Unlock()
	routes := make(map[string]map[forward.Outcome]uint64, len(requestMetrics.outcomes))
	for route, byOutcome := range requestMetrics.outcomes {
		counts := make(map[forward.Outcome]uint64, len(byOutcome))
		for outcome, count := range byOutcome {
			counts[outcome] = count
		}
		routes[route] = counts
	}
	return routes
}

// latencies returns a copy of the histograms.
func (requestMetrics *requestMetrics) latencies() map[string]Quantiles {
	return map[string]Quantiles{
		"FirstEvent": requestMetrics.firstEvent.quantiles(), "LongestPause": requestMetrics.longestPause.quantiles(),
		"Stream": requestMetrics.stream.quantiles(), "Call": requestMetrics.call.quantiles(), "Refusal": requestMetrics.refusal.quantiles(),
	}
}
