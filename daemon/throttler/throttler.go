// Package throttler bounds the lines that others can make this daemon log, for
// example by handshakes that fail.
package throttler

import (
	"fmt"
	"io"
	"sync"

	"golang.org/x/time/rate"
)

// Bounds of the lines.
const (
	linesPerSecond = 1
	burst          = 10
)

// Throttler is a writer that passes on each Write, one line of a log, while
// the rate of lines is low. It tells how many were left out when it passes the
// next one. Create it with New; it is safe for concurrent use.
type Throttler struct {
	out     io.Writer
	limiter *rate.Limiter

	mu sync.Mutex
	// left is the number of lines left out since the last one that passed.
	left int
}

// New returns a Throttler before out.
func New(out io.Writer) *Throttler {
	return &Throttler{out: out, limiter: rate.NewLimiter(linesPerSecond, burst)}
}

// Write implements io.Writer.
func (t *Throttler) Write(line []byte) (n int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.limiter.Allow() {
		t.left++
		return len(line), nil
	}
	if t.left > 0 {
		_, err = fmt.Fprintf(t.out, "%d lines like the next were left out\n", t.left)
		t.left = 0
	}
	if err != nil {
		return 0, err
	}
	return t.out.Write(line)
}
