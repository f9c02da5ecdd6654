package node

import (
	"time"

	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/wire/exchange"
)

func milliseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration.Milliseconds(), 0), 1<<31))
}

func toWireReport(report engine.Report, age time.Duration) *exchange.Report {
	return &exchange.Report{
		Instance: report.Instance, Address: report.Address, Incarnation: report.Incarnation, State: report.State,
		Group: report.Group, Highest: report.Highest, Model: report.Model, Members: report.Members,
		Running: report.Running, QueuedTokens: report.QueuedTokens, TokensPerSecond: report.TokensPerSecond,
		Concurrency: report.Concurrency, Leaving: report.Leaving, PrefillPerSecond: report.PrefillPerSecond,
		AgeMs: milliseconds(age),
	}
}

func fromWireReport(wire *exchange.Report) engine.Report {
	return engine.Report{
		Instance: wire.Instance, Address: wire.Address, Incarnation: wire.Incarnation, State: wire.State,
		Group: wire.Group, Highest: wire.Highest, Model: wire.Model, Members: wire.Members,
		Running: wire.Running, QueuedTokens: wire.QueuedTokens, TokensPerSecond: wire.TokensPerSecond,
		Concurrency: wire.Concurrency, Leaving: wire.Leaving, PrefillPerSecond: wire.PrefillPerSecond,
	}
}

// domainReport returns what a peer needs of a domain's reading: only the ages of the reports if the peer already has this
// version, otherwise the reports themselves.
func domainReport(reading *fabric.Reading, heldVersion *exchange.DomainVersion, watcher uint64, now time.Duration) *exchange.DomainReport {
	report := &exchange.DomainReport{
		FabricDomain: reading.FabricDomain, Watcher: watcher, Sequence: reading.Version, Missed: reading.Unresponsive,
	}
	report.Same = heldVersion != nil && heldVersion.Watcher == watcher && heldVersion.Sequence == reading.Version
	for index := range reading.Servers {
		status := &reading.Servers[index]
		if report.Same {
			report.Ages = append(report.Ages, milliseconds(now-status.RequestedAt))
			continue
		}
		report.Reports = append(report.Reports, toWireReport(status.Report, now-status.RequestedAt))
	}
	return report
}
