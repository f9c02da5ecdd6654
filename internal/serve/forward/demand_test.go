package forward

import (
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/configuration"
)

// newDemandExchange returns an exchange for a model without a group, and the counter of its demand.
func newDemandExchange(model string) (*exchange, *demand.Demand) {
	now := clock.Virtual()
	counter := demand.New(demand.Clock(now))
	table := configuration.NewTable()
	table.StoreIfNewer(&configuration.Configuration{Version: 1, Services: []configuration.Service{
		{Name: "drafts", Engine: &configuration.Engine{Models: []configuration.Model{{Name: "large"}}}},
	}})
	return &exchange{
		forwarder: &Forwarder{Dependencies: Dependencies{Board: dispatch.New(dispatch.Clock(now), dispatch.Demand(counter)), Now: now}},
		request:   &Request{Model: model}, snapshot: table.Load(), service: "drafts",
	}, counter
}

// Guards against refused streams that are not counted as demand: a model without a group would seem to need none.
func TestStreamsWithoutASlotCountAsDemand(t *testing.T) {
	expect := gomega.NewWithT(t)
	exchange, counter := newDemandExchange("large")
	_, shed := exchange.shouldShed()
	expect.Expect(shed).To(gomega.BeFalse())
	exchange.recordNoSlot(nil, dispatch.NoTarget)
	expect.Expect(counter.Counts.Requested.Load()).To(gomega.BeNumerically("==", 1))
	expect.Expect(counter.Counts.Refused.Load()).To(gomega.BeNumerically("==", 1))
	rates, _ := counter.Rates("drafts/large")
	expect.Expect(rates.Refused).To(gomega.BeNumerically(">", 0))
	expect.Expect(rates.Requested[rankFresh]).To(gomega.BeNumerically(">", 0))
}

// Guards against memory and frames that grow with the model names that callers make up.
func TestUnknownModelsAreNotCountedAsDemand(t *testing.T) {
	expect := gomega.NewWithT(t)
	exchange, counter := newDemandExchange("made up")
	_, shed := exchange.shouldShed()
	expect.Expect(shed).To(gomega.BeFalse())
	exchange.recordNoSlot(nil, dispatch.NoTarget)
	expect.Expect(counter.Local()).To(gomega.BeEmpty())
}
