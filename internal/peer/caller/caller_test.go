package caller

import (
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/state/class"
	"hazelslip/internal/wire/record"
)

// Names of any length that callers choose must not fill the journal, which keeps them for thousands of requests.
func TestLongNamesAreRefused(t *testing.T) {
	expect := gomega.NewWithT(t)
	snapshot := &class.Snapshot{Entries: map[string]*record.ConfigEntry{"urgent": {Target: &record.ClassTarget{Model: "drafting"}}}}
	handler := &Handler{Classes: func() *class.Snapshot { return snapshot }}
	for length, accepted := range map[int]bool{1: true, maxNameBytes: true, maxNameBytes + 1: false, 60 << 10: false} {
		request := &http.Request{Header: http.Header{}}
		request.Header.Set(HeaderClass, "urgent")
		request.Header.Set(HeaderWorkspace, strings.Repeat("w", length))
		_, _, problem := handler.selectClass(request, &chatRequest{})
		if accepted {
			expect.Expect(problem).To(gomega.BeNil())
			continue
		}
		expect.Expect(problem.Status).To(gomega.Equal(http.StatusBadRequest))
	}
}
