package tally_test

import (
	"reflect"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/fleet/tally"
	"hazelslip/internal/policy/dispatch"
)

func TestOwnPartIsTakenOff(t *testing.T) {
	expect := gomega.NewWithT(t)
	sum := tally.Shares{}
	tally.Add(sum, tally.Shares{"a": {Calls: 3, PendingPromptTokens: 700}, "b": {Calls: 1}})
	tally.Add(sum, tally.Shares{"a": {Calls: 2, PendingPromptTokens: 300}})
	rest := tally.Less(sum, tally.Shares{"a": {Calls: 2, PendingPromptTokens: 900}, "b": {Calls: 1}})
	expect.Expect(rest).To(gomega.Equal(tally.Shares{"a": dispatch.ServerLoad{Calls: 3, PendingPromptTokens: 100}}))
}

// Three reports are on the way when a sum comes back that includes the first one
// only. With the newest report taken off, calls that ended meanwhile would count as
// others', and new ones would be taken off twice.
func TestTheReportThatIsIncludedIsTakenOff(t *testing.T) {
	expect := gomega.NewWithT(t)
	reports := &tally.Reports{}
	first := reports.Add(tally.Shares{"a": {Calls: 5}})
	reports.Add(tally.Shares{"a": {Calls: 1}})
	reports.Add(tally.Shares{})
	expect.Expect(tally.Less(tally.Shares{"a": {Calls: 9}}, reports.At(first))).To(gomega.Equal(tally.Shares{"a": {Calls: 4}}))
	expect.Expect(reports.At(0)).To(gomega.BeNil())
	for range 20 {
		reports.Add(tally.Shares{})
	}
	expect.Expect(reports.At(first)).To(gomega.BeNil())
}

// Two relays tell each other their sums twenty times a second. Whatever calls begin
// and end, the listener must come to the teller's sum, and a frame holds only what
// changed.
func TestChangesBringTheListenerToTheTellersSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes, copied := &tally.Changes{}, &tally.Copy{}
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			sum := tally.Shares{}
			for _, server := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID).Draw(t, "servers") {
				sum[server] = dispatch.ServerLoad{Calls: rapid.IntRange(1, 3).Draw(t, "calls"), PendingPromptTokens: rapid.IntRange(0, 2).Draw(t, "unread")}
			}
			told, whole := changes.Next(sum)
			copied.Apply(whole, told)
			if !reflect.DeepEqual(copied.Shares(), sum) {
				t.Fatalf("%v in place of %v", copied.Shares(), sum)
			}
			if again, _ := changes.Next(sum); len(again) != 0 {
				t.Fatalf("%v was told again", again)
			}
		}
	})
}

func TestCountsThatOnlyFadeAreNotToldAgain(t *testing.T) {
	expect := gomega.NewWithT(t)
	changes := &tally.Changes{}
	changes.Next(tally.Shares{"a": {Failed: 200, Answered: 400}})
	told, _ := changes.Next(tally.Shares{"a": {Failed: 190, Answered: 380}})
	expect.Expect(told).To(gomega.BeEmpty())
	told, _ = changes.Next(tally.Shares{"a": {Failed: 170, Answered: 340}})
	expect.Expect(told).To(gomega.HaveLen(1))
}
