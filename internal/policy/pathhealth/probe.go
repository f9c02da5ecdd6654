package pathhealth

import "time"

// Probe is a set of servers of a path that the caller has to try connecting to.
type Probe struct {
	Path    *Path
	Servers []string
}

// DueProbes returns the probes that have to be run now.
func (paths *Paths) DueProbes() []Probe {
	if !paths.AnyUnhealthy() {
		return nil
	}
	due := []Probe{}
	for _, path := range paths.All() {
		if servers := path.dueServers(); len(servers) > 0 {
			due = append(due, Probe{Path: path, Servers: servers})
		}
	}
	return due
}

// dueServers returns the servers of the path that have to be probed now, or none.
func (path *Path) dueServers() []string {
	if path.Status() == Healthy {
		return nil
	}
	path.mu.Lock()
	defer path.mu.Unlock()
	now := path.paths.now()
	if path.probedAt != 0 && now-path.probedAt < probeInterval {
		return nil
	}
	if len(path.servers) == 0 {
		path.markHealthyLocked(now)
		return nil
	}
	path.probedAt = now
	switch {
	case path.silenceOnly:
		return path.sampleLocked(silenceSample)
	case path.Status() == Suspected:
		return path.sampleLocked(suspectedSample)
	case path.lastProbePassed:
		return path.sampleLocked(recoverySample)
	}
	return path.sampleLocked(lostSample)
}

// sampleLocked returns up to count servers of the path, chosen at random.
func (path *Path) sampleLocked(count int) []string {
	remaining := append(append([]string{}, path.servers...), path.witnesses...)
	chosen := []string{}
	for len(remaining) > 0 && len(chosen) < count {
		index := path.paths.random(len(remaining))
		chosen = append(chosen, remaining[index])
		remaining[index] = remaining[len(remaining)-1]
		remaining = remaining[:len(remaining)-1]
	}
	return chosen
}

// ProvesHealthy reports whether the given number of reached servers is enough to show that a suspected path is not
// lost, whatever the outcome for the remaining servers of the probe.
func (probe *Probe) ProvesHealthy(reached int) bool {
	return probe.Path.Status() == Suspected && reached > 0 && !probe.provesLost(reached)
}

// provesLost reports whether the path is lost if only the given number of servers is reached.
func (probe *Probe) provesLost(reached int) bool {
	return (len(probe.Servers)-reached)*lostDenominator >= lostNumerator*len(probe.Servers)
}

// Result is the outcome of a probe.
type Result struct {
	Before, After Status
	// Tried servers were probed, and Reached of them accepted a connection.
	Tried, Reached int
	// UnhealthyFor is how long the path had not been healthy before this probe.
	UnhealthyFor time.Duration
}

// Changed reports whether the probe changed the status of the path.
func (result *Result) Changed() bool {
	return result.Before != result.After
}

// Complete records which servers of the probe accepted a connection. When the path becomes lost, Complete also marks
// other paths as suspected: they may be lost too, without any recent call that would have shown it.
func (probe *Probe) Complete(reached []string) Result {
	result := probe.complete(reached)
	if result.After == Lost && result.Changed() {
		probe.Path.paths.suspectOthers(probe.Path.Destination)
	}
	return result
}

// suspectOthers marks up to maxSuspectedOthers healthy paths as suspected, starting with paths of the same service.
func (paths *Paths) suspectOthers(lost Destination) {
	sameService, others := []*Path{}, []*Path{}
	for _, path := range paths.All() {
		switch {
		case path.Status() != Healthy:
		case path.Destination.Service == lost.Service:
			sameService = append(sameService, path)
		default:
			others = append(others, path)
		}
	}
	for index, path := range append(sameService, others...) {
		if index == maxSuspectedOthers {
			return
		}
		path.mu.Lock()
		path.markSuspectedLocked(paths.now())
		path.mu.Unlock()
	}
}

func (probe *Probe) complete(reached []string) Result {
	path := probe.Path
	path.mu.Lock()
	defer path.mu.Unlock()
	now := path.paths.now()
	result := Result{Before: path.Status(), Tried: len(probe.Servers), Reached: len(reached), UnhealthyFor: now - path.unhealthySince}
	for _, server := range probe.Servers {
		delete(path.reachedAt, server)
	}
	for _, server := range reached {
		if path.reachedAt != nil {
			path.reachedAt[server] = now
		}
	}
	switch result.Before {
	case Suspected:
		switch {
		case !probe.provesLost(len(reached)):
			path.markHealthyLocked(now)
		case path.silenceOnly && len(path.servers)+len(path.witnesses) > len(probe.Servers):
			path.probedAt = 0
		default:
			path.status.Store(int32(Lost))
		}
		path.silenceOnly = false
	case Lost:
		proven := path.lastProbePassed || len(path.servers)+len(path.witnesses) <= len(probe.Servers)
		path.lastProbePassed = len(reached) == len(probe.Servers)
		if proven && (len(probe.Servers)-len(reached))*lostDenominator <= len(probe.Servers) {
			path.markHealthyLocked(now)
		}
	}
	result.After = path.Status()
	return result
}

// markHealthyLocked sets the path to Healthy and discards all evidence against it.
func (path *Path) markHealthyLocked(now time.Duration) {
	if path.Status() != Healthy {
		path.paths.unhealthy.Add(-1)
	}
	path.status.Store(int32(Healthy))
	path.reachedAt, path.activeAt = nil, nil
	path.lastProbePassed, path.recoveredAt, path.lastConnect = false, now, now
	path.lastActivity.Store(int64(now))
	clear(path.broken)
	clear(path.connectFailed)
	path.updateFailureCountLocked()
}
