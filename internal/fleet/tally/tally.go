// Package tally adds up what nodes have under way at servers, and takes a node's
// own part off a sum that includes it.
//
// A relay tells all its leaves one sum, made and encoded once. Each leaf takes off
// what it had itself reported into it: the sum names the last report of the leaf
// that it includes, and Reports remembers the last few.
//
// Between relays, of which each has its own sum, only what changed since the last
// time is told: Changes is the teller's side, Copy the listener's.
//
// # Usage
//
//	sequence := reports.Add(board.Shares())
//	others := tally.Less(told, reports.At(included))
package tally

import (
	"sync"

	"hazelslip/internal/policy/dispatch"
)

// Shares is what some nodes have together at each server, by its ID.
type Shares = map[string]dispatch.ServerLoad

// Add adds to a sum.
func Add(sum, shares Shares) {
	for server, share := range shares {
		sum[server] = sum[server].Plus(share)
	}
}

// Less returns a sum without a part of it. Counts don't go below zero: how calls
// ended fades with time, so that a part may have faded less than the sum.
func Less(sum, part Shares) Shares {
	rest := make(Shares, len(sum))
	for server, share := range sum {
		if left := share.Minus(part[server]); left != (dispatch.ServerLoad{}) {
			rest[server] = left
		}
	}
	return rest
}

// reportsKept is how many reports are remembered: a sum that includes one is back
// within a few exchanges.
const reportsKept = 16

// Reports are the last reports of a node to one other.
type Reports struct {
	mu   sync.Mutex
	last uint64
	kept [reportsKept]Shares
}

// Add remembers a report and returns its number, from 1 on.
func (reports *Reports) Add(shares Shares) uint64 {
	reports.mu.Lock()
	defer reports.mu.Unlock()
	reports.last++
	reports.kept[reports.last%reportsKept] = shares
	return reports.last
}

// At returns the report of a number, nil for one that is not remembered; 0 stands
// for none.
func (reports *Reports) At(sequence uint64) Shares {
	reports.mu.Lock()
	defer reports.mu.Unlock()
	if sequence == 0 || sequence > reports.last || reports.last-sequence >= reportsKept {
		return nil
	}
	return reports.kept[sequence%reportsKept]
}

// fadesUnsaid is by how much a count of ended calls, in hundredths of a call, may
// have faded before it is told again: counts fade all the time, and would all be told
// each time.
const fadesUnsaid = 25

// Changes tells a sum over an ordered stream.
type Changes struct {
	said Shares
}

// Next returns what changed in a sum since the last time, or all of it the first
// time. A server at which nothing is left is told once more, with nothing.
func (changes *Changes) Next(sum Shares) (changed Shares, whole bool) {
	if changes.said == nil {
		changes.said = make(Shares, len(sum))
		Add(changes.said, sum)
		return sum, true
	}
	changed = Shares{}
	for server, share := range sum {
		if !saidAlready(changes.said[server], share) {
			changed[server], changes.said[server] = share, share
		}
	}
	for server := range changes.said {
		if _, there := sum[server]; !there {
			changed[server] = dispatch.ServerLoad{}
			delete(changes.said, server)
		}
	}
	return changed, false
}

func saidAlready(said, share dispatch.ServerLoad) bool {
	near := func(a, b int) bool { return a-b < fadesUnsaid && b-a < fadesUnsaid }
	return said.Calls == share.Calls && said.PendingPromptTokens == share.PendingPromptTokens && near(said.Failed, share.Failed) && near(said.Answered, share.Answered)
}

// Copy is a sum as it was told.
type Copy struct {
	shares Shares
}

// Apply takes what was told.
func (copied *Copy) Apply(whole bool, told Shares) {
	if whole || copied.shares == nil {
		copied.shares = Shares{}
	}
	for server, share := range told {
		if share == (dispatch.ServerLoad{}) {
			delete(copied.shares, server)
			continue
		}
		copied.shares[server] = share
	}
}

// Shares returns a copy of the sum.
func (copied *Copy) Shares() Shares {
	shares := make(Shares, len(copied.shares))
	Add(shares, copied.shares)
	return shares
}
