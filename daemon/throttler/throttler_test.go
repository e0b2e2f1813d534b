package throttler

import (
	"strings"
	"testing"

	"golang.org/x/time/rate"
)

// TestDroppedLinesAreCounted guards against log lines beyond the rate limit that are
// written, or dropped without a count.
func TestDroppedLinesAreCounted(t *testing.T) {
	var out strings.Builder
	throttler := New(&out)
	throttler.limiter = rate.NewLimiter(0, burstLines)
	write := func() {
		if n, err := throttler.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	for range 1000 {
		write()
	}
	want := strings.Repeat("line\n", burstLines)
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
	throttler.limiter = rate.NewLimiter(rate.Inf, 0)
	write()
	write()
	if want += "990 log lines before the next one were dropped by the log rate limit\nline\nline\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}
