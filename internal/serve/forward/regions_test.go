package forward

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a request that leaves the regions of its workspace because its route allows more regions.
func TestRegionsAreRestrictedByRouteAndWorkspace(t *testing.T) {
	for _, test := range []struct{ route, workspace, expected []string }{
		{nil, nil, nil},
		{[]string{"andes", "coast"}, nil, []string{"andes", "coast"}},
		{nil, []string{"coast"}, []string{"coast"}},
		{[]string{"andes", "coast"}, []string{"coast", "jungle"}, []string{"coast"}},
		{[]string{"andes"}, []string{"coast"}, []string{}},
	} {
		exchange := &exchange{}
		exchange.restrictRegions(test.route)
		exchange.restrictRegions(test.workspace)
		gomega.NewWithT(t).Expect(exchange.regions).To(gomega.Equal(test.expected), "%v and %v", test.route, test.workspace)
	}
}
