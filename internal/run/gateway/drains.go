package gateway

import (
	"time"

	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/wire/frame"
)

// drainsChanged applies the drains of data centres that began or ended. The source is the store or the
// address of the node that reported them.
func (node *Node) drainsChanged(changes []drain.Record, source string) {
	for _, change := range changes {
		message := "gateway: the drain of a data centre has ended."
		if change.Drained {
			message = "gateway: a data centre is drained."
		}
		node.logger.Info(message, "DrainedDataCentre", change.DataCentre, "Era", change.Position.Era, "Offset", change.Position.Offset, "Source", source)
	}
	node.requestTargetUpdate()
	node.peers.broadcastVersion()
}

// handleDrains applies the data centre drains that another node knows.
func (peers *peers) handleDrains(link *overlay.Link, received *frame.Frame) {
	if len(received.Drains) == 0 && received.DrainLog == nil {
		return
	}
	if changes := peers.node.drains.Apply(drainsFromWire(received, peers.node.now())); len(changes) > 0 {
		peers.node.drainsChanged(changes, link.Remote.Address)
	}
}

func drainsToWire(records []drain.Record) []*frame.DataCentreDrain {
	encoded := make([]*frame.DataCentreDrain, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, &frame.DataCentreDrain{
			DataCentre: record.DataCentre, Era: record.Position.Era, Offset: record.Position.Offset, Drained: record.Drained,
		})
	}
	return encoded
}

// drainLogToWire encodes how far an update covers the operator's log, nil if it covers nothing.
func drainLogToWire(update *drain.Update, now time.Duration) *frame.DrainLog {
	if !update.Complete {
		return nil
	}
	return &frame.DrainLog{Era: update.End.Era, Offset: update.End.Offset, AgeMs: cappedMilliseconds(now - update.ReadAt)}
}

func drainsFromWire(received *frame.Frame, now time.Duration) drain.Update {
	update := drain.Update{End: storelog.Unknown}
	for _, record := range received.Drains {
		update.Records = append(update.Records, drain.Record{
			DataCentre: record.DataCentre, Position: storelog.Position{Era: record.Era, Offset: record.Offset}, Drained: record.Drained,
		})
	}
	if log := received.DrainLog; log != nil {
		update.End, update.Complete = storelog.Position{Era: log.Era, Offset: log.Offset}, true
		update.ReadAt = now - time.Duration(log.AgeMs)*time.Millisecond
	}
	return update
}
