package formation_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// logBuffer holds what a controller logs.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (logged *logBuffer) Write(line []byte) (int, error) {
	logged.mu.Lock()
	defer logged.mu.Unlock()
	return logged.buffer.Write(line)
}

// lines returns the logged lines with the given message.
func lines(logged *logBuffer, message string) []map[string]any {
	logged.mu.Lock()
	defer logged.mu.Unlock()
	found := []map[string]any{}
	for line := range bytes.Lines(logged.buffer.Bytes()) {
		attributes := map[string]any{}
		if json.Unmarshal(line, &attributes) == nil && attributes["msg"] == message {
			found = append(found, attributes)
		}
	}
	return found
}

// Guards against a group that is ended without a record of why: the line tells what each member said to the leader, how
// often and for how long it was asked, and how many other groups were examined.
func TestLostGroupIsLoggedWithItsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		node, logged := fleet.nodes[0], &logBuffer{}
		node.controller.Logger = slog.New(slog.NewJSONHandler(logged, nil))
		node.setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(node, "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		fleet.cluster.Kill(group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(time.Second)
		fleet.end()
		lost := lines(logged, "former: group lost members.")
		expect.Expect(lost).To(gomega.HaveLen(1))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("Evidence", map[string]any{
			group.Members[0]: "InGroup", group.Members[1]: "InGroup", group.Members[2]: "NoConnection", group.Members[3]: "InGroup",
		}))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("Asked", 1.0))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("Milliseconds", 150.0))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("OthersExamined", 0.0))
	})
}
