package class

import (
	"regexp"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/wire/record"
)

const (
	maxMilliseconds = 3_600_000
	maxPriority     = 1000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// Check validates a change. The error names the first invalid field and the values that are accepted.
func Check(change *record.ConfigChange) error {
	if change.ChangeID == "" || len(change.ChangeID) > 64 {
		return errors.New("ChangeID must have 1 to 64 characters")
	}
	if !namePattern.MatchString(change.Name) {
		return errors.Newf("the class name %q must be 1 to 64 letters, digits, dots, dashes or underscores", change.Name)
	}
	if change.GetTarget().GetName() != change.Name {
		return errors.Newf("Target.Name must be the class name %q", change.Name)
	}
	if change.Delete {
		return nil
	}
	return checkTarget(change.Target)
}

func checkTarget(target *record.ClassTarget) error {
	switch {
	case !namePattern.MatchString(target.Model):
		return errors.Newf("Model %q must be 1 to 64 letters, digits, dots, dashes or underscores", target.Model)
	case target.FirstTokenMs == 0 || target.FirstTokenMs > maxMilliseconds:
		return errors.Newf("FirstTokenMs must be 1 to %d, not %d", maxMilliseconds, target.FirstTokenMs)
	case target.BetweenTokensMs == 0 || target.BetweenTokensMs > maxMilliseconds:
		return errors.Newf("BetweenTokensMs must be 1 to %d, not %d", maxMilliseconds, target.BetweenTokensMs)
	case !(target.InTargetShare > 0 && target.InTargetShare <= 1):
		return errors.Newf("InTargetShare must be over 0 and at most 1, not %g", target.InTargetShare)
	case !(target.GuaranteedShare >= 0 && target.GuaranteedShare <= 1):
		return errors.Newf("GuaranteedShare must be 0 to 1, not %g", target.GuaranteedShare)
	case target.Priority < 0 || target.Priority > maxPriority:
		return errors.Newf("Priority must be 0 to %d, not %d", maxPriority, target.Priority)
	}
	return nil
}
