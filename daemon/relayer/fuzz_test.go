package relayer

import (
	"bytes"
	"testing"
)

// FuzzEvents guards against results that depend on read boundaries: a stream that is
// fed in two parts must yield the same events as one that is fed at once.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"), 7)
	f.Add([]byte("id: t:1\ndata: a\n\nid: x:2\ndata: b\n\n"), 3)
	f.Add([]byte("id: 2\n\n"), 0)
	f.Add([]byte("id: -9999999999999999999\ndata:\n\n\n\n"), 20)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		whole := &eventFilter{attemptID: "t"}
		want, wantErr := whole.feed(stream)
		cut = min(max(cut, 0), len(stream))
		parts := &eventFilter{attemptID: "t"}
		got, gotErr := parts.feed(bytes.Clone(stream[:cut]))
		if gotErr == nil {
			var rest []byte
			rest, gotErr = parts.feed(bytes.Clone(stream[cut:]))
			got = append(got, rest...)
		}
		if !bytes.Equal(got, want) || (gotErr == nil) != (wantErr == nil) || parts.lastNumber != whole.lastNumber || parts.done != whole.done {
			t.Fatalf("cut at %d: got %q (%v), whole %q (%v)", cut, got, gotErr, want, wantErr)
		}
	})
}
