package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/testlib/suite"
)

func newList(options ...quarantine.Option) *quarantine.List {
	return quarantine.New(append([]quarantine.Option{quarantine.Clock(clock.Virtual())}, options...)...)
}

const poison = quarantine.Fingerprint(7)

func TestThirdFailureQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		for number := range 3 {
			_, quarantined := list.Quarantined(poison)
			expect.Expect(quarantined).To(gomega.BeFalse())
			failures, changed := list.RecordFailure(quarantine.Subject{Fingerprint: poison}, fmt.Sprint("i-", number))
			expect.Expect(failures).To(gomega.Equal(number + 1))
			expect.Expect(changed).To(gomega.BeTrue())
		}
		verdict, quarantined := list.Quarantined(poison)
		expect.Expect(quarantined).To(gomega.BeTrue())
		expect.Expect(verdict.Failures).To(gomega.HaveLen(3))
		_, quarantined = list.Quarantined(poison + 1)
		expect.Expect(quarantined).To(gomega.BeFalse())
	})
}

// Guards against counting one server failure several times: twenty calls of one request break off
// with their server, and several nodes announce the failure.
func TestCallsOfOneServerCountAsOneFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		for range 20 {
			list.RecordFailure(quarantine.Subject{Fingerprint: poison}, "i-1/g1/0")
			time.Sleep(time.Millisecond)
		}
		expect.Expect(list.Merge(quarantine.Suspect{Subject: quarantine.Subject{Fingerprint: poison}, Failures: []quarantine.Failure{{Run: "i-1/g1/0", At: time.Hour}}})).To(gomega.BeFalse())
		_, quarantined := list.Quarantined(poison)
		expect.Expect(quarantined).To(gomega.BeFalse())
	})
}

// Guards against quarantining a harmless request: by coincidence three servers fail under it, it is
// answered by another node, and the failures are announced again afterwards.
func TestSuccessLiftsSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		here, there := newList(), newList()
		for number := range 3 {
			here.RecordFailure(quarantine.Subject{Fingerprint: poison}, fmt.Sprint("i-", number))
		}
		before, _ := here.Suspect(poison)
		expect.Expect(there.Merge(before)).To(gomega.BeTrue())
		time.Sleep(2 * time.Second)
		expect.Expect(there.RecordSuccess(poison)).To(gomega.BeTrue())
		after, _ := there.Suspect(poison)
		expect.Expect(here.Merge(after)).To(gomega.BeTrue())
		for _, list := range []*quarantine.List{here, there} {
			expect.Expect(list.Merge(before)).To(gomega.BeFalse())
			_, quarantined := list.Quarantined(poison)
			expect.Expect(quarantined).To(gomega.BeFalse())
			expect.Expect(list.State()).To(gomega.BeEmpty())
		}
	})
}

// Guards against quarantining a request because its groups stalled without losing a member. All
// groups of a slow data centre stall for a moment, and the request is moved away from three of
// them. Only the group that turns out to have lost a member counts.
func TestStalledGroupsCountOnlyAfterConfirmedLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		for _, group := range []string{"g1", "g2", "g3"} {
			list.RecordStall(quarantine.Subject{Fingerprint: poison}, group, "i/"+group)
		}
		_, known := list.Suspect(poison)
		expect.Expect(known).To(gomega.BeFalse())
		expect.Expect(list.ConfirmGroupLoss("g3")).To(gomega.Equal([]quarantine.Fingerprint{poison}))
		expect.Expect(list.ConfirmGroupLoss("g3")).To(gomega.BeEmpty())
		suspect, _ := list.Suspect(poison)
		expect.Expect(suspect.Failures).To(gomega.HaveLen(1))
		time.Sleep(7 * time.Second)
		expect.Expect(list.ConfirmGroupLoss("g1")).To(gomega.BeEmpty())
	})
}

// Guards against lifting an operator's quarantine by responses that were in progress when the
// operator decided.
func TestSuccessDoesNotLiftOperatorQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		expect.Expect(list.Quarantine(poison)).To(gomega.BeTrue())
		expect.Expect(list.RecordSuccess(poison)).To(gomega.BeFalse())
		_, quarantined := list.Quarantined(poison)
		expect.Expect(quarantined).To(gomega.BeTrue())
		time.Sleep(2 * time.Second)
		expect.Expect(list.Lift(poison)).To(gomega.BeTrue())
		_, quarantined = list.Quarantined(poison)
		expect.Expect(quarantined).To(gomega.BeFalse())
	})
}

func TestQuarantineExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList(quarantine.FailureTTL(time.Minute), quarantine.FailureThreshold(1))
		list.RecordFailure(quarantine.Subject{Fingerprint: poison}, "i-1")
		time.Sleep(40 * time.Second)
		verdict, quarantined := list.Quarantined(poison)
		expect.Expect(quarantined).To(gomega.BeTrue())
		expect.Expect(verdict.Remaining).To(gomega.Equal(20 * time.Second))
		time.Sleep(21 * time.Second)
		_, quarantined = list.Quarantined(poison)
		expect.Expect(quarantined).To(gomega.BeFalse())
		list.Sweep()
		_, known := list.Suspect(poison)
		expect.Expect(known).To(gomega.BeFalse())
	})
}

// Guards against a list that grows without bound, or loses a quarantined request, when a server
// failure adds thousands of requests.
func TestListIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		list := newList()
		for number := range 3 {
			list.RecordFailure(quarantine.Subject{Fingerprint: poison}, fmt.Sprint("i-", number))
		}
		for number := range 5000 {
			list.RecordFailure(quarantine.Subject{Fingerprint: quarantine.Fingerprint(1000 + number)}, "i-9")
		}
		expect.Expect(len(list.State())).To(gomega.BeNumerically("<=", 2048))
		_, quarantined := list.Quarantined(poison)
		expect.Expect(quarantined).To(gomega.BeTrue())
	})
}

// Guards against a request that is quarantined again after suspicion was lifted, because a node that was cut off
// meanwhile still reports the failures from before.
func TestLiftOutlastsTheFailuresBeforeIt(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	clock := quarantine.Clock(func() time.Duration { return now })
	list, cutOff := quarantine.New(clock), quarantine.New(clock)
	for _, run := range []string{"i-1", "i-2", "i-3"} {
		list.RecordFailure(quarantine.Subject{Fingerprint: poison}, run)
		cutOff.RecordFailure(quarantine.Subject{Fingerprint: poison}, run)
	}
	list.Merge(quarantine.Suspect{Subject: quarantine.Subject{Fingerprint: poison}, Answered: true})
	now += time.Second
	expect.Expect(list.Lift(poison)).To(gomega.BeTrue())
	now += 9 * time.Minute
	list.Sweep()
	suspect, known := cutOff.Suspect(poison)
	expect.Expect(known).To(gomega.BeTrue())
	list.Merge(suspect)
	_, quarantined := list.Quarantined(poison)
	expect.Expect(quarantined).To(gomega.BeFalse())
	suspect, _ = list.Suspect(poison)
	expect.Expect(suspect.Answered).To(gomega.BeFalse(), "an answer before the lift says nothing about later failures")
	now += 2 * time.Minute
	list.Sweep()
	_, known = list.Suspect(poison)
	expect.Expect(known).To(gomega.BeFalse(), "a lift is dropped when the failures before it no longer count")
}

// Guards against nodes whose lists differ after all announcements were exchanged in any order, late
// and repeatedly.
func TestListsConverge(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		clock := quarantine.Clock(func() time.Duration { return now })
		lists := []*quarantine.List{quarantine.New(clock), quarantine.New(clock), quarantine.New(clock)}
		announce := func(from, to int) {
			if suspect, known := lists[from].Suspect(poison); known {
				lists[to].Merge(suspect)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			node := rapid.IntRange(0, 2).Draw(t, "node")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				lists[node].RecordFailure(quarantine.Subject{Fingerprint: poison}, fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "run")))
			case 2:
				if rapid.IntRange(0, 3).Draw(t, "lift") == 0 {
					lists[node].Lift(poison)
				}
			default:
				announce(node, rapid.IntRange(0, 2).Draw(t, "to"))
			}
		}
		for range 2 {
			for from := range lists {
				for to := range lists {
					announce(from, to)
				}
			}
		}
		runs := func(list *quarantine.List) []string {
			found := []string{}
			for _, state := range list.State() {
				found = append(found, state.Ends...)
			}
			return slices.Sorted(slices.Values(found))
		}
		_, expected := lists[0].Quarantined(poison)
		for _, list := range lists {
			if _, quarantined := list.Quarantined(poison); quarantined != expected {
				t.Fatal("nodes disagree whether the request is quarantined")
			}
			if !slices.Equal(runs(list), runs(lists[0])) {
				t.Fatalf("nodes know different failures: %v and %v", runs(list), runs(lists[0]))
			}
		}
	})
}

// Guards against equal fingerprints of two requests that differ only in the boundary between two
// parts.
func TestFingerprintSeparatesParts(t *testing.T) {
	expect := gomega.NewWithT(t)
	first := quarantine.NewFingerprint(quarantine.Request{Workspace: "ab", Method: "c", Target: "/x", Body: []byte("y")})
	second := quarantine.NewFingerprint(quarantine.Request{Workspace: "a", Method: "bc", Target: "/x", Body: []byte("y")})
	expect.Expect(first).NotTo(gomega.Equal(second))
	expect.Expect(quarantine.NewFingerprint(quarantine.Request{Workspace: "ab", Method: "c", Target: "/xy"})).NotTo(gomega.Equal(first))
	parsed, err := quarantine.ParseFingerprint(first.String())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(parsed).To(gomega.Equal(first))
	_, err = quarantine.ParseFingerprint("xyz")
	expect.Expect(err).To(gomega.MatchError(quarantine.ErrInvalidFingerprint))
}

// Guards against a request that is never quarantined because it was answered shortly before, and against one that is
// quarantined at once although it is still being answered.
func TestAnsweredRequestIsQuarantinedUnlessAnsweredAgain(t *testing.T) {
	for _, answeredAgain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			here, there := newList(), newList()
			here.RecordSuccess(poison)
			time.Sleep(time.Second)
			// More failures than a list keeps, so that the one that reached the threshold is dropped.
			for number := range 19 {
				here.RecordFailure(quarantine.Subject{Fingerprint: poison}, fmt.Sprint("i-", number))
				time.Sleep(50 * time.Millisecond)
			}
			suspect, _ := here.Suspect(poison)
			there.Merge(suspect)
			for _, list := range []*quarantine.List{here, there} {
				_, quarantined := list.Quarantined(poison)
				expect.Expect(quarantined).To(gomega.BeFalse())
				expect.Expect(list.State()[0].Refused).To(gomega.BeFalse())
			}
			if answeredAgain {
				expect.Expect(there.RecordSuccess(poison)).To(gomega.BeTrue())
				suspect, _ = there.Suspect(poison)
				here.Merge(suspect)
			}
			time.Sleep(1200 * time.Millisecond)
			_, quarantined := here.Quarantined(poison)
			expect.Expect(quarantined).To(gomega.Equal(!answeredAgain))
			time.Sleep(800 * time.Millisecond)
			_, quarantined = there.Quarantined(poison)
			expect.Expect(quarantined).To(gomega.Equal(!answeredAgain))
		})
	}
}
