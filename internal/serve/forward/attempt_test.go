package forward

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a late cancellation that hits another caller's call: a stream completes while its group is
// abandoned, and by the time of the cancellation the connection is back in the pool and carries the next call.
func TestLateCancelDoesNotAffectNextCall(t *testing.T) {
	expect := gomega.NewWithT(t)
	canceled := 0
	canceler := &canceler{}
	canceler.setCancel(func() { canceled++ })
	canceler.disarm()
	canceler.cancel()
	expect.Expect(canceled).To(gomega.BeZero())
}

// Guards against a lost cancellation: a caller disconnects before its call is sent, and the call must be canceled
// as soon as it has a connection.
func TestCancelBeforeSendTakesEffect(t *testing.T) {
	expect := gomega.NewWithT(t)
	canceled := 0
	canceler := &canceler{}
	canceler.cancel()
	canceler.setCancel(func() { canceled++ })
	expect.Expect(canceled).To(gomega.Equal(1))
}
