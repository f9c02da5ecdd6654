package capacity

import (
	"bytes"
	"runtime"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
	"github.com/google/pprof/profile"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/run/demo"
)

// samplesPerSecond is finer than the usual 100, since control work is small.
const samplesPerSecond = 500

// shares is processor time by part, in seconds.
type shares struct {
	byPart map[string]float64
	total  float64
}

// unlabelled is what the runtime itself spends: collection, scheduling, timers.
const unlabelled = "runtime"

// profiled runs work under a processor profile.
func profiled(work func()) (shares, error) {
	var body bytes.Buffer
	// StartCPUProfile would set 100 samples a second; set before, the finer
	// rate stands and a warning goes to standard error.
	runtime.SetCPUProfileRate(samplesPerSecond)
	if err := pprof.StartCPUProfile(&body); err != nil {
		return shares{}, errors.Wrap(err, "start the processor profile")
	}
	work()
	pprof.StopCPUProfile()
	parsed, err := profile.Parse(&body)
	if err != nil {
		return shares{}, errors.Wrap(err, "read the processor profile")
	}
	return sum(parsed), nil
}

func sum(parsed *profile.Profile) shares {
	const nanoseconds = 1e9
	result := shares{byPart: map[string]float64{}}
	for _, sample := range parsed.Sample {
		seconds := float64(sample.Value[len(sample.Value)-1]) / nanoseconds
		part := unlabelled
		if labels := sample.Label[lifecycle.Label]; len(labels) > 0 {
			part = labels[0]
		}
		result.byPart[part] += seconds
		result.total += seconds
	}
	return result
}

// cores returns what one node spends by part. The runtime's own time is spread
// over the nodes and the stand-ins by what they spend themselves.
func (shares shares) cores(nodes, seconds float64) map[string]float64 {
	labelled := shares.total - shares.byPart[unlabelled]
	cores := map[string]float64{}
	if labelled <= 0 {
		return cores
	}
	standins := shares.byPart[demo.StandinLabel]
	for part, spent := range shares.byPart {
		if part != unlabelled && part != demo.StandinLabel {
			cores[part] = spent / nodes / seconds
		}
	}
	cores[unlabelled] = shares.byPart[unlabelled] * (labelled - standins) / labelled / nodes / seconds
	return cores
}
