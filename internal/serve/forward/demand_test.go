package forward

import (
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/configuration"
)

// counted is an exchange for a model without a group, and where its demand is counted.
func counted(model string) (*exchange, *demand.Demand) {
	now := clock.Virtual()
	held := demand.New(demand.Clock(now))
	table := configuration.NewTable()
	table.StoreIfNewer(&configuration.Configuration{Version: 1, Services: []configuration.Service{
		{Name: "drafts", Engine: &configuration.Engine{Models: []configuration.Model{{Name: "large"}}}},
	}})
	return &exchange{
		forwarder: &Forwarder{Parts: Parts{Board: dispatch.New(dispatch.Clock(now), dispatch.Demands(held)), Now: now}},
		request:   &Request{Model: model}, snapshot: table.Load(), service: "drafts",
	}, held
}

// Guards against refused streams that don't count as demand: a model without a group would seem to need none.
func TestStreamsWithoutASlotCountAsDemand(t *testing.T) {
	expect := gomega.NewWithT(t)
	exchange, held := counted("large")
	_, shed := exchange.sheds()
	expect.Expect(shed).To(gomega.BeFalse())
	exchange.noSlot(nil, dispatch.None)
	expect.Expect(held.Counts.Asked.Load()).To(gomega.BeNumerically("==", 1))
	expect.Expect(held.Counts.Refused.Load()).To(gomega.BeNumerically("==", 1))
	rates, _ := held.Rates("drafts/large")
	expect.Expect(rates.Refused).To(gomega.BeNumerically(">", 0))
	expect.Expect(rates.Asked[rankFresh]).To(gomega.BeNumerically(">", 0))
}

// Guards against memory and frames that grow with the names of models that callers make up.
func TestModelsThatNothingServesAreNoDemand(t *testing.T) {
	expect := gomega.NewWithT(t)
	exchange, held := counted("made up")
	_, shed := exchange.sheds()
	expect.Expect(shed).To(gomega.BeFalse())
	exchange.noSlot(nil, dispatch.None)
	expect.Expect(held.Own()).To(gomega.BeEmpty())
}
