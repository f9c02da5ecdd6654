package serverload_test

import (
	"reflect"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/fleet/serverload"
	"hazelslip/internal/policy/dispatch"
)

func TestSubtractRemovesOwnLoad(t *testing.T) {
	expect := gomega.NewWithT(t)
	total := serverload.ServerLoads{}
	serverload.Add(total, serverload.ServerLoads{"a": {Calls: 3, PendingPromptTokens: 700}, "b": {Calls: 1}})
	serverload.Add(total, serverload.ServerLoads{"a": {Calls: 2, PendingPromptTokens: 300}})
	rest := serverload.Subtract(total, serverload.ServerLoads{"a": {Calls: 2, PendingPromptTokens: 900}, "b": {Calls: 1}})
	expect.Expect(rest).To(gomega.Equal(serverload.ServerLoads{"a": dispatch.ServerLoad{Calls: 3, PendingPromptTokens: 100}}))
}

// Guards against subtracting the wrong report. A total arrives that includes only the first of three reports. If the
// newest report were subtracted, calls that ended meanwhile would count as other nodes' calls, and new calls would be
// subtracted although the total lacks them.
func TestIncludedReportIsSubtracted(t *testing.T) {
	expect := gomega.NewWithT(t)
	reports := &serverload.Reports{}
	first := reports.Add(serverload.ServerLoads{"a": {Calls: 5}})
	reports.Add(serverload.ServerLoads{"a": {Calls: 1}})
	reports.Add(serverload.ServerLoads{})
	expect.Expect(serverload.Subtract(serverload.ServerLoads{"a": {Calls: 9}}, reports.Find(first))).To(gomega.Equal(serverload.ServerLoads{"a": {Calls: 4}}))
	expect.Expect(reports.Find(0)).To(gomega.BeNil())
	for range 20 {
		reports.Add(serverload.ServerLoads{})
	}
	expect.Expect(reports.Find(first)).To(gomega.BeNil())
}

// Two relays exchange totals twenty times a second. Whatever calls begin and end, the receiver's total must equal the
// sender's, and a frame must contain only changes.
func TestDeltasReproduceTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := &serverload.DeltaSender{}, &serverload.DeltaReceiver{}
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			total := serverload.ServerLoads{}
			for _, server := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID).Draw(t, "servers") {
				total[server] = dispatch.ServerLoad{Calls: rapid.IntRange(1, 3).Draw(t, "calls"), PendingPromptTokens: rapid.IntRange(0, 2).Draw(t, "unread")}
			}
			changed, full := sender.Next(total)
			receiver.Apply(full, changed)
			if !reflect.DeepEqual(receiver.Loads(), total) {
				t.Fatalf("received total is %v, want %v", receiver.Loads(), total)
			}
			if again, _ := sender.Next(total); len(again) != 0 {
				t.Fatalf("%v was sent again without a change", again)
			}
		}
	})
}

func TestDecayBelowThresholdIsNotSent(t *testing.T) {
	expect := gomega.NewWithT(t)
	sender := &serverload.DeltaSender{}
	sender.Next(serverload.ServerLoads{"a": {Failed: 200, Answered: 400}})
	changed, _ := sender.Next(serverload.ServerLoads{"a": {Failed: 190, Answered: 380}})
	expect.Expect(changed).To(gomega.BeEmpty())
	changed, _ = sender.Next(serverload.ServerLoads{"a": {Failed: 170, Answered: 340}})
	expect.Expect(changed).To(gomega.HaveLen(1))
}
