package soak

import (
	"context"
	"time"

	"hazelslip/platform/standin"
)

const (
	// drainedDataCentre is the data centre that is drained once all faults have ended. It has no
	// plain servers.
	drainedDataCentre = "centre-2"
	// drainDuration is how long the drain stays in force after every node must know of it, and
	// warmupDuration how long the servers of the data centre get calls after the drain.
	drainDuration  = 2 * time.Second
	warmupDuration = 3 * time.Second
)

// exerciseDataCentreDrain drains a data centre and ends the drain.
func (runner *runner) exerciseDataCentreDrain(ctx context.Context) {
	for _, step := range []struct {
		change   string
		duration time.Duration
	}{{"drain", standin.DrainDeadline + drainDuration}, {"undrain", warmupDuration}} {
		runner.fleet.sendControl("/data-centres/" + drainedDataCentre + "/" + step.change)
		select {
		case <-ctx.Done():
		case <-time.After(step.duration):
		}
	}
}

// checkDataCentreDrain reports calls to servers of the data centre during its drain, and servers that
// were flooded with calls after the drain.
func checkDataCentreDrain(observed standin.Observed) []string {
	return append(observed.Misplaced, observed.Overrun...)
}
