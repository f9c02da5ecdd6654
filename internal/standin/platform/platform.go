// Package platform simulates the platform's services: the append-only log, the instance list with its lag, and the
// rate-limited weight store. The simulations keep all data in memory, and the log and the instance list support
// injected faults. Only the demo and tests use this package; a deployment never does.
//
// # Usage
//
//	log := platform.NewLog(platform.Retention(time.Hour))
//	http.Serve(listener, log.Handler())
//	log.SetFaults(platform.LogFaults{Dark: true})
package platform
