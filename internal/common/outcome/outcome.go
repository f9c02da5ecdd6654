// Package outcome names what is known about whether a request ran. Every
// refusal and failure carries one, in the header Hazelslip-Outcome.
//
// # Usage
//
//	writer.Header().Set(outcome.Header, string(outcome.NotRun))
package outcome

// Header is the response header that carries an Outcome.
const Header = "Hazelslip-Outcome"

// Outcome is what is known about whether a request ran.
type Outcome string

const (
	// NotRun is said only where it can be proved: no byte of the request left,
	// or the server itself says that it refused.
	NotRun Outcome = "NotRun"
	// Run means that the request ran and its answer is known.
	Run Outcome = "Run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "Unknown"
)
