package gateway

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelslip/internal/serve/forward"
	"hazelslip/internal/state/configuration"
)

// The range and precision of the histograms: milliseconds up to a minute, two
// digits.
const (
	histogramMost   = 60_000
	histogramDigits = 2
)

// histogram is a histogram of milliseconds.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(1, histogramMost, histogramDigits)}
}

func (histogram *histogram) observe(span time.Duration) {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	// Beyond the range it counts as the most there is.
	_ = histogram.values.RecordValue(min(max(span.Milliseconds(), 1), histogramMost))
}

// Quantiles is a histogram as the metrics show it, in milliseconds.
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

// measures counts requests that ended.
type measures struct {
	firstEvent   *histogram
	longestPause *histogram
	stream       *histogram
	call         *histogram
	refusal      *histogram

	mu       sync.Mutex
	outcomes map[string]map[forward.Outcome]uint64
}

func newMeasures() *measures {
	return &measures{
		firstEvent: newHistogram(), longestPause: newHistogram(), stream: newHistogram(), call: newHistogram(),
		refusal: newHistogram(), outcomes: map[string]map[forward.Outcome]uint64{},
	}
}

// ended counts a request.
func (measures *measures) ended(summary forward.Summary) {
	measures.mu.Lock()
	byOutcome, ok := measures.outcomes[summary.Route]
	if !ok {
		byOutcome = map[forward.Outcome]uint64{}
		measures.outcomes[summary.Route] = byOutcome
	}
	byOutcome[summary.Outcome]++
	measures.mu.Unlock()
	switch {
	case summary.Outcome == forward.Full || summary.Outcome == forward.NoServer:
		measures.refusal.observe(summary.Duration)
	case summary.Outcome != forward.Answered:
	case summary.Kind == configuration.Streaming:
		measures.firstEvent.observe(summary.FirstEvent)
		measures.longestPause.observe(summary.LongestPause)
		measures.stream.observe(summary.Duration)
	default:
		measures.call.observe(summary.Duration)
	}
}

// byRoute copies the counters of outcomes.
func (measures *measures) byRoute() map[string]map[forward.Outcome]uint64 {
	measures.mu.Lock()
	defer measures.mu.Unlock()
	routes := make(map[string]map[forward.Outcome]uint64, len(measures.outcomes))
	for route, byOutcome := range measures.outcomes {
		copied := make(map[forward.Outcome]uint64, len(byOutcome))
		for outcome, count := range byOutcome {
			copied[outcome] = count
		}
		routes[route] = copied
	}
	return routes
}

// latencies copies the histograms.
func (measures *measures) latencies() map[string]Quantiles {
	return map[string]Quantiles{
		"FirstEvent": measures.firstEvent.quantiles(), "LongestPause": measures.longestPause.quantiles(),
		"Stream": measures.stream.quantiles(), "Call": measures.call.quantiles(), "Refusal": measures.refusal.quantiles(),
	}
}
