package throttler

import (
	"strings"
	"testing"

	"golang.org/x/time/rate"
)

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	var out strings.Builder
	throttler := New(&out)
	throttler.limiter = rate.NewLimiter(0, burst)
	write := func() {
		if n, err := throttler.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	for range 1000 {
		write()
	}
	want := strings.Repeat("line\n", burst)
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
	throttler.limiter = rate.NewLimiter(rate.Inf, 0)
	write()
	write()
	if want += "990 lines like the next were left out\nline\nline\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}
