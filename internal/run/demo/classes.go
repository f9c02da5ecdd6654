package demo

import (
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/peer/operator"
)

// classes are the classes that the demo submits at startup.
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
	submitAttempts = 40
	submitInterval = 250 * time.Millisecond
)

// SubmitClasses submits the demo's classes to a node's operator address, as an
// operator would. It retries for some time while the node is not ready.
func SubmitClasses(base string) error {
	client := operator.Client{Base: base}
	for name, change := range classes {
		change.ChangeID, change.Operator = "demo-"+name, "demo"
		if err := submitClass(client, name, change); err != nil {
			return errors.Wrapf(err, "submit class %s", name)
		}
	}
	return nil
}

func submitClass(client operator.Client, name string, change operator.Change) error {
	var err error
	for range submitAttempts {
		var verdict operator.Verdict
		verdict, err = client.Change(name, change, false)
		if err == nil && verdict.Accepted {
			return nil
		}
		if err == nil {
			return errors.New(verdict.Reason)
		}
		time.Sleep(submitInterval)
	}
	return err
}
