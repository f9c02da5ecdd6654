package overlay

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/wire/frame"
)

// Guards against heads that leave out a node because it refused a connection: a node that starts meanwhile would take
// a position that belongs to another.
func TestRefusingNodesAreAnnounced(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	overlay := New(nil, Dependencies{Self: tree.Member{Address: "a", DataCentre: "east"}, Now: func() time.Duration { return now }})
	overlay.startedAt = now
	for _, address := range []string{"b", "c", "d"} {
		overlay.addMember(tree.Member{Address: address, DataCentre: "west"})
	}
	overlay.backOff("b", refusalBackoff)
	overlay.backOff("c", 0)
	overlay.markStopping("d")
	announced := []string{}
	for _, node := range overlay.heads().nodes {
		announced = append(announced, node.Address)
	}
	expect.Expect(announced).To(gomega.Equal([]string{"a", "b"}))
	expect.Expect(overlay.candidates(false)).To(gomega.BeEmpty())
}

// Guards against starts at which every temporary relay writes itself to the store's directory and reads it.
func TestTemporaryRelayIsNotRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		registered := atomic.Int64{}
		overlay := New(nil, Dependencies{
			Self: tree.Member{Address: "a", DataCentre: "east"}, Now: clock.Virtual(), Logger: slog.New(slog.DiscardHandler), RoleChanged: func(Role) {},
			Register: func(context.Context) error { registered.Add(1); return nil }, ListNodes: func(context.Context) ([]tree.Member, error) { return nil, nil },
		})
		overlay.adoptUpstream(&Link{Purpose: frame.Purpose_Relay})
		time.Sleep(relayRegisterDelay / 2)
		overlay.adoptUpstream(&Link{Purpose: frame.Purpose_Leaf})
		time.Sleep(relayRegisterDelay + registerJitter)
		expect.Expect(registered.Load()).To(gomega.BeZero())
		overlay.adoptUpstream(&Link{Purpose: frame.Purpose_Relay})
		time.Sleep(relayRegisterDelay + registerJitter)
		expect.Expect(registered.Load()).To(gomega.Equal(int64(1)))
	})
}
