package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// restartDelay is the time between the end of a process and its restart.
	restartDelay = 400 * time.Millisecond
	// stopTimeout is how long a process may take to stop after SIGTERM: the grace period of
	// the nodes plus 1 s.
	stopTimeout = 9 * time.Second
)

// process runs a program and restarts it when it ends, until stop is called. The program is
// signalled by its own process ID, and dies with the process that started it.
type process struct {
	name    string
	program string
	// arguments are used for the first start, restartArguments for later starts.
	arguments, restartArguments []string
	folder                      string
	recordViolation             func(format string, values ...any)
	workers                     conc.WaitGroup

	mu      sync.Mutex
	running *exec.Cmd
	ended   chan struct{}
	// endRequested is set if the running program was told to end, paused if it was sent SIGSTOP.
	// A paused program may take longer than stopTimeout to stop.
	endRequested, paused bool
	stopping             bool
	starts               int
}

// start starts the program and supervises it.
func (process *process) start() error {
	if err := process.launch(process.arguments); err != nil {
		return err
	}
	process.workers.Go(process.supervise)
	return nil
}

func (process *process) launch(arguments []string) error {
	process.mu.Lock()
	defer process.mu.Unlock()
	if process.stopping {
		return nil
	}
	process.starts++
	output, err := os.Create(filepath.Join(process.folder, fmt.Sprintf("%s-%d.log", process.name, process.starts)))
	if err != nil {
		return errors.Wrap(err, "create a log file")
	}
	command := exec.Command(process.program, arguments...) //nolint:gosec // the program under test, named by the caller
	command.Stdout, command.Stderr = output, output
	// Pdeathsig ends the program even if this process crashes.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		output.Close()
		return errors.Wrapf(err, "start %s", process.name)
	}
	process.running, process.endRequested, process.paused = command, false, false
	ended := make(chan struct{})
	process.ended = ended
	process.workers.Go(func() {
		defer close(ended)
		defer output.Close()
		_ = command.Wait()
	})
	return nil
}

// supervise restarts the program whenever it has ended.
func (process *process) supervise() {
	for {
		process.mu.Lock()
		ended := process.ended
		process.mu.Unlock()
		<-ended
		process.mu.Lock()
		stopping, endRequested, state := process.stopping, process.endRequested, process.running.ProcessState
		process.mu.Unlock()
		if !endRequested {
			process.recordViolation("%s exited unexpectedly: %s", process.name, state)
		}
		if stopping {
			return
		}
		time.Sleep(restartDelay)
		if err := process.launch(process.restartArguments); err != nil {
			process.recordViolation("restart %s: %v", process.name, err)
			return
		}
	}
}

// pid returns the ID of the program's process. The process may have ended.
func (process *process) pid() int {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.running.Process.Pid
}

// signal sends a signal to the running program, and reports false if the program has ended.
func (process *process) signal(signal syscall.Signal) bool {
	process.mu.Lock()
	defer process.mu.Unlock()
	select {
	case <-process.ended:
		return false
	default:
	}
	switch signal {
	case syscall.SIGTERM, syscall.SIGKILL:
		process.endRequested = true
	case syscall.SIGSTOP:
		process.paused = true
	}
	return process.running.Process.Signal(signal) == nil
}

// terminate sends SIGTERM, and SIGKILL after stopTimeout. It records a violation if the program did not stop in
// time, unless the program was paused. It reports whether SIGTERM was sent.
func (process *process) terminate() bool {
	process.mu.Lock()
	ended := process.ended
	process.mu.Unlock()
	sent := process.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return sent
	case <-time.After(stopTimeout):
	}
	process.mu.Lock()
	paused := process.paused
	process.mu.Unlock()
	if !paused {
		process.recordViolation("%s did not stop within its grace period", process.name)
	}
	process.signal(syscall.SIGKILL)
	return sent
}

// stop ends the program without a restart.
func (process *process) stop() {
	process.mu.Lock()
	process.stopping = true
	started := process.running != nil
	process.mu.Unlock()
	if !started {
		return
	}
	process.signal(syscall.SIGCONT)
	process.terminate()
	process.workers.Wait()
}
