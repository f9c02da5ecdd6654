package catalogue_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/fleet/catalogue"
)

func row(server, group string) catalogue.Row {
	return catalogue.Row{Server: server, Group: group, Address: server + ":1", Slots: 8}
}

// Guards against a leaf that sends calls to groups that no longer exist. Whatever version a leaf has, the deltas must
// bring it to the rows of its relay.
func TestReplicasFollowCatalogue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published, replica := catalogue.New(), catalogue.NewReplica()
		version := uint64(0)
		rows := []catalogue.Row{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				rows = []catalogue.Row{}
				for _, server := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID).Draw(t, "servers") {
					rows = append(rows, row(fmt.Sprint(server), fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "group"))))
				}
				published.Publish(rows)
			case 2:
				delta := published.Since(version)
				replica.Apply(delta)
				version = delta.Version
			case 3:
				// The leaf attaches to another relay.
				version, replica = 0, catalogue.NewReplica()
			}
		}
		replica.Apply(published.Since(version))
		servers := published.Servers()
		replicated := []catalogue.Row{}
		for _, indexed := range replica.Rows() {
			replicated = append(replicated, indexed.Row)
		}
		if len(replicated) != len(rows) {
			t.Fatalf("replica has %d rows, want %d", len(replicated), len(rows))
		}
		for _, want := range rows {
			if !slices.Contains(replicated, want) {
				t.Fatalf("replica lacks row %v", want)
			}
		}
		for index, server := range servers {
			if replica.Server(index) != server {
				t.Fatalf("row %d is server %s, want %s", index, replica.Server(index), server)
			}
		}
	})
}

func TestUnchangedRowsAreNotSentAgain(t *testing.T) {
	expect := gomega.NewWithT(t)
	published := catalogue.New()
	expect.Expect(published.Publish([]catalogue.Row{row("a", "g1"), row("b", "g2")})).To(gomega.BeTrue())
	version := published.Since(0).Version
	expect.Expect(published.Publish([]catalogue.Row{row("b", "g2"), row("a", "g1")})).To(gomega.BeFalse())
	delta := published.Since(version)
	expect.Expect(delta.Empty()).To(gomega.BeTrue())
	published.Publish([]catalogue.Row{row("a", "g1")})
	delta = published.Since(version)
	expect.Expect(delta.Rows).To(gomega.BeEmpty())
	expect.Expect(delta.Removed).To(gomega.HaveLen(1))
}

// Guards against streams that wait forever for a lost group. A group that finishes its calls has no row; when it then
// loses a member, the leaves must still learn of the loss.
func TestLossOfGroupWithoutRowIsSent(t *testing.T) {
	expect := gomega.NewWithT(t)
	published := catalogue.New()
	published.Publish([]catalogue.Row{row("a", "g1")})
	published.Publish(nil)
	version := published.Since(0).Version
	published.MarkLost("g1")
	expect.Expect(published.Since(version).Lost).To(gomega.Equal([]string{"g1"}))
	expect.Expect(published.Since(published.Since(version).Version).Lost).To(gomega.BeEmpty())
}
