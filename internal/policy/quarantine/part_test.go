package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/quarantine"
)

// partList is a list whose clock the test controls.
func partList() (*quarantine.List, *time.Duration) {
	now := new(time.Duration)
	*now = time.Hour
	return quarantine.New(quarantine.Clock(func() time.Duration { return *now })), now
}

func isQuarantined(list *quarantine.List, fingerprint quarantine.Fingerprint) bool {
	_, quarantined := list.Quarantined(fingerprint)
	return quarantined
}

// Guards against requests that stay quarantined because their servers failed under a part of other requests.
func TestPartExplainsFailuresOfRequests(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, _ := partList()
	part, innocent := quarantine.NewPartFingerprint("bad"), quarantine.Fingerprint(7)
	for number := range 3 {
		run := fmt.Sprintf("i-%d", number)
		list.RecordFailure(quarantine.Subject{Fingerprint: part, Part: true}, run)
		list.RecordFailure(quarantine.Subject{Fingerprint: innocent}, run)
	}
	expect.Expect(isQuarantined(list, innocent)).To(gomega.BeTrue(), "either may be the cause")
	list.RecordFailure(quarantine.Subject{Fingerprint: part, Part: true}, "i-3")
	expect.Expect(isQuarantined(list, part)).To(gomega.BeTrue())
	expect.Expect(isQuarantined(list, innocent)).To(gomega.BeFalse())
	for number := range 3 {
		list.RecordFailure(quarantine.Subject{Fingerprint: innocent}, fmt.Sprintf("j-%d", number))
	}
	expect.Expect(isQuarantined(list, innocent)).To(gomega.BeTrue(), "the part does not explain these failures")
}

// Guards against a request that takes the parts of its prompt with it, when it alone makes servers fail.
func TestRequestExplainsFailuresOfItsParts(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, _ := partList()
	part, request := quarantine.NewPartFingerprint("shared"), quarantine.Fingerprint(7)
	for number := range 4 {
		run := fmt.Sprintf("i-%d", number)
		list.RecordFailure(quarantine.Subject{Fingerprint: part, Part: true}, run)
		list.RecordFailure(quarantine.Subject{Fingerprint: request}, run)
	}
	expect.Expect(isQuarantined(list, request)).To(gomega.BeTrue())
	expect.Expect(isQuarantined(list, part)).To(gomega.BeFalse())
}

// Guards against parts of sound requests that are quarantined with the part that makes servers fail, and against a part
// that begins to do so after it had been answered.
func TestAnsweredPartNeedsMoreFailures(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, now := partList()
	part := quarantine.NewPartFingerprint("first")
	list.RecordSuccess(part)
	_, changed := list.RecordFailure(quarantine.Subject{Fingerprint: part, Part: true}, "i-0")
	expect.Expect(changed).To(gomega.BeFalse(), "it was answered just now")
	*now += 5 * time.Second
	for number := range 5 {
		_, changed = list.RecordFailure(quarantine.Subject{Fingerprint: part, Part: true}, fmt.Sprintf("i-%d", number))
		expect.Expect(changed).To(gomega.BeTrue())
	}
	expect.Expect(isQuarantined(list, part)).To(gomega.BeFalse())
	expect.Expect(list.NearlyQuarantined(part)).To(gomega.BeTrue())
	list.RecordFailure(quarantine.Subject{Fingerprint: part, Part: true}, "i-5")
	expect.Expect(isQuarantined(list, part)).To(gomega.BeTrue())
	list.RecordSuccess(part)
	expect.Expect(isQuarantined(list, part)).To(gomega.BeFalse())
}

// Guards against requests with a sound part that are not sent again although several more failures are needed.
func TestAnsweredPartIsNearlyQuarantinedLater(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, now := partList()
	answered, unknown := quarantine.NewPartFingerprint("first"), quarantine.NewPartFingerprint("new")
	list.RecordSuccess(answered)
	*now += 5 * time.Second
	for number := range 2 {
		list.RecordFailure(quarantine.Subject{Fingerprint: answered, Part: true}, fmt.Sprintf("i-%d", number))
		list.RecordFailure(quarantine.Subject{Fingerprint: unknown, Part: true}, fmt.Sprintf("i-%d", number))
	}
	expect.Expect(list.NearlyQuarantined(unknown)).To(gomega.BeTrue())
	expect.Expect(list.NearlyQuarantined(answered)).To(gomega.BeFalse())
}

// Guards against failures that other nodes report under a part that this node has just seen answered.
func TestReportedFailureOfAnAnsweredPartIsLifted(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, now := partList()
	part := quarantine.NewPartFingerprint("first")
	list.RecordSuccess(part)
	*now += time.Second
	failures := []quarantine.Failure{{Run: "i-1", At: *now}, {Run: "i-2", At: *now}, {Run: "i-3", At: *now}}
	expect.Expect(list.Merge(quarantine.Suspect{Subject: quarantine.Subject{Fingerprint: part, Part: true}, Failures: failures})).To(gomega.BeTrue())
	suspect, _ := list.Suspect(part)
	expect.Expect(suspect.Failures).To(gomega.BeEmpty())
	expect.Expect(suspect.LiftedAt).To(gomega.Equal(*now))
}

// Guards against a part whose group stalled and that is taken for a request.
func TestStallOfAPartStaysOneOfAPart(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, _ := partList()
	part := quarantine.NewPartFingerprint("bad")
	list.RecordStall(quarantine.Subject{Fingerprint: part, Part: true}, "g", "i-1")
	expect.Expect(list.ConfirmGroupLoss("g")).To(gomega.Equal([]quarantine.Fingerprint{part}))
	expect.Expect(list.IsPart(part)).To(gomega.BeTrue())
}

// Guards against new parts that push out those that make servers fail: callers choose the names of parts.
func TestManyPartsDoNotPushOutTheHarmful(t *testing.T) {
	expect := gomega.NewWithT(t)
	list, _ := partList()
	part := quarantine.NewPartFingerprint("bad")
	for number := range 3 {
		list.RecordFailure(quarantine.Subject{Fingerprint: part, Part: true}, fmt.Sprintf("i-%d", number))
	}
	for number := range 10000 {
		list.RecordFailure(quarantine.Subject{Fingerprint: quarantine.NewPartFingerprint(fmt.Sprintf("new %d", number)), Part: true}, "j")
	}
	expect.Expect(isQuarantined(list, part)).To(gomega.BeTrue())
	expect.Expect(len(list.State())).To(gomega.BeNumerically("<=", 2048))
}

// BenchmarkPartCheck measures the check of a request with eight parts, by the number of suspects.
func BenchmarkPartCheck(b *testing.B) {
	for _, suspects := range []int{0, 10, 1000} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			list := quarantine.New()
			for number := range suspects {
				for run := range 3 {
					list.RecordFailure(quarantine.Subject{Fingerprint: quarantine.NewPartFingerprint(fmt.Sprintf("bad %d", number)), Part: true}, fmt.Sprintf("i-%d-%d", number, run))
				}
			}
			parts := []quarantine.Fingerprint{}
			for number := range 8 {
				parts = append(parts, quarantine.NewPartFingerprint(fmt.Sprintf("sound %d", number)))
			}
			for b.Loop() {
				for _, part := range parts {
					_, _ = list.Quarantined(part)
				}
			}
		})
	}
}
