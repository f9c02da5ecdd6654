package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"hazelslip/internal/run/settings"
	"hazelslip/internal/testlib/suite"
)

func TestSettings(t *testing.T) { suite.Run(t, "settings") }

const exampleFile = "../../../examples/node.toml"

func example() string {
	body, err := os.ReadFile(exampleFile)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(body)
}

func validationErrorsOf(body string) settings.ValidationErrors {
	_, err := settings.Parse("node.toml", []byte(body))
	var validationErrors settings.ValidationErrors
	gomega.Expect(errors.As(err, &validationErrors)).To(gomega.BeTrue(), "%v", err)
	return validationErrors
}

var _ = ginkgo.Describe("Parse", func() {
	ginkgo.It("accepts the example file", func() {
		node, err := settings.Load(exampleFile)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(node.Models).To(gomega.HaveLen(1))
		gomega.Expect(node.Services[0].Repeatable).To(gomega.Equal([]string{"GET", "HEAD"}))
	})

	ginkgo.It("finds the default values in the example file", func() {
		node, err := settings.Load(exampleFile)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defaults := settings.Default()
		gomega.Expect(node.Listen).To(gomega.Equal(defaults.Listen))
		gomega.Expect(node.Platform).To(gomega.Equal(defaults.Platform))
		gomega.Expect(node.Prices).To(gomega.Equal(defaults.Prices))
		gomega.Expect(node.Limits).To(gomega.Equal(defaults.Limits))
		gomega.Expect(node.Stopping).To(gomega.Equal(defaults.Stopping))
	})

	ginkgo.DescribeTable("reports the line, the key and what is accepted",
		func(from, to, key, reason string) {
			gomega.Expect(example()).To(gomega.ContainSubstring(from))
			body := strings.Replace(example(), from, to, 1)
			validationErrors := validationErrorsOf(body)
			gomega.Expect(validationErrors).To(gomega.HaveLen(1), "%v", validationErrors)
			lines := strings.Split(body, "\n")
			changed := strings.SplitN(to, "\n", 2)[0]
			gomega.Expect(lines[validationErrors[0].Line-1]).To(gomega.ContainSubstring(changed))
			gomega.Expect(validationErrors[0].Key).To(gomega.Equal(key))
			gomega.Expect(validationErrors[0].Reason).To(gomega.ContainSubstring(reason))
		},
		ginkgo.Entry("an unknown key", "GraceSeconds = 6", "GraceSecs = 6", "Engines.GraceSecs", "accepted: UncheckedDomains, GraceSeconds"),
		ginkgo.Entry("a key in the wrong case", "MaxBodyBytes = 1048576", "maxBodyBytes = 1048576", "Limits.maxBodyBytes", "accepted: MaxBodyBytes"),
		ginkgo.Entry("a wrong type", "GroupSize = 8", `GroupSize = "eight"`, "Models[0].GroupSize", "type int"),
		ginkgo.Entry("a value out of range", "GroupSize = 8", "GroupSize = 65", "Models[0].GroupSize", "1 to 64"),
		ginkgo.Entry("a host name instead of an IP address", `Peer = "127.0.0.1:8082"`, `Peer = "entry:8082"`, "Listen.Peer", "IP address and port"),
		ginkgo.Entry("an unknown method", `"GET", "HEAD"`, `"GET", "FETCH"`, "Services[0].Repeatable", `"FETCH" must be one of`),
		ginkgo.Entry("an empty name", `Name = "lakes-a-entry-1"`, `Name = ""`, "Name", "must be set"),
	)

	ginkgo.It("reports all errors together, in the order of the file", func() {
		body := strings.NewReplacer("GraceSeconds = 6", "GraceSeconds = 0", "NoticeSeconds = 5", "NoticeSeconds = -1", "GroupSize = 8", "GroupSize = 0").Replace(example())
		keys := []string{}
		for _, validationError := range validationErrorsOf(body) {
			keys = append(keys, validationError.Key)
		}
		gomega.Expect(keys).To(gomega.Equal([]string{"Engines.GraceSeconds", "Stopping.NoticeSeconds", "Models[0].GroupSize"}))
	})

	ginkgo.It("reports unknown keys and wrong types together", func() {
		body := strings.NewReplacer("GraceSeconds = 6", "GraceSecs = 6", "GroupSize = 8", `GroupSize = "eight"`, `Region = "great-lakes"`, "Region = 7").Replace(example())
		gomega.Expect(validationErrorsOf(body)).To(gomega.HaveLen(3))
	})

	ginkgo.It("reports the line of a syntax error", func() {
		validationErrors := validationErrorsOf("Name = \"a\"\nRegion = = 3\n")
		gomega.Expect(validationErrors[0].Line).To(gomega.Equal(2))
	})
})
