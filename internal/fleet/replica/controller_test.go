package replica

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/repair"
)

// Guards against urgent loads that queue behind less important ones. The weight store serves loads in order of
// arrival, so a plan that forms several groups while the store is saturated delays more urgent loads of the next
// plan. Only the most needed group may be formed then; retirements are not held back.
func TestSaturatedStoreFormsOnlyMostNeededGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := []repair.Action{
		{Kind: repair.Retire, Number: 1},
		{Kind: repair.Form, Model: "urgent"},
		{Kind: repair.Form, Model: "later"},
		{Kind: repair.Retire, Number: 2},
	}
	for _, saturated := range []bool{true, false} {
		controller := &Controller{StoreSaturated: func(context.Context) bool { return saturated }}
		formed, retired := []string{}, 0
		for _, action := range controller.limitForming(context.Background(), plan) {
			if action.Kind == repair.Form {
				formed = append(formed, action.Model)
				continue
			}
			retired++
		}
		g.Expect(retired).To(gomega.Equal(2))
		if saturated {
			g.Expect(formed).To(gomega.Equal([]string{"urgent"}))
			continue
		}
		g.Expect(formed).To(gomega.Equal([]string{"urgent", "later"}))
	}
}
