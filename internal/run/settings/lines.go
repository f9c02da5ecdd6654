package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLocator maps each key of a settings file to the line on which it is set.
type keyLocator struct {
	file  string
	lines map[string]int
}

// errorAt returns a ValidationError for a key, which is written as the decoder writes it, with indexes in brackets. If
// the key is not set in the file, the error has the line of the nearest parent that is.
func (keyLocator *keyLocator) errorAt(key, reason string) ValidationError {
	line := keyLocator.lines[key]
	for parent := key; line == 0 && parent != ""; {
		parent = parentKey(parent)
		line = keyLocator.lines[parent]
	}
	return ValidationError{File: keyLocator.file, Line: line, Key: key, Reason: reason}
}

func parentKey(key string) string {
	separator := strings.LastIndexAny(key, ".[")
	if separator < 0 {
		return ""
	}
	return key[:separator]
}

// keyLines returns the line of each key and each table in a TOML file. Elements of an array of tables are named by
// index: Name[0], Name[1].
func keyLines(body []byte) map[string]int {
	lines := map[string]int{}
	tableCounts := map[string]int{}
	parser := &unstable.Parser{}
	parser.Reset(body)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := keyPath(parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = path
			lines[table] = line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, tableCounts[path])
			tableCounts[path]++
			lines[table] = line
		case unstable.KeyValue:
			lines[joinKey(table, path)] = line
		}
	}
	return lines
}

func keyPath(parser *unstable.Parser, expression *unstable.Node) (path string, line int) {
	segments := []string{}
	for keys := expression.Key(); keys.Next(); {
		key := keys.Node()
		if line == 0 {
			line = parser.Shape(key.Raw).Start.Line
		}
		segments = append(segments, string(key.Data))
	}
	return strings.Join(segments, "."), line
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// acceptedKeys lists the keys that are accepted in the table of an unknown key.
func acceptedKeys(key string) string {
	kind := reflect.TypeFor[Node]()
	segments := strings.Split(indexPattern.ReplaceAllString(key, ""), ".")
	for _, part := range segments[:len(segments)-1] {
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

// unknownKeys lists the keys of a decoded TOML tree that the settings struct does not have. The decoder's own list is
// incomplete: it omits unknown keys in the same table as a key of the wrong type.
func unknownKeys(tree map[string]any, kind reflect.Type, path string) []string {
	unknown := []string{}
	for key, value := range tree {
		field, ok := kind.FieldByName(key)
		if !ok {
			unknown = append(unknown, joinKey(path, key))
			continue
		}
		unknown = append(unknown, unknownKeysIn(value, field.Type, joinKey(path, key))...)
	}
	return unknown
}

func unknownKeysIn(value any, kind reflect.Type, path string) []string {
	unknown := []string{}
	switch nested := value.(type) {
	case map[string]any:
		if kind.Kind() == reflect.Struct {
			unknown = unknownKeys(nested, kind, path)
		}
	case []any:
		for index, element := range nested {
			if kind.Kind() == reflect.Slice {
				unknown = append(unknown, unknownKeysIn(element, kind.Elem(), fmt.Sprintf("%s[%d]", path, index))...)
			}
		}
	}
	return unknown
}
