package clock_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
)

// Guards against a process that was stopped and counts the time in which it did not run as silence of others.
func TestLateTickIsPause(t *testing.T) {
	const interval = 40 * time.Millisecond
	cases := map[string]struct {
		beforeSleep, asleep, pause time.Duration
	}{
		"on time":                         {asleep: interval},
		"a little late":                   {asleep: 90 * time.Millisecond},
		"stopped while asleep":            {asleep: interval + time.Second, pause: time.Second},
		"stopped while at work":           {beforeSleep: time.Second, asleep: interval, pause: time.Second},
		"without processor time, briefly": {asleep: interval + 100*time.Millisecond, pause: 100 * time.Millisecond},
	}
	for name, tick := range cases {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			now := time.Hour
			detector := clock.NewPauseDetector(func() time.Duration { return now })
			detector.Schedule(interval)
			now += interval
			expect.Expect(detector.Observe()).To(gomega.BeZero())
			for range 3 {
				now += tick.beforeSleep
				expect.Expect(detector.Schedule(interval)).To(gomega.Equal(interval))
				now += tick.asleep
				expect.Expect(detector.Observe()).To(gomega.Equal(tick.pause))
			}
			now += time.Second
			detector.Restart()
			detector.Schedule(interval)
			now += interval
			expect.Expect(detector.Observe()).To(gomega.BeZero(), "the task waited for an answer")
			detector.Schedule(5 * interval)
			now += 5 * interval
			expect.Expect(detector.Observe()).To(gomega.BeZero(), "a longer interval is no pause")
		})
	}
}

func TestPauseDoesNotCountAsSilence(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	expect.Expect(now - clock.AfterPause(now-1150*time.Millisecond, time.Second, now)).To(gomega.Equal(150 * time.Millisecond))
	expect.Expect(clock.AfterPause(now-time.Millisecond, time.Second, now)).To(gomega.Equal(now), "something arrived during the pause")
}
