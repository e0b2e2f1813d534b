package loader

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxMistakes bounds the mistakes that one file is searched for.
const maxMistakes = 20

// Decode fills value from TOML. The error names every unknown key and every
// value of a wrong type with its line.
func Decode(content []byte, value any) (err error) {
	var all []error
	for len(all) < maxMistakes {
		decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
		err = decoder.Decode(value)
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			all = append(all, unknownKeys(unknown)...)
			break
		}
		var wrong *toml.DecodeError
		if !errors.As(err, &wrong) {
			all = append(all, err)
			break
		}
		line, _ := wrong.Position()
		all = append(all, fmt.Errorf("line %d: %s%s", line, keyOf(wrong), wrong.Error()))
		next, blanked := blankLine(content, line)
		if !blanked {
			break
		}
		content = next
	}
	return errors.Join(all...)
}

func unknownKeys(unknown *toml.StrictMissingError) []error {
	all := make([]error, 0, len(unknown.Errors))
	for _, e := range unknown.Errors {
		line, _ := e.Position()
		all = append(all, fmt.Errorf("line %d: unknown key %s", line, strings.Join(e.Key(), ".")))
	}
	return all
}

func keyOf(wrong *toml.DecodeError) string {
	if len(wrong.Key()) == 0 {
		return ""
	}
	return strings.Join(wrong.Key(), ".") + ": "
}

// blankLine returns content without the line, so that mistakes after it show.
// It gives up on lines that are no assignment of a single value.
func blankLine(content []byte, line int) (next []byte, blanked bool) {
	lines := bytes.Split(content, []byte("\n"))
	if line < 1 || line > len(lines) {
		return nil, false
	}
	text := lines[line-1]
	_, value, found := bytes.Cut(text, []byte("="))
	if !found || bytes.ContainsAny(value, `[]{}`) || bytes.Contains(value, []byte(`"""`)) || bytes.Contains(value, []byte("'''")) {
		return nil, false
	}
	lines[line-1] = nil
	return bytes.Join(lines, []byte("\n")), true
}

// keyLines returns the line of every key of the document, by names such as
// "section.key" and "list[0].key".
func keyLines(content []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	var parser unstable.Parser
	parser.Reset(content)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		key, line := keyAndLine(&parser, node)
		if node.Kind == unstable.Table {
			prefix = key + "."
		}
		if node.Kind == unstable.ArrayTable {
			prefix = fmt.Sprintf("%s[%d].", key, counts[key])
			counts[key]++
		}
		if node.Kind == unstable.KeyValue {
			lines[prefix+key] = line
		}
	}
	return lines
}

func keyAndLine(parser *unstable.Parser, node *unstable.Node) (key string, line int) {
	var parts []string
	for it := node.Key(); it.Next(); {
		part := it.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
