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
	// startAgain is how long after its end a process is started again.
	startAgain = 400 * time.Millisecond
	// graceMost is how long a process that was told to stop may take: the grace that
	// nodes are given, and a second.
	graceMost = 9 * time.Second
)

// process is a program that is started again when it ends, until it is stopped. It is
// ended by its own ID, and dies with whoever started it.
type process struct {
	name    string
	program string
	// arguments are those of the first start, again those of later ones.
	arguments, again []string
	folder           string
	note             func(format string, values ...any)
	workers          conc.WaitGroup

	mu      sync.Mutex
	running *exec.Cmd
	ended   chan struct{}
	// asked says that the end of the one that runs was asked for, paused that it was
	// stopped meanwhile, so that it may take longer.
	asked, paused bool
	stopping      bool
	starts        int
}

// start starts the process and keeps it running.
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
		return errors.Wrap(err, "make a log")
	}
	command := exec.Command(process.program, arguments...) //nolint:gosec // this very program, as its caller names it
	command.Stdout, command.Stderr = output, output
	// Its end must not depend on an orderly end of this process.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		output.Close()
		return errors.Wrapf(err, "start %s", process.name)
	}
	process.running, process.asked, process.paused = command, false, false
	ended := make(chan struct{})
	process.ended = ended
	process.workers.Go(func() {
		defer close(ended)
		defer output.Close()
		_ = command.Wait()
	})
	return nil
}

// supervise starts the process again whenever it has ended.
func (process *process) supervise() {
	for {
		process.mu.Lock()
		ended := process.ended
		process.mu.Unlock()
		<-ended
		process.mu.Lock()
		stopping, asked, state := process.stopping, process.asked, process.running.ProcessState
		process.mu.Unlock()
		if !asked {
			process.note("%s ended by itself: %s", process.name, state)
		}
		if stopping {
			return
		}
		time.Sleep(startAgain)
		if err := process.launch(process.again); err != nil {
			process.note("%s can't be started again: %v", process.name, err)
			return
		}
	}
}

// signal sends a signal to the process that runs now.
func (process *process) signal(signal syscall.Signal) {
	process.mu.Lock()
	defer process.mu.Unlock()
	select {
	case <-process.ended:
		return
	default:
	}
	switch signal {
	case syscall.SIGTERM, syscall.SIGKILL:
		process.asked = true
	case syscall.SIGSTOP:
		process.paused = true
	}
	_ = process.running.Process.Signal(signal)
}

// terminate asks the process to stop, and notes if it doesn't within its grace.
func (process *process) terminate() {
	process.mu.Lock()
	ended := process.ended
	process.mu.Unlock()
	process.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return
	case <-time.After(graceMost):
	}
	process.mu.Lock()
	paused := process.paused
	process.mu.Unlock()
	if !paused {
		process.note("%s did not stop within its grace", process.name)
	}
	process.signal(syscall.SIGKILL)
}

// stop ends the process for good.
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
