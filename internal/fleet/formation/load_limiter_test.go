package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/state/configuration"
)

func testEngine(loadsAtOnce int) *configuration.Engine {
	return &configuration.Engine{Slots: 16, LoadsPerSecond: 5, LoadsAtOnce: loadsAtOnce}
}

// Guards against loads for spares that use up the capacity of the weight store. They took all
// concurrent loads for sixteen seconds each, and a group that lacked one server waited for the last
// of them.
func TestSpareLoadsLeaveCapacityForUrgentLoads(t *testing.T) {
	expect := gomega.NewWithT(t)
	controller := New(Dependencies{Now: func() time.Duration { return time.Hour }, Bounds: Bounds{LoadWindow: 5 * time.Second, LoadBurstFactor: 1.1}})
	service := Service{Name: "s", Engine: testEngine(8)}
	for range 40 {
		controller.admitLoads(service, &Step{Stage: true, Loads: 1}, false)
	}
	expect.Expect(controller.loadLimiter.running).To(gomega.Equal(4))
	expect.Expect(controller.admitLoads(service, &Step{Stage: true, Loads: 1, Urgent: true}, false)).To(gomega.BeTrue())
}

// Guards against a limit on concurrent loads before the first request, when each load takes a tenth
// of its usual time however many run. With the usual limit, groups and their spares were not ready
// when traffic began.
func TestConcurrencyLimitIsLiftedBeforeTheFirstRequest(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	controller := New(Dependencies{Now: func() time.Duration { return now }, Bounds: Bounds{LoadWindow: 5 * time.Second, LoadBurstFactor: 1.1}})
	service := Service{Name: "s", Engine: testEngine(8)}
	started := 0
	for range 20 {
		for controller.admitLoads(service, &Step{Stage: true, Loads: 1}, true) {
			started++
		}
		now += 100 * time.Millisecond
	}
	expect.Expect(started).To(gomega.BeNumerically(">=", 66))
}

// Guards against exceeding the limit on loads around the first request. The leader learns of the
// first request a tenth of a second late and has ordered loads meanwhile. These loads must count
// together with the following ones.
func TestLoadsAroundTheFirstRequestStayWithinTheLimit(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	controller := New(Dependencies{Now: func() time.Duration { return now }, Bounds: Bounds{LoadWindow: 5 * time.Second, LoadBurstFactor: 1.1}})
	service := Service{Name: "s", Engine: testEngine(100)}
	started := 0
	for step := range 40 {
		beforeFirstRequest := step < 3
		for controller.admitLoads(service, &Step{Stage: true, Loads: 1, Urgent: true}, beforeFirstRequest) {
			started++
		}
		now += 100 * time.Millisecond
	}
	expect.Expect(started).To(gomega.BeNumerically("<=", 27))
}
