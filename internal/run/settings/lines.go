package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// finder knows on which line each key stands.
type finder struct {
	file  string
	lines map[string]int
}

// mistake names a key as the decoder does, with indexes in brackets.
func (finder *finder) mistake(key, accepted string) Mistake {
	line := finder.lines[key]
	for parent := key; line == 0 && parent != ""; {
		parent = parentOf(parent)
		line = finder.lines[parent]
	}
	return Mistake{File: finder.file, Line: line, Key: key, Accepted: accepted}
}

func parentOf(key string) string {
	at := strings.LastIndexAny(key, ".[")
	if at < 0 {
		return ""
	}
	return key[:at]
}

// keyLines returns the line of each key and table of a TOML file. Elements of
// an array of tables are told apart as Name[0], Name[1].
func keyLines(body []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	parser := &unstable.Parser{}
	parser.Reset(body)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := keyOf(parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = path
			lines[table] = line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			lines[table] = line
		case unstable.KeyValue:
			lines[join(table, path)] = line
		}
	}
	return lines
}

func keyOf(parser *unstable.Parser, expression *unstable.Node) (path string, line int) {
	parts := []string{}
	for keys := expression.Key(); keys.Next(); {
		key := keys.Node()
		if line == 0 {
			line = parser.Shape(key.Raw).Start.Line
		}
		parts = append(parts, string(key.Data))
	}
	return strings.Join(parts, "."), line
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

var indexes = regexp.MustCompile(`\[\d+\]`)

// acceptedKeys lists the keys that may stand where an unknown one stands.
func acceptedKeys(key string) string {
	kind := reflect.TypeFor[Node]()
	parts := strings.Split(indexes.ReplaceAllString(key, ""), ".")
	for _, part := range parts[:len(parts)-1] {
		field, ok := kind.FieldByName(part)
		if !ok {
			return "see docs/operating/settings.md"
		}
		kind = field.Type
		if kind.Kind() == reflect.Slice {
			kind = kind.Elem()
		}
	}
	names := make([]string, 0, kind.NumField())
	for index := range kind.NumField() {
		names = append(names, kind.Field(index).Name)
	}
	return "accepted: " + strings.Join(names, ", ")
}

// unknownKeys lists the keys of a tree that the settings do not have. The
// decoder's own list leaves out those beside a key of the wrong type.
func unknownKeys(tree map[string]any, kind reflect.Type, path string) []string {
	unknown := []string{}
	for key, value := range tree {
		field, ok := kind.FieldByName(key)
		if !ok {
			unknown = append(unknown, join(path, key))
			continue
		}
		unknown = append(unknown, unknownBelow(value, field.Type, join(path, key))...)
	}
	return unknown
}

func unknownBelow(value any, kind reflect.Type, path string) []string {
	unknown := []string{}
	switch below := value.(type) {
	case map[string]any:
		if kind.Kind() == reflect.Struct {
			unknown = unknownKeys(below, kind, path)
		}
	case []any:
		for index, element := range below {
			if kind.Kind() == reflect.Slice {
				unknown = append(unknown, unknownBelow(element, kind.Elem(), fmt.Sprintf("%s[%d]", path, index))...)
			}
		}
	}
	return unknown
}
