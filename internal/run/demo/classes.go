package demo

import (
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/peer/operator"
)

// Classes are the classes that a demo states at its start.
var classes = map[string]operator.Change{
	"urgent": {
		Model: "drafting", FirstTokenMs: 800, BetweenTokensMs: 50, InTargetShare: 0.99,
		Priority: 20, GuaranteedShare: 0.3,
	},
	"report": {
		Model: "drafting", FirstTokenMs: 1800, BetweenTokensMs: 80, InTargetShare: 0.95,
		Priority: 10, GuaranteedShare: 0.4,
	},
	"summary": {
		Model: "summary", FirstTokenMs: 3000, BetweenTokensMs: 100, InTargetShare: 0.9,
		Priority: 5, GuaranteedShare: 0.5,
	},
}

const (
	stateTries = 40
	statePause = 250 * time.Millisecond
)

// StateClasses states the demo's classes at a node's operator address, as an
// operator would. It waits a while for the node to be ready.
func StateClasses(base string) error {
	client := operator.Client{Base: base}
	for name, change := range classes {
		change.ChangeID, change.Operator = "demo-"+name, "demo"
		if err := stateClass(client, name, change); err != nil {
			return errors.Wrapf(err, "state the class %s", name)
		}
	}
	return nil
}

func stateClass(client operator.Client, name string, change operator.Change) error {
	var err error
	for range stateTries {
		var verdict operator.Verdict
		verdict, err = client.Change(name, change, false)
		if err == nil && verdict.Accepted {
			return nil
		}
		if err == nil {
			return errors.New(verdict.Reason)
		}
		time.Sleep(statePause)
	}
	return err
}
