package gateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a fetch from a hanging node that keeps this node from fetching the configuration from
// another one.
func TestFetchFallsBackWhenPeerHangs(t *testing.T) {
	expect := gomega.NewWithT(t)
	fetches := fetchTracker{}
	expect.Expect(fetches.begin("a", 0)).To(gomega.BeTrue())
	expect.Expect(fetches.begin("b", slowFetch-time.Millisecond)).To(gomega.BeFalse())
	expect.Expect(fetches.begin("a", slowFetch)).To(gomega.BeFalse())
	expect.Expect(fetches.begin("b", slowFetch)).To(gomega.BeTrue())
	expect.Expect(fetches.begin("c", 3*slowFetch)).To(gomega.BeFalse())
	fetches.end("a")
	expect.Expect(fetches.begin("c", 3*slowFetch)).To(gomega.BeTrue())
}
