package capacity

import (
	_ "embed"
	"fmt"
	"io"
	"math"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"
)

//go:embed capacity.md.tmpl
var page string

// Write writes the page docs/CAPACITY.md.
func (report Report) Write(out io.Writer) error {
	functions := template.FuncMap{
		"percent": func(value float64) string { return fmt.Sprintf("%.3f %%", 100*value) },
		"kb":      func(value float64) string { return fmt.Sprintf("%.1f KB", value/1000) },
		"mb":      func(value float64) string { return fmt.Sprintf("%.1f MB", value/1e6) },
		"number":  func(value float64) string { return strings.TrimSuffix(fmt.Sprintf("%.1f", value), ".0") },
		"round":   func(value float64) string { return fmt.Sprint(math.Round(value)) },
		"line":    line,
		"div":     func(a, b float64) float64 { return a / b },
		"total":   total,
	}
	parsed, err := template.New("capacity").Funcs(functions).Parse(page)
	if err != nil {
		return errors.Wrap(err, "parse the page's template")
	}
	return errors.Wrap(parsed.Execute(out, report), "write the page")
}

// line prints a fit, scaled to a unit.
func line(fit Fit, scale float64, format string) string {
	parts := []string{fmt.Sprintf(format, fit.Constant*scale)}
	for index, term := range fit.Terms {
		parts = append(parts, fmt.Sprintf(format+" x %s", fit.Slopes[index]*scale, term.Name))
	}
	return strings.Join(parts, " + ") + fmt.Sprintf(" (error "+format+")", fit.Error*scale)
}

func total(cores map[string]float64) float64 {
	sum := 0.0
	for _, spent := range cores {
		sum += spent
	}
	return sum
}

// The methods below are what the page shows, each worked out from the fits.

// CoresAtTarget is the control work of a node at the target size, in cores.
func (report Report) CoresAtTarget() float64 {
	sum := 0.0
	for _, role := range report.Roles {
		sum += role.Cores.At(report.Point)
	}
	return sum
}

// RateAtTarget is a node's control traffic at the target size, in bytes a
// second, both ways.
func (report Report) RateAtTarget() float64 {
	return report.Peer.At(report.Point) + report.Engine.At(report.Point) + report.PlatformAtTarget()
}

// PlatformAtTarget is the traffic to the platform. Every data centre counts
// here, since the list of all entry nodes is read whole.
func (report Report) PlatformAtTarget() float64 {
	fleet := report.Point
	fleet.DataCentres = report.Target.DataCentres
	return report.Platform.At(fleet)
}

// MemoryAtTarget is a node's memory for control, in bytes, without the key
// table.
func (report Report) MemoryAtTarget() float64 { return report.Memory.At(report.Point) }

// KeyBytes is the memory of one booking key with a small answer.
func (report Report) KeyBytes() float64 { return slope(report.Keys.Sizes, report.Keys.Bytes) }

// KeyCheckpointBytes is one key's part of a checkpoint.
func (report Report) KeyCheckpointBytes() float64 {
	return slope(report.Keys.Sizes, report.Keys.Checkpoint)
}

// KeyFoldMicros is the time to fold one key, both records.
func (report Report) KeyFoldMicros() float64 {
	return report.Keys.Nanoseconds[len(report.Keys.Nanoseconds)-1] / 1000
}

// ClassBytes is the memory of one class.
func (report Report) ClassBytes() float64 { return slope(report.Classes.Sizes, report.Classes.Bytes) }

// ClassCheckpointBytes is one class's part of a checkpoint.
func (report Report) ClassCheckpointBytes() float64 {
	return slope(report.Classes.Sizes, report.Classes.Checkpoint)
}

// KeysInBudget is how many keys fit beside the rest of a node's memory.
func (report Report) KeysInBudget() float64 {
	return max(0, report.Target.BudgetBytes-report.MemoryAtTarget()) / report.KeyBytes()
}

// BookingShareInBudget is the part of all requests, in thousandths, that may
// be calls under a key if each region's keys are kept whole by each node for
// the default window.
func (report Report) BookingShareInBudget() float64 {
	const windowSeconds, thousand = 6 * 3600, 1000
	perRegion := report.Target.RequestsPerSecond / float64(report.Target.Regions)
	return thousand * report.KeysInBudget() / windowSeconds / perRegion
}

// AppendsPerDay is what the log takes without bookings: configuration, two
// events a failure or restart, and a checkpoint an hour for each stream.
func (report Report) AppendsPerDay() float64 {
	const eventsEach, checkpointsPerDay = 2, 24
	streams := float64(1 + report.Target.DataCentres + report.Target.Regions)
	return report.Target.ChangesPerDay + eventsEach*(report.Target.FailuresPerDay+report.Target.RestartsPerDay) + checkpointsPerDay*streams
}

// BookingAppendsMost is the most appends a second that bookings can make: one
// node of each data centre appends, no sooner than its batch time.
func (report Report) BookingAppendsMost() float64 {
	const batchesPerSecond = 50
	return batchesPerSecond * float64(report.Target.DataCentres)
}

// DataCores is what the fleet spends on tokens at the peak, in cores.
func (report Report) DataCores() float64 {
	return report.Target.TokensPerSecond * report.Data.MicrosPerToken / 1e6
}

// DataCoresEach is one node's part of that.
func (report Report) DataCoresEach() float64 {
	return report.DataCores() / float64(report.Target.Nodes)
}

// TokensEach is one node's part of the tokens a second.
func (report Report) TokensEach() float64 {
	return report.Target.TokensPerSecond / float64(report.Target.Nodes)
}

// DomainDarkMessages is how many reads and probes a node makes a second while
// every server of its data centre is silent.
func (report Report) DomainDarkMessages() float64 {
	return 2 * watched.Of(report.Point)
}

// HourOfLog is how many records a node reads when the log comes back after an
// hour.
func (report Report) HourOfLog() float64 {
	return report.AppendsPerDay() / 24
}

// StartBytes is what a node reads of the configuration when it starts: at most
// the changes between two checkpoints and the checkpoint, for as many classes
// as the letter's changes a day at one change a class.
func (report Report) StartBytes() float64 {
	const recordBytes, checkpointEvery = 150, 1000
	return checkpointEvery*recordBytes + report.Target.ChangesPerDay*report.ClassCheckpointBytes()
}

// AllStartBytes is the same for all nodes at once.
func (report Report) AllStartBytes() float64 {
	return report.StartBytes() * float64(report.Target.Nodes)
}
