package cmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hazelslip/cmd"
	"hazelslip/internal/peer/operator"
	"hazelslip/internal/state/class"
	"hazelslip/internal/testlib/fleet"
	"hazelslip/internal/testlib/suite"
	"hazelslip/internal/wire/record"
)

func TestCmd(t *testing.T) { suite.Run(t, "cmd") }

// run runs a command line and returns its exit code, standard output and standard error.
func run(arguments ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = cmd.Execute(arguments, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// newOperatorServer serves the operator API with one class, at revision 1.
func newOperatorServer() *httptest.Server {
	table := class.New()
	offset := uint64(0)
	applyRecord := func(body []byte) {
		decoded, err := table.StateMachine().Decode(body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		decoded.Apply(offset)
		offset++
	}
	applyRecord(fleet.EncodeClassChange(fleet.ClassTarget("urgent", "drafting", 0.3), 0, "first"))
	handler := &operator.Handler{
		Classes: table,
		Groups: func() []operator.GroupInfo {
			return []operator.GroupInfo{{Number: 7, Model: "drafting", Cause: "member x does not answer"}}
		},
		State: func() any { return map[string]string{"Name": "entry-1"} },
		Explain: func(subject string) (operator.Explanation, bool) {
			return operator.Explanation{Subject: subject, Lines: []string{"because"}}, subject == "7"
		},
		Booking: func(_, key string) (operator.BookingInfo, bool) {
			return operator.BookingInfo{Key: key, Outcome: "Run"}, key == "visit-1"
		},
		Submit: func(_ context.Context, change *record.ConfigChange) (class.Verdict, error) {
			if err := class.Check(change); err != nil {
				return class.Verdict{Reason: err.Error()}, nil
			}
			body, err := proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: change}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			applyRecord(body)
			verdict, _ := table.Verdict(change.ChangeID)
			return verdict, nil
		},
	}
	return httptest.NewServer(handler.Handler())
}

var _ = ginkgo.Describe("the command line", func() {
	var server *httptest.Server
	ginkgo.BeforeEach(func() {
		server = newOperatorServer()
		ginkgo.DeferCleanup(server.Close)
	})

	ginkgo.It("prints its version", func() {
		code, out, _ := run("--version")
		gomega.Expect(code).To(gomega.Equal(cmd.ExitOK))
		gomega.Expect(out).To(gomega.ContainSubstring("hazelslip"))
	})

	ginkgo.DescribeTable("has help with an example for every command",
		func(command string) {
			code, out, _ := run(append(strings.Fields(command), "--help")...)
			gomega.Expect(code).To(gomega.Equal(cmd.ExitOK))
			gomega.Expect(out).To(gomega.ContainSubstring("hazelslip " + command))
			gomega.Expect(out).To(gomega.ContainSubstring("Example:"))
		},
		ginkgo.Entry(nil, "demo"), ginkgo.Entry(nil, "node"), ginkgo.Entry(nil, "standin"),
		ginkgo.Entry(nil, "class list"), ginkgo.Entry(nil, "class show"), ginkgo.Entry(nil, "class set"),
		ginkgo.Entry(nil, "class delete"), ginkgo.Entry(nil, "class history"), ginkgo.Entry(nil, "groups"),
		ginkgo.Entry(nil, "explain"), ginkgo.Entry(nil, "booking show"), ginkgo.Entry(nil, "state"),
		ginkgo.Entry(nil, "check-settings"), ginkgo.Entry(nil, "load"),
	)

	ginkgo.DescribeTable("has exit codes that scripts can use",
		func(code int, output string, arguments ...string) {
			got, out, errOut := run(append(arguments, "--node", server.URL)...)
			gomega.Expect(out + errOut).To(gomega.ContainSubstring(output))
			gomega.Expect(got).To(gomega.Equal(code))
		},
		ginkgo.Entry("a change", cmd.ExitOK, "accepted as revision 2", "class", "set", "urgent", "--priority", "3"),
		ginkgo.Entry("a new class", cmd.ExitOK, "accepted as revision 1", "class", "set", "later", "--model", "drafting",
			"--first-token-ms", "9", "--between-tokens-ms", "9", "--in-target-share", "0.9"),
		ginkgo.Entry("a conflict", cmd.ExitConflict, "revision 1 is in force, by change first", "class", "set", "urgent", "--base-revision", "0"),
		ginkgo.Entry("an invalid change", cmd.ExitUsage, "InTargetShare must be", "class", "set", "urgent", "--in-target-share", "2"),
		ginkgo.Entry("an unknown class", cmd.ExitNotFound, "there is no class", "class", "show", "nobody"),
		ginkgo.Entry("a known class", cmd.ExitOK, "urgent", "class", "show", "urgent"),
		ginkgo.Entry("the list", cmd.ExitOK, "urgent", "class", "list"),
		ginkgo.Entry("the history", cmd.ExitOK, "first", "class", "history", "urgent"),
		ginkgo.Entry("the groups", cmd.ExitOK, "member x does not answer", "groups"),
		ginkgo.Entry("an explanation", cmd.ExitOK, "because", "explain", "7"),
		ginkgo.Entry("nothing to explain", cmd.ExitNotFound, "knows no request or group", "explain", "8"),
		ginkgo.Entry("a booking", cmd.ExitOK, `"Outcome": "Run"`, "booking", "show", "scheduling", "visit-1"),
		ginkgo.Entry("no booking", cmd.ExitNotFound, "nothing is known", "booking", "show", "scheduling", "visit-2"),
		ginkgo.Entry("the state", cmd.ExitOK, "entry-1", "state"),
		ginkgo.Entry("an unknown flag", cmd.ExitUsage, "unknown flag", "groups", "--nonsense"),
	)

	ginkgo.It("prints JSON where it prints a table", func() {
		for _, command := range []string{"class list", "class show urgent", "class history urgent", "groups", "explain 7"} {
			code, out, errOut := run(append(strings.Fields(command), "--json", "--node", server.URL)...)
			gomega.Expect(code).To(gomega.Equal(cmd.ExitOK), errOut)
			gomega.Expect(json.Valid([]byte(out))).To(gomega.BeTrue(), out)
		}
	})

	ginkgo.It("says what to do when the node does not respond", func() {
		code, _, errOut := run("groups", "--node", "http://127.0.0.1:1")
		gomega.Expect(code).To(gomega.Equal(cmd.ExitFailed))
		gomega.Expect(errOut).To(gomega.ContainSubstring("--node"))
	})

	ginkgo.It("checks settings", func() {
		code, out, _ := run("check-settings", "../examples/node.toml")
		gomega.Expect(code).To(gomega.Equal(cmd.ExitOK))
		gomega.Expect(out).To(gomega.ContainSubstring("is valid"))
		wrong := filepath.Join(ginkgo.GinkgoT().TempDir(), "wrong.toml")
		gomega.Expect(os.WriteFile(wrong, []byte("Name = 3\nNonsense = 1\n"), 0o600)).To(gomega.Succeed())
		code, _, errOut := run("check-settings", wrong)
		gomega.Expect(code).To(gomega.Equal(cmd.ExitUsage))
		gomega.Expect(errOut).To(gomega.ContainSubstring("wrong.toml:1: Name"))
		gomega.Expect(errOut).To(gomega.ContainSubstring("wrong.toml:2: Nonsense"))
	})
})

// Operators copy commands from the documentation. The program must accept every
// command that README.md or a page of docs/operating shows.
var _ = ginkgo.Describe("the documentation", func() {
	ginkgo.It("shows only commands that work", func() {
		server := newOperatorServer()
		ginkgo.DeferCleanup(server.Close)
		pages, err := filepath.Glob("../docs/operating/*.md")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		shown := 0
		for _, page := range append(pages, "../README.md") {
			for _, line := range shellCommands(page) {
				shown++
				checkShownCommand(page, line, server.URL)
			}
		}
		gomega.Expect(shown).To(gomega.BeNumerically(">", 8))
	})
})

// shellCommands returns the hazelslip commands in the shell blocks of a page, with
// continuation lines joined.
func shellCommands(page string) []string {
	body, err := os.ReadFile(page)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	commands, inBlock := []string{}, false
	for _, line := range strings.Split(strings.ReplaceAll(string(body), "\\\n", ""), "\n") {
		if strings.HasPrefix(line, "```") {
			inBlock = line == "```sh"
			continue
		}
		line = strings.TrimPrefix(line, "bin/")
		if inBlock && strings.HasPrefix(line, "hazelslip ") {
			commands = append(commands, line)
		}
	}
	return commands
}

// checkShownCommand runs a command against a node's operator address. Commands that run
// until they are stopped are covered by scripts/whole-path.sh; here only their
// arguments are checked, with --help.
func checkShownCommand(page, line, node string) {
	arguments := strings.Fields(line)[1:]
	for index, argument := range arguments {
		if strings.HasSuffix(argument, ".toml") {
			arguments[index] = "../examples/node.toml"
		}
	}
	switch arguments[0] {
	case "node", "standin", "demo":
		code, _, errOut := run(append(arguments, "--help")...)
		gomega.Expect(code).To(gomega.Equal(cmd.ExitOK), "%s: %s: %s", page, line, errOut)
		return
	case "check-settings":
	default:
		arguments = append(arguments, "--node", node)
	}
	for index, argument := range arguments {
		if argument == "4294967297" {
			arguments[index] = "7"
		}
	}
	code, out, errOut := run(arguments...)
	gomega.Expect(code).To(gomega.Equal(cmd.ExitOK), "%s: %s: %s%s", page, line, out, errOut)
}
