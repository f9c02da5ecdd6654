package forward

import (
	"testing"

	"github.com/onsi/gomega"
)

// A stream ends well, and in the same moment its group is given up. The
// connection has gone back to the pool and carries another caller's call by the
// time the end reaches it; that call broke off for no reason of its own.
func TestLateEndLeavesTheNextCallAlone(t *testing.T) {
	expect := gomega.NewWithT(t)
	ended := 0
	ender := &ender{}
	ender.set(func() { ended++ })
	ender.release()
	ender.end()
	expect.Expect(ended).To(gomega.BeZero())
}

// A caller leaves before its call was sent; the call must end as soon as it has
// a connection.
func TestEarlyEndIsNotLost(t *testing.T) {
	expect := gomega.NewWithT(t)
	ended := 0
	ender := &ender{}
	ender.end()
	ender.set(func() { ended++ })
	expect.Expect(ended).To(gomega.Equal(1))
}
