package dispatch

// TargetState is a target in the state dump.
type TargetState struct {
	Server, Address, Group, DataCentre string
	// Slots are its places, Mine and Others the calls under way there from this node
	// and from all others, Unread the prompt tokens of those without an event.
	Slots, Mine, Others, Unread int
	// Avoided says that new calls are kept off it after failures, Broken that its circuit breaker is
	// open, BacksOff and Draining that they are since its server wants none.
	Avoided, Broken, BacksOff, Draining bool
	// Drained says that its data centre is drained, Cold that it bears few calls as yet.
	Drained, Cold bool
	// Pace is by how much its times are longer than configured, as predictions use it.
	Pace float64
}

// State returns the targets by pool.
func (board *Board) State() map[string][]TargetState {
	now := board.now()
	states := map[string][]TargetState{}
	for name, filled := range board.layout.Load().pools {
		for _, target := range filled.targets {
			states[name] = append(states[name], TargetState{
				Server: target.ID, Address: target.Address, Group: target.Group, DataCentre: target.DataCentre, Slots: target.Slots,
				Mine: int(target.mine.Load()), Others: int(target.peers.Load()),
				Unread: int(target.unread.Load() + target.peersUnread.Load()), Avoided: target.Avoided(now), Broken: target.breaker.open(now),
				BacksOff: !target.record.Draining() && !target.record.Accepts(now), Draining: target.record.Draining(),
				Drained: target.drain.Drained(), Cold: target.cold(now),
				Pace: target.slower(),
			})
		}
	}
	return states
}
