//go:build race

package clock

import (
	"sync"
	"time"
)

// Ticker works like time.Ticker without a channel timer: with Go 1.26.8, receiving from one that is due
// in a synctest bubble can crash the race detector.
type Ticker struct {
	// C receives the time after each interval. A time that is not received before the next one is kept,
	// and the next one dropped.
	C <-chan time.Time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// NewTicker returns a Ticker whose C receives the time after each interval, which is positive.
func NewTicker(interval Millis) *Ticker {
	times := make(chan time.Time, 1)
	span := interval.Duration()
	next := time.Now().Add(span)
	t := &Ticker{C: times}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(span, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stopped {
			return
		}
		now := time.Now()
		select {
		case times <- now:
		default:
		}
		next = next.Add((now.Sub(next)/span + 1) * span)
		t.timer.Reset(next.Sub(now))
	})
	return t
}

// Stop ends the ticks. It doesn't close C, from which a time that was kept is still received.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
