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

// Loads for spares took all that the weight store serves at once, for sixteen
// seconds each, and a group that lacked one server waited for the last of them.
func TestLoadsForSparesLeaveRoomForUrgentOnes(t *testing.T) {
	expect := gomega.NewWithT(t)
	former := New(Parts{Now: func() time.Duration { return time.Hour }, Bounds: Bounds{LoadWindow: 5 * time.Second, LoadBurst: 1.1}})
	service := Service{Name: "s", Engine: testEngine(8)}
	for range 40 {
		former.mayLoad(service, &Step{Stage: true, Loads: 1}, false)
	}
	expect.Expect(former.gate.running).To(gomega.Equal(4))
	expect.Expect(former.mayLoad(service, &Step{Stage: true, Loads: 1, Urgent: true}, false)).To(gomega.BeTrue())
}

// Before the first request loads take a tenth of their time, however many run. Held
// to what the weight store serves at once, groups and their spares were not ready
// when traffic came.
func TestManyLoadsRunBeforeTheFirstRequest(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	former := New(Parts{Now: func() time.Duration { return now }, Bounds: Bounds{LoadWindow: 5 * time.Second, LoadBurst: 1.1}})
	service := Service{Name: "s", Engine: testEngine(8)}
	begun := 0
	for range 20 {
		for former.mayLoad(service, &Step{Stage: true, Loads: 1}, true) {
			begun++
		}
		now += 100 * time.Millisecond
	}
	expect.Expect(begun).To(gomega.BeNumerically(">=", 66))
}

// The node that gives orders hears of the first request a tenth of a second late,
// and has ordered loads meanwhile. They count by then, with those that follow.
func TestLoadsAboutTheFirstRequestStayWithinTheBound(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	former := New(Parts{Now: func() time.Duration { return now }, Bounds: Bounds{LoadWindow: 5 * time.Second, LoadBurst: 1.1}})
	service := Service{Name: "s", Engine: testEngine(100)}
	begun := 0
	for step := range 40 {
		quiet := step < 3
		for former.mayLoad(service, &Step{Stage: true, Loads: 1, Urgent: true}, quiet) {
			begun++
		}
		now += 100 * time.Millisecond
	}
	expect.Expect(begun).To(gomega.BeNumerically("<=", 27))
}
