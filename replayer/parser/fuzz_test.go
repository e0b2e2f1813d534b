package parser_test

import (
	"bytes"
	"testing"

	"yuccaspread/replayer/generator"
	"yuccaspread/replayer/parser"
)

// FuzzRead guards against panics on malformed input, and against traces that
// Read accepts but that cannot be written and read again.
func FuzzRead(f *testing.F) {
	trace, err := generator.Generate("steady", 1)
	if err != nil {
		f.Fatal(err)
	}
	var valid bytes.Buffer
	if err = parser.Write(&valid, trace); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes()[:min(valid.Len(), 4000)])
	f.Add([]byte("{}\n{"))
	f.Add([]byte("\x00\n\n[]"))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := parser.Read(bytes.NewReader(content))
		if err != nil {
			return
		}
		var rewritten bytes.Buffer
		if err = parser.Write(&rewritten, parsed); err != nil {
			t.Fatal(err)
		}
		if _, err = parser.Read(&rewritten); err != nil {
			t.Fatalf("an accepted trace cannot be read again after writing: %v", err)
		}
	})
}
