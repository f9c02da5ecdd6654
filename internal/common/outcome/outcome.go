// Package outcome defines the values that state whether a request was executed. Every refusal and every failure carries
// an outcome in the header Hazelslip-Outcome, so that a caller can tell whether a retry is safe.
//
// # Usage
//
//	writer.Header().Set(outcome.Header, string(outcome.NotRun))
package outcome

// Header is the response header that carries an Outcome.
const Header = "Hazelslip-Outcome"

// Outcome states whether a request was executed, as far as this is known.
type Outcome string

const (
	// NotRun means that the request was certainly not executed. It is used only where this is proved: either no byte of
	// the request was sent, or the server itself reported that it refused the request.
	NotRun Outcome = "NotRun"
	// Run means that the request was executed and its response is known.
	Run Outcome = "Run"
	// Unknown means that the request may or may not have been executed.
	Unknown Outcome = "Unknown"
)
