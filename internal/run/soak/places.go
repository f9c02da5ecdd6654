package soak

import (
	"context"
	"time"

	"hazelslip/platform/standin"
)

const (
	// drainedCentre is the data centre that is drained once all faults have ended. No plain
	// server is there.
	drainedCentre = "centre-2"
	// drainedFor is how long it stays so after all nodes must know, and warmedFor how long its
	// servers get calls after that.
	drainedFor = 2 * time.Second
	warmedFor  = 3 * time.Second
)

// keepDataCentreDrain drains a data centre, and takes that back.
func (soak *soak) keepDataCentreDrain(ctx context.Context) {
	for _, step := range []struct {
		change string
		lasts  time.Duration
	}{{"drain", standin.DrainDeadline + drainedFor}, {"undrain", warmedFor}} {
		soak.fleet.tell("/data-centres/" + drainedCentre + "/" + step.change)
		select {
		case <-ctx.Done():
		case <-time.After(step.lasts):
		}
	}
}

// checkDataCentreDrain finds calls to servers of the data centre while it was drained, and servers
// that got a rush of calls after that.
func checkDataCentreDrain(seen standin.Observed) []string {
	return append(seen.Misplaced, seen.Overrun...)
}
