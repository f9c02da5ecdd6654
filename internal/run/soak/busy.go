package soak

import (
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
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
