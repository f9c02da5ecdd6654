// Package serverload totals the loads of nodes at servers, and subtracts a node's own load from a total that includes it.
//
// A relay sends the same total, computed and encoded once, to all its leaves. Each leaf subtracts the load that it
// had itself reported: the total carries the sequence number of the leaf's last included report, and Reports keeps
// the most recent reports.
//
// Relays have different totals from each other. Between relays, only changes since the last frame are sent, from a
// DeltaSender to a DeltaReceiver.
//
// # Usage
//
//	sequence := reports.Add(loads)
//	others := serverload.Subtract(total, reports.Find(included))
package serverload

import (
	"sync"

	"hazelslip/internal/policy/dispatch"
)

// ServerLoads is the load of one or more nodes at each server, by server ID.
type ServerLoads = map[string]dispatch.ServerLoad

// Add adds loads to a total.
func Add(total, loads ServerLoads) {
	for server, load := range loads {
		total[server] = total[server].Plus(load)
	}
}

// Subtract returns a total without a part of it. Counts do not go below zero: counts of ended calls decay over time,
// so the part may have decayed less than the total.
func Subtract(total, part ServerLoads) ServerLoads {
	rest := make(ServerLoads, len(total))
	for server, load := range total {
		if remaining := load.Minus(part[server]); remaining != (dispatch.ServerLoad{}) {
			rest[server] = remaining
		}
	}
	return rest
}

// reportHistory is how many reports are kept. A total that includes a report arrives within a few exchanges.
const reportHistory = 16

// Reports holds a node's most recent reports to one other node.
type Reports struct {
	mu     sync.Mutex
	last   uint64
	recent [reportHistory]ServerLoads
}

// Add stores a report and returns its sequence number, starting at 1.
func (reports *Reports) Add(loads ServerLoads) uint64 {
	reports.mu.Lock()
	defer reports.mu.Unlock()
	reports.last++
	reports.recent[reports.last%reportHistory] = loads
	return reports.last
}

// Find returns the report with a sequence number, or nil if it is no longer kept. Sequence 0 stands for no report.
func (reports *Reports) Find(sequence uint64) ServerLoads {
	reports.mu.Lock()
	defer reports.mu.Unlock()
	if sequence == 0 || sequence > reports.last || reports.last-sequence >= reportHistory {
		return nil
	}
	return reports.recent[sequence%reportHistory]
}

// decayThreshold is the minimum change of a count of ended calls, in hundredths of a call, that is sent. The counts
// decay continuously, and without a threshold all of them would be sent every time.
const decayThreshold = 25

// DeltaSender computes the changes of a total to send over an ordered stream.
type DeltaSender struct {
	sent ServerLoads
}

// Next returns the changes of a total since the last call, or the full total on the first call. A server without load
// any more is sent once with an empty load.
func (sender *DeltaSender) Next(total ServerLoads) (changed ServerLoads, full bool) {
	if sender.sent == nil {
		sender.sent = make(ServerLoads, len(total))
		Add(sender.sent, total)
		return total, true
	}
	changed = ServerLoads{}
	for server, load := range total {
		if !alreadySent(sender.sent[server], load) {
			changed[server], sender.sent[server] = load, load
		}
	}
	for server := range sender.sent {
		if _, present := total[server]; !present {
			changed[server] = dispatch.ServerLoad{}
			delete(sender.sent, server)
		}
	}
	return changed, false
}

func alreadySent(sent, load dispatch.ServerLoad) bool {
	near := func(a, b int) bool { return a-b < decayThreshold && b-a < decayThreshold }
	return sent.Calls == load.Calls && sent.PendingPromptTokens == load.PendingPromptTokens && near(sent.Failed, load.Failed) && near(sent.Answered, load.Answered)
}

// DeltaReceiver holds a received total.
type DeltaReceiver struct {
	loads ServerLoads
}

// Apply applies received changes, or replaces the total if full is set.
func (receiver *DeltaReceiver) Apply(full bool, changed ServerLoads) {
	if full || receiver.loads == nil {
		receiver.loads = ServerLoads{}
	}
	for server, load := range changed {
		if load == (dispatch.ServerLoad{}) {
			delete(receiver.loads, server)
			continue
		}
		receiver.loads[server] = load
	}
}

// Loads returns a copy of the total.
func (receiver *DeltaReceiver) Loads() ServerLoads {
	loads := make(ServerLoads, len(receiver.loads))
	Add(loads, receiver.loads)
	return loads
}
