package dispatch

// TargetState is a target in the state dump.
type TargetState struct {
	Server, Address, Group, DataCentre string
	// Slots is the number of calls that run there concurrently, Mine and Others are the calls in progress from this
	// node and from all other nodes, and Unread is the number of prompt tokens of calls without an event.
	Slots, Mine, Others, Unread int
	// Avoided means that new calls are kept away after failures, Broken that the circuit breaker is open, BacksOff
	// that the server asked for a backoff, and Draining that the server takes no new calls.
	Avoided, Broken, BacksOff, Draining bool
	// Drained means that the target's data centre is drained, Cold that the server must get few calls for now.
	Drained, Cold bool
	// Pace is the slowdown factor that predictions use.
	Pace float64
}

// State returns the targets by pool.
func (board *Board) State() map[string][]TargetState {
	now := board.now()
	states := map[string][]TargetState{}
	for name, pool := range board.snapshot.Load().pools {
		for _, target := range pool.targets {
			states[name] = append(states[name], TargetState{
				Server: target.ID, Address: target.Address, Group: target.Group, DataCentre: target.DataCentre, Slots: target.Slots,
				Mine: int(target.ownCalls.Load()), Others: int(target.peerCalls.Load()),
				Unread: int(target.pendingPromptTokens.Load() + target.peerPendingPromptTokens.Load()), Avoided: target.Avoided(now), Broken: target.breaker.open(now),
				BacksOff: !target.record.Draining() && !target.record.Accepts(now), Draining: target.record.Draining(),
				Drained: target.drainStatus.Drained(), Cold: target.cold(now),
				Pace: target.slowdown(),
			})
		}
	}
	return states
}
