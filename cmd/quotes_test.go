package cmd_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// quotedLogLine matches a log line in a page: the message of a JSON line, or a text in backticks that begins with the
// prefix of a part or with dots that stand for it.
var quotedLogLine = regexp.MustCompile("\"msg\":\"([^\"]+)\"|`((?:(?:former|forward|gateway|logging|node|overlay|replica|stream): |\\.\\.\\. )[^`]+)`")

// Guards against pages that quote a log line in an old wording, so that operators search their logs for a text that no
// node writes.
func TestQuotedLogLinesStandInTheCode(t *testing.T) {
	expect := gomega.NewWithT(t)
	texts := sourceTexts(t)
	pages, err := filepath.Glob("../docs/operating/*.md")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	pages = append(pages, "../docs/OPERATIONS.md")
	quoted := 0
	for _, page := range pages {
		body, err := os.ReadFile(page)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for _, match := range quotedLogLine.FindAllStringSubmatch(string(body), -1) {
			quoted++
			line := strings.Join(strings.Fields(strings.TrimPrefix(match[1]+match[2], "... ")), " ")
			if !strings.Contains(texts, line) {
				t.Errorf("%s quotes %q, which is in no text of the code", page, line)
			}
		}
	}
	expect.Expect(quoted).To(gomega.BeNumerically(">", 30))
}

// sourceTexts returns the string literals of all Go files but tests, one a line.
func sourceTexts(t *testing.T) string {
	texts := strings.Builder{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil {
					texts.WriteString(text + "\n")
				}
			}
			return true
		})
		return nil
	})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return texts.String()
}
