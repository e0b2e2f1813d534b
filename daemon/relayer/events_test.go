package relayer

import (
	"errors"
	"testing"
)

func event(id, data string) string { return "id: " + id + "\ndata: " + data + "\n\n" }

// TestFilterAdmitsEventsOfItsAttemptOnceAndInOrder guards against a caller who gets
// an event twice, events of another attempt, or a stream with a gap. All of these
// can follow from a resumption on a new connection.
func TestFilterAdmitsEventsOfItsAttemptOnceAndInOrder(t *testing.T) {
	for name, c := range map[string]struct {
		in, want string
		err      error
		done     bool
	}{
		"torn":            {in: event("a.1:1", "x") + "id: a.1:2\nda", want: event("a.1:1", "x")},
		"other attempt":   {in: event("b.1:1", "y") + event("a.1:1", "x"), want: event("a.1:1", "x")},
		"late":            {in: event("a.1:1", "x") + event("a.1:1", "x") + event("2", "z"), want: event("a.1:1", "x") + event("2", "z")},
		"gap":             {in: event("a.1:1", "x") + event("a.1:3", "z"), want: event("a.1:1", "x"), err: errMissingEvent},
		"no ids":          {in: "data: x\n\ndata: x\n\n", want: "data: x\n\ndata: x\n\n"},
		"other line ends": {in: "id: a.1:1\r\ndata: x\r\n\r\ndata: [DONE]\r\n\r\n", want: "id: a.1:1\r\ndata: x\r\n\r\ndata: [DONE]\r\n\r\n", done: true},
		"end mark":        {in: "data: [DONE]\n\ndata: more\n\n", want: "data: [DONE]\n\n", done: true},
	} {
		// Feeds the input at once, and byte by byte.
		for _, size := range []int{len(c.in), 1} {
			e := &eventFilter{attemptID: "a.1"}
			var got string
			var err error
			for at := 0; at < len(c.in) && err == nil; at += size {
				var out []byte
				out, err = e.feed([]byte(c.in[at : at+size]))
				got += string(out)
			}
			if got != c.want || !errors.Is(err, c.err) || e.done != c.done {
				t.Errorf("%s by %d: got %q, %v, done %v", name, size, got, err, e.done)
			}
		}
	}
}
