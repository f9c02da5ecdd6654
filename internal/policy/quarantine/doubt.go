package quarantine

import (
	"slices"
	"time"
)

// doubt is a request whose group stood still. It may only be slow.
type doubt struct {
	fingerprint Fingerprint
	group, run  string
	at          time.Duration
}

const (
	// doubtKept is for how long a group that stands still may turn out to have lost a
	// member: longer than the registry takes to drop one that says nothing more.
	doubtKept = 6 * time.Second
	// doubtsMost bounds the doubts: the calls of some twenty groups.
	doubtsMost = 512
)

// Doubt notes that a request's group stood still, which counts as an end once the group is
// known to have lost a member: of the groups that stand still, three in ten are whole.
func (list *List) Doubt(fingerprint Fingerprint, group, run string) {
	list.doubtsMu.Lock()
	defer list.doubtsMu.Unlock()
	now := list.now()
	list.doubts = slices.DeleteFunc(list.doubts, func(doubt doubt) bool { return now-doubt.at > doubtKept })
	if len(list.doubts) < doubtsMost {
		list.doubts = append(list.doubts, doubt{fingerprint: fingerprint, group: group, run: run, at: now})
	}
}

// Lost notes that a group lost a member, and returns the requests under which that is news.
func (list *List) Lost(group string) []Fingerprint {
	list.doubtsMu.Lock()
	confirmed := []doubt{}
	for _, doubt := range list.doubts {
		if doubt.group == group && list.now()-doubt.at <= doubtKept {
			confirmed = append(confirmed, doubt)
		}
	}
	list.doubts = slices.DeleteFunc(list.doubts, func(doubt doubt) bool { return doubt.group == group })
	list.doubtsMu.Unlock()
	news := []Fingerprint{}
	for _, doubt := range confirmed {
		if _, told := list.Ended(doubt.fingerprint, doubt.run); told {
			news = append(news, doubt.fingerprint)
		}
	}
	return news
}
