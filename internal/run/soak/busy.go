package soak

import (
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// maxBusy bounds the number of busy processes.
	maxBusy = 64
	// busyMargin is how long after the faults busy processes end by themselves.
	busyMargin = 30 * time.Second
	// stepsPerSpin is the number of steps of a busy process between two looks at the clock.
	stepsPerSpin = 1 << 20
)

// busyProcesses are processes that compete with the nodes for processors, so that nodes are not scheduled for a while.
type busyProcesses struct {
	running []*exec.Cmd
}

// pauseMeter measures for how long this process was not scheduled at a time.
type pauseMeter struct {
	worker  conc.WaitGroup
	done    chan struct{}
	longest time.Duration
}

// pauseInterval is how long the meter sleeps between two looks at the clock.
const pauseInterval = 5 * time.Millisecond

func startPauseMeter() *pauseMeter {
	meter := &pauseMeter{done: make(chan struct{})}
	meter.worker.Go(func() {
		for {
			start := time.Now()
			select {
			case <-meter.done:
				return
			case <-time.After(pauseInterval):
				meter.longest = max(meter.longest, time.Since(start)-pauseInterval)
			}
		}
	})
	return meter
}

// stop returns the longest pause.
func (meter *pauseMeter) stop() time.Duration {
	close(meter.done)
	meter.worker.Wait()
	return meter.longest
}

// startBusy starts as many busy processes as the options say. Each keeps one processor busy, with normal priority, and
// ends by itself if nothing ends it before.
func startBusy(options Options) (*busyProcesses, error) {
	busy := &busyProcesses{}
	for range options.Busy {
		command := exec.Command(options.Program, "soak", "--spin", (options.Length + busyMargin).String()) //nolint:gosec // the program under test, named by the caller
		command.Env = append(command.Environ(), "GOMAXPROCS=1")
		command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			busy.stop()
			return nil, errors.Wrap(err, "start a busy process")
		}
		busy.running = append(busy.running, command)
	}
	return busy, nil
}

// stop ends the busy processes and waits for them.
func (busy *busyProcesses) stop() {
	for _, command := range busy.running {
		_ = command.Process.Kill()
	}
	for _, command := range busy.running {
		_ = command.Wait()
	}
	busy.running = nil
}

// Spin keeps one processor busy for a duration.
func Spin(duration time.Duration) {
	for start := time.Now(); time.Since(start) < duration; {
		for count := 0; count < stepsPerSpin; count++ {
		}
	}
}
