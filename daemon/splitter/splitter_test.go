package splitter_test

import (
	"testing"

	"yuccaspread/daemon/splitter"
)

// Guards against events whose end is not seen, or is seen too early, for the form of their lines.
func TestEventEnd(t *testing.T) {
	for stream, want := range map[string]int{
		"":                              -1,
		"data: a\n":                     -1,
		"data: a\n\n":                   9,
		"data: a\ndata: b\n\ndata: c\n": 17,
		"data: a\r\n":                   -1,
		"data: a\r\n\r":                 -1,
		"data: a\r\n\r\ndata: b\r\n":    11,
		"data: a\n\r\nx":                10,
		"data: a\r\n\nx":                10,
		"data: a\rb\n\r\r\n":            -1,
	} {
		if got := splitter.EventEnd([]byte(stream)); got != want {
			t.Errorf("%q: %d, want %d", stream, got, want)
		}
	}
}
