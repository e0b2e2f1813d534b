// Package throttler limits the rate of log lines that remote peers can cause, for
// example by failing handshakes.
package throttler

import (
	"fmt"
	"io"
	"sync"

	"golang.org/x/time/rate"
)

// Rate limit of the log lines.
const (
	linesPerSecond = 1
	burstLines     = 10
)

// Throttler is a writer that forwards each Write, which is one log line, within the
// rate limit and drops the others. It logs the number of dropped lines before the
// next line that it forwards. Create it with New; it is safe for concurrent use.
type Throttler struct {
	out     io.Writer
	limiter *rate.Limiter

	mu sync.Mutex
	// dropped is the number of lines dropped since the last forwarded one.
	dropped int
}

// New returns a Throttler that forwards to out.
func New(out io.Writer) *Throttler {
	return &Throttler{out: out, limiter: rate.NewLimiter(linesPerSecond, burstLines)}
}

// Write implements io.Writer. It returns len(line) for a dropped line too.
func (t *Throttler) Write(line []byte) (n int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.limiter.Allow() {
		t.dropped++
		return len(line), nil
	}
	if t.dropped > 0 {
		_, err = fmt.Fprintf(t.out, "%d log lines before the next one were dropped by the log rate limit\n", t.dropped)
		t.dropped = 0
	}
	if err != nil {
		return 0, err
	}
	return t.out.Write(line)
}
