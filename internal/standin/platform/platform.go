// Package platform holds small stand-ins for the platform's services: the
// append-only log, the lagging instance list and the rate-limited weight
// store. They keep everything in memory and have faults to switch on. Demo and
// tests use them; a deployment never does.
//
// # Usage
//
//	log := platform.NewLog(platform.Retention(time.Hour))
//	http.Serve(listener, log.Handler())
//	log.SetFaults(platform.LogFaults{Dark: true})
package platform
