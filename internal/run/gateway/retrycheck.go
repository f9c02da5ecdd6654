package gateway

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/wire/frame"
)

const (
	// maxSlotCount is the highest number of requests or retries of a service in a slot that a node may report. Sums of
	// the counts of thousands of nodes fit into 32 bits.
	maxSlotCount = 1 << 19
	// maxFleetTimeMs is the highest time of the fleet that a node may tell, a hundred years.
	maxFleetTimeMs = 100 * 365 * 24 * 3600 * 1000
	// maxSlotsAhead is how many slots a report may be ahead of this node, whose clock follows that of the fleet: a window.
	maxSlotsAhead = retry.SlotsPerWindow
)

// checkRetryCounts returns an error if the retry counts of a frame can't be counts of the fleet that this node belongs to.
// position is the time of the fleet at this node.
func checkRetryCounts(received *frame.Frame, position, slotLength time.Duration) error {
	newest := position.Milliseconds()
	slotMs := uint32(slotLength.Milliseconds())
	if coverage := received.RetryCoverage; coverage != nil {
		if coverage.SlotMs != 0 && coverage.SlotMs != slotMs {
			return errors.Newf("slots of %d ms, this node counts in slots of %d ms", coverage.SlotMs, slotMs)
		}
		for _, at := range []int64{coverage.PositionMs, coverage.GetCompleteMs(), coverage.GetAgreedMs()} {
			if at < 0 || at > maxFleetTimeMs {
				return errors.Newf("%d ms is no time of the fleet", at)
			}
		}
		if latest := max(coverage.GetCompleteMs(), coverage.GetAgreedMs()); latest > coverage.PositionMs+maxSlotsAhead*int64(slotMs) {
			return errors.Newf("counts complete or agreed up to %d ms, the fleet is at %d ms", latest, coverage.PositionMs)
		}
		newest = max(newest, coverage.PositionMs)
	}
	if progress := received.RetryProgress; progress != nil {
		if progress.SlotMs != slotMs {
			return errors.Newf("slots of %d ms, this node counts in slots of %d ms", progress.SlotMs, slotMs)
		}
		ahead := newest + maxSlotsAhead*int64(slotMs)
		if progress.CompleteMs < 0 || progress.CompleteMs > progress.NewestMs || progress.NewestMs > ahead || progress.GetKnownMs() > ahead {
			return errors.Newf("counts complete up to %d, known up to %d and newest at %d ms, the fleet is at %d ms", progress.CompleteMs, progress.GetKnownMs(), progress.NewestMs, newest)
		}
		newest = max(newest, progress.NewestMs)
	}
	lastSlot := newest/int64(slotMs) + maxSlotsAhead
	for _, counts := range [][]*frame.RetryCount{received.RetryTotals, received.RetryParts} {
		for _, count := range counts {
			if err := checkRetryCount(count, lastSlot); err != nil {
				return errors.Wrapf(err, "service %q", count.Service)
			}
		}
	}
	return nil
}

func checkRetryCount(count *frame.RetryCount, lastSlot int64) error {
	slots := len(count.Requests)
	if slots != len(count.Retries) || slots > retry.MaxSeries {
		return errors.Newf("%d slots of requests and %d of retries", slots, len(count.Retries))
	}
	if count.First < 0 || count.First > lastSlot || count.First+int64(slots)-1 > lastSlot {
		return errors.Newf("%d slots from slot %d on, the last one is %d", slots, count.First, lastSlot)
	}
	for slot := range slots {
		if count.Requests[slot] > maxSlotCount || count.Retries[slot] > maxSlotCount {
			return errors.Newf("%d requests and %d retries in a slot", count.Requests[slot], count.Retries[slot])
		}
	}
	return nil
}

// logRefusedCounts logs once for a link that retry counts were refused.
func (peers *peers) logRefusedCounts(link *overlay.Link, cause error) {
	peers.mu.Lock()
	state := peers.linkStateLocked(link)
	logged := state.retries.refusalLogged
	state.retries.refusalLogged = true
	peers.mu.Unlock()
	if !logged {
		peers.node.logger.Warn("gateway: retry counts of a node were refused.", slog.String("Node", link.Remote.Address), slog.String("Cause", cause.Error()))
	}
}
