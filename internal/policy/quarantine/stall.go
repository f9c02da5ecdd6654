package quarantine

import (
	"slices"
	"time"
)

// stall is a request, or a part of its prompt, whose group stalled. The group may only be slow.
type stall struct {
	subject    Subject
	group, run string
	at         time.Duration
}

const (
	// stallTTL is how long after a stall the loss of a group member still counts as a failure under the
	// request. It is longer than the registry takes to drop a member that no longer reports.
	stallTTL = 6 * time.Second
	// maxStalls bounds the recorded stalls. It suffices for the calls of about twenty groups, or of some groups whose
	// prompts have several parts.
	maxStalls = 512
)

// RecordStall records that the group of a request stalled, or of a request with a part. The stall counts as a failure only after
// the group is known to have lost a member, because three in ten stalled groups are intact.
func (list *List) RecordStall(subject Subject, group, run string) {
	list.stallsMu.Lock()
	defer list.stallsMu.Unlock()
	now := list.now()
	list.stalls = slices.DeleteFunc(list.stalls, func(pending stall) bool { return now-pending.at > stallTTL })
	if len(list.stalls) < maxStalls {
		list.stalls = append(list.stalls, stall{subject: subject, group: group, run: run, at: now})
	}
}

// DropStalls forgets the stalls of a group that was retired. Such a group ends without the loss of a member.
func (list *List) DropStalls(group string) {
	list.stallsMu.Lock()
	defer list.stallsMu.Unlock()
	list.stalls = slices.DeleteFunc(list.stalls, func(pending stall) bool { return pending.group == group })
}

// ConfirmGroupLoss records that a group lost a member. It turns the stalls of the group into
// failures and returns the subjects with a new failure.
func (list *List) ConfirmGroupLoss(group string) []Fingerprint {
	list.stallsMu.Lock()
	confirmed := []stall{}
	for _, pending := range list.stalls {
		if pending.group == group && list.now()-pending.at <= stallTTL {
			confirmed = append(confirmed, pending)
		}
	}
	list.stalls = slices.DeleteFunc(list.stalls, func(pending stall) bool { return pending.group == group })
	list.stallsMu.Unlock()
	newFailures := []Fingerprint{}
	for _, pending := range confirmed {
		if _, changed := list.RecordFailure(pending.subject, pending.run); changed {
			newFailures = append(newFailures, pending.subject.Fingerprint)
		}
	}
	return newFailures
}
