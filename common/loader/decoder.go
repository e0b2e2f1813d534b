package loader

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxMistakes is the number of mistakes in one file after which Decode stops.
const maxMistakes = 20

// Decode decodes TOML into value, a pointer. The error names up to maxMistakes
// mistakes, each with its line: values of a wrong type and, once there are none,
// unknown keys. It stops early at a mistake that cannot be skipped.
func Decode(content []byte, value any) (err error) {
	var errs []error
	for len(errs) < maxMistakes {
		decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
		err = decoder.Decode(value)
		var strictErr *toml.StrictMissingError
		if errors.As(err, &strictErr) {
			errs = append(errs, unknownKeyErrors(strictErr)...)
			break
		}
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			errs = append(errs, err)
			break
		}
		line, _ := decodeErr.Position()
		errs = append(errs, fmt.Errorf("line %d: %s%s", line, keyPrefix(decodeErr), decodeErr.Error()))
		rest, blanked := blankLine(content, line)
		if !blanked {
			break
		}
		content = rest
	}
	return errors.Join(errs...)
}

func unknownKeyErrors(strictErr *toml.StrictMissingError) []error {
	errs := make([]error, 0, len(strictErr.Errors))
	for _, e := range strictErr.Errors {
		line, _ := e.Position()
		errs = append(errs, fmt.Errorf("line %d: unknown key %s", line, strings.Join(e.Key(), ".")))
	}
	return errs
}

func keyPrefix(decodeErr *toml.DecodeError) string {
	if len(decodeErr.Key()) == 0 {
		return ""
	}
	return strings.Join(decodeErr.Key(), ".") + ": "
}

// blankLine returns content with the line emptied, so that decoding it again
// finds the next mistake. It returns false for a line that does not assign a
// value of a single line.
func blankLine(content []byte, line int) (rest []byte, blanked bool) {
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

// keyLines returns the line of each key of a TOML document. The keys have the
// form "section.key" or "list[0].key".
func keyLines(content []byte) map[string]int {
	lines := map[string]int{}
	tableCounts := map[string]int{}
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
			prefix = fmt.Sprintf("%s[%d].", key, tableCounts[key])
			tableCounts[key]++
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
