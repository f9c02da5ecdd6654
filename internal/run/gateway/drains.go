package gateway

import (
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

// handleDrains merges the data centre drains that another node knows.
func (peers *peers) handleDrains(link *overlay.Link, received []*frame.DataCentreDrain) {
	if len(received) == 0 {
		return
	}
	if changes := peers.node.drains.Merge(drainsFromWire(received)); len(changes) > 0 {
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

func drainsFromWire(encoded []*frame.DataCentreDrain) []drain.Record {
	records := make([]drain.Record, 0, len(encoded))
	for _, record := range encoded {
		records = append(records, drain.Record{
			DataCentre: record.DataCentre, Position: storelog.Position{Era: record.Era, Offset: record.Offset}, Drained: record.Drained,
		})
	}
	return records
}
