// Package lifecycle starts and stops the goroutines of one component of the process.
//
// A Component owns every goroutine that it starts. The owner of the Component calls Stop, which signals all goroutines
// to end, waits for them and closes Done. A panic in a goroutine is propagated by conc to the caller of Stop. Each
// goroutine carries the component's name as a profiler label. Goroutines started from it inherit the label, so a CPU
// profile shows the cost of each component.
//
// # Usage
//
//	component := lifecycle.New("watcher")
//	component.Every(time.Second, func() { ... })
//	component.Go(func() { <-component.Stopping })
//	component.Stop()
//	<-component.Done
package lifecycle

import (
	"context"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Component is a group of goroutines with a common name and a common shutdown. Stopping is closed when a stop is
// requested, Done when Stop has waited for all goroutines.
type Component struct {
	Stopping chan struct{}
	Done     chan struct{}

	// baseContext is the parent of the contexts for the component's outgoing requests. It carries no values and is
	// canceled when a stop is requested.
	baseContext context.Context
	cancel      context.CancelFunc
	name        string
	stopOnce    sync.Once
	doneOnce    sync.Once
	goroutines  conc.WaitGroup
}

// Label is the key of the profiler label that holds the component's name.
const Label = "part"

// New returns a Component with no goroutines.
func New(name string) *Component {
	baseContext, cancel := context.WithCancel(context.Background())
	return &Component{name: name, Stopping: make(chan struct{}), Done: make(chan struct{}), baseContext: baseContext, cancel: cancel}
}

// Go starts a goroutine under the component's name.
func (component *Component) Go(work func()) {
	component.GoNamed(component.name, work)
}

// GoNamed starts a goroutine of the component with another name in its profiler label.
func (component *Component) GoNamed(name string, work func()) {
	component.goroutines.Go(func() {
		pprof.Do(context.Background(), pprof.Labels(Label, name), func(context.Context) { work() })
	})
}

// Every starts a goroutine that calls work after each interval until a stop is requested.
func (component *Component) Every(interval time.Duration, work func()) {
	component.EveryNamed(component.name, interval, work)
}

// EveryNamed is like Every, with another name in the profiler label.
func (component *Component) EveryNamed(name string, interval time.Duration, work func()) {
	component.GoNamed(name, func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-component.Stopping:
				return
			case <-ticker.C:
				work()
			}
		}
	})
}

// RepeatNamed starts a goroutine that calls work repeatedly until a stop is requested. Before each call it sleeps for
// the duration that pause returns. The profiler label holds the given name.
func (component *Component) RepeatNamed(name string, pause func() time.Duration, work func()) {
	component.GoNamed(name, func() {
		for component.Sleep(pause()) {
			work()
		}
	})
}

// ContextWithTimeout returns a context that ends when a stop is requested or when the timeout has passed. The caller
// must call the returned cancel function.
func (component *Component) ContextWithTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(component.baseContext, timeout)
}

// ContextWithCancel returns a context that ends when a stop is requested. The caller must call the returned cancel
// function.
func (component *Component) ContextWithCancel() (context.Context, context.CancelFunc) {
	return context.WithCancel(component.baseContext)
}

// Sleep waits for the duration and returns true. It returns false as soon as a stop is requested.
func (component *Component) Sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-component.Stopping:
		return false
	case <-timer.C:
		return true
	}
}

// RequestStop signals the component's goroutines to end and does not wait for them.
func (component *Component) RequestStop() {
	component.stopOnce.Do(func() {
		close(component.Stopping)
		component.cancel()
	})
}

// Stop signals the component's goroutines to end, waits until they have ended, and closes Done.
func (component *Component) Stop() {
	component.RequestStop()
	component.goroutines.Wait()
	component.doneOnce.Do(func() { close(component.Done) })
}
