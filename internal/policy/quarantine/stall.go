package quarantine

import (
	"slices"
	"time"
)

// doubt is a request whose group stood still. It may only be slow.
type stall struct {
	fingerprint Fingerprint
	group, run  string
	at          time.Duration
}

const (
	// doubtKept is for how long a group that stands still may turn out to have lost a
	// member: longer than the registry takes to drop one that says nothing more.
	stallTTL = 6 * time.Second
	// doubtsMost bounds the doubts: the calls of some twenty groups.
	maxStalls = 512
)

// Doubt notes that a request's group stood still, which counts as an end once the group is
// known to have lost a member: of the groups that stand still, three in ten are whole.
func (list *List) RecordStall(fingerprint Fingerprint, group, run string) {
	list.stallsMu.Lock()
	defer list.stallsMu.Unlock()
	now := list.now()
	list.stalls = slices.DeleteFunc(list.stalls, func(doubt stall) bool { return now-doubt.at > stallTTL })
	if len(list.stalls) < maxStalls {
		list.stalls = append(list.stalls, stall{fingerprint: fingerprint, group: group, run: run, at: now})
	}
}

// Lost notes that a group lost a member, and returns the requests under which that is news.
func (list *List) ConfirmGroupLoss(group string) []Fingerprint {
	list.stallsMu.Lock()
	confirmed := []stall{}
	for _, doubt := range list.stalls {
		if doubt.group == group && list.now()-doubt.at <= stallTTL {
			confirmed = append(confirmed, doubt)
		}
	}
	list.stalls = slices.DeleteFunc(list.stalls, func(doubt stall) bool { return doubt.group == group })
	list.stallsMu.Unlock()
	news := []Fingerprint{}
	for _, doubt := range confirmed {
		if _, told := list.RecordFailure(doubt.fingerprint, doubt.run); told {
			news = append(news, doubt.fingerprint)
		}
	}
	return news
}
