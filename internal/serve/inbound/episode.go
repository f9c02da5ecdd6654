package inbound

import (
	"net"
	"slices"
	"strings"
)

// Limit is a limit that refuses clients.
type Limit string

// The limits. Each is named after the setting or the resource that bounds it.
const (
	LimitHeaderBytes   Limit = "MaxHeaderBytes"
	LimitHeadMemory    Limit = "Memory"
	LimitHeaderTimeout Limit = "HeaderTimeout"
	LimitConns         Limit = "MaxConnections"
)

const (
	// episodeEnd is the number of sweeps without a refusal after which an episode has ended.
	episodeEnd = 10
	// maxEpisodeHosts bounds the hosts that are counted in an episode.
	maxEpisodeHosts = 256
)

// Episode is a time in which a limit refused clients at an address.
type Episode struct {
	Address string
	Limit   Limit
	// Ended is false when the episode begins.
	Ended bool
	// Refused is the number of refused requests or connections, Hosts that of the hosts they came from, at most
	// maxEpisodeHosts.
	Refused uint64
	Hosts   int
}

// episode is an Episode in progress.
type episode struct {
	refused  uint64
	hosts    map[string]struct{}
	latest   int64
	reported bool
}

// recordLocked records that a limit refused a client.
func (address *Address) recordLocked(limit Limit, conn net.Conn) {
	current := address.episodes[limit]
	if current == nil {
		current = &episode{hosts: map[string]struct{}{}}
		address.episodes[limit] = current
	}
	current.refused++
	current.latest = address.guard.sweeps.Load()
	if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil && len(current.hosts) < maxEpisodeHosts {
		current.hosts[host] = struct{}{}
	}
}

// reportEpisodes reports the episodes that have begun or ended.
func (address *Address) reportEpisodes(now int64) {
	reports := []Episode{}
	address.mu.Lock()
	for limit, current := range address.episodes {
		ended := now-current.latest > episodeEnd
		if ended || !current.reported {
			reports = append(reports, address.episodeLocked(limit, ended))
		}
		current.reported = true
		if ended {
			delete(address.episodes, limit)
		}
	}
	address.mu.Unlock()
	for _, report := range reports {
		address.guard.report(report)
	}
}

func (address *Address) episodeLocked(limit Limit, ended bool) Episode {
	current := address.episodes[limit]
	return Episode{Address: address.Name, Limit: limit, Ended: ended, Refused: current.refused, Hosts: len(current.hosts)}
}

// ongoingLocked returns the episodes in progress, in the order of their limits.
func (address *Address) ongoingLocked() []Episode {
	ongoing := []Episode{}
	for limit := range address.episodes {
		ongoing = append(ongoing, address.episodeLocked(limit, false))
	}
	slices.SortFunc(ongoing, func(one, other Episode) int { return strings.Compare(string(one.Limit), string(other.Limit)) })
	return ongoing
}
