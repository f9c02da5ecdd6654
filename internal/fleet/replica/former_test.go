package replica

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/repair"
)

// The weight store serves loads in the order in which they come. While it is
// crowded, a plan that forms several groups put the loads of those that matter
// less before the next plan's more urgent ones; only the most needed may be
// formed then, and whatever is retired is retired all the same.
func TestCrowdedStoreTakesTheMostNeededGroupOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := []repair.Action{
		{Kind: repair.Retire, Number: 1},
		{Kind: repair.Form, Model: "urgent"},
		{Kind: repair.Form, Model: "later"},
		{Kind: repair.Retire, Number: 2},
	}
	for _, crowded := range []bool{true, false} {
		former := &Former{StoreCrowded: func(context.Context) bool { return crowded }}
		formed, retired := []string{}, 0
		for _, action := range former.inOrder(context.Background(), plan) {
			if action.Kind == repair.Form {
				formed = append(formed, action.Model)
				continue
			}
			retired++
		}
		g.Expect(retired).To(gomega.Equal(2))
		if crowded {
			g.Expect(formed).To(gomega.Equal([]string{"urgent"}))
			continue
		}
		g.Expect(formed).To(gomega.Equal([]string{"urgent", "later"}))
	}
}
