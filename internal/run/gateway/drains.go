package gateway

import (
	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/wire/frame"
)

// drainsChanged is told of data centres whose drain began or ended, and by whom this node
// heard of it.
func (node *Node) drainsChanged(changes []drain.Record, source string) {
	for _, change := range changes {
		line := "gateway: the drain of a data centre has ended."
		if change.Drained {
			line = "gateway: a data centre is drained."
		}
		node.logger.Info(line, "DrainedDataCentre", change.DataCentre, "Era", change.Position.Era, "Offset", change.Position.Offset, "Source", source)
	}
	node.changed()
	node.peers.tellVersion()
}

// takeDrains takes the drains that another node knows.
func (peers *peers) takeDrains(link *overlay.Link, told []*frame.DataCentreDrain) {
	if len(told) == 0 {
		return
	}
	if changes := peers.node.drained.Merge(drainsFromWire(told)); len(changes) > 0 {
		peers.node.drainsChanged(changes, link.Remote.Address)
	}
}

func drainsToWire(records []drain.Record) []*frame.DataCentreDrain {
	told := make([]*frame.DataCentreDrain, 0, len(records))
	for _, record := range records {
		told = append(told, &frame.DataCentreDrain{
			DataCentre: record.DataCentre, Era: record.Position.Era, Offset: record.Position.Offset, Drained: record.Drained,
		})
	}
	return told
}

func drainsFromWire(told []*frame.DataCentreDrain) []drain.Record {
	records := make([]drain.Record, 0, len(told))
	for _, record := range told {
		records = append(records, drain.Record{
			DataCentre: record.DataCentre, Position: storelog.Position{Era: record.Era, Offset: record.Offset}, Drained: record.Drained,
		})
	}
	return records
}
