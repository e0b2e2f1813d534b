package parser_test

import (
	"bytes"
	"testing"

	"yuccaspread/replayer/generator"
	"yuccaspread/replayer/parser"
)

// FuzzRead reads anything and must read what it wrote once more.
func FuzzRead(f *testing.F) {
	trace, err := generator.Generate("steady", 1)
	if err != nil {
		f.Fatal(err)
	}
	var good bytes.Buffer
	if err = parser.Write(&good, trace); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes()[:min(good.Len(), 4000)])
	f.Add([]byte("{}\n{"))
	f.Add([]byte("\x00\n\n[]"))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := parser.Read(bytes.NewReader(content))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err = parser.Write(&again, read); err != nil {
			t.Fatal(err)
		}
		if _, err = parser.Read(&again); err != nil {
			t.Fatalf("what was read can't be written and read again: %v", err)
		}
	})
}
