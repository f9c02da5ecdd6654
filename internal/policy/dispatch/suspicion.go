package dispatch

import "time"

// Reason is why calls at a target are given up.
type Reason string

// Reasons for giving up calls.
const (
	// GroupSilent: nothing has arrived from the group for too long.
	GroupSilent Reason = "GroupSilent"
	// GroupLost: the group was announced to have lost a member.
	GroupLost Reason = "GroupLost"
	// PathLost: the path to the servers of the target's service is lost.
	PathLost Reason = "PathLost"
	// DataCentreUnreachable: no server in the target's data centre accepted a connection.
	DataCentreUnreachable Reason = "DataCentreUnreachable"
	// PeerSilent: nothing has arrived for too long from the node that the call goes through.
	PeerSilent Reason = "PeerSilent"
)

// Suspicion is why a call was given up, and how long nothing had arrived for it by then.
type Suspicion struct {
	Reason  Reason
	Silence time.Duration
}

// silence returns how long nothing has arrived for the call.
func (call *Call) silence(now time.Duration) time.Duration {
	return now - max(call.sentAt, time.Duration(call.eventAt.Load()))
}
