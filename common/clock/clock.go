// Package clock holds the one time type of yuccaspread. Decision packages
// receive readings of it in their messages and never ask a clock themselves,
// so that a recorded run replays to the same outcome.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a reading of a Clock or the distance between two readings, in
// milliseconds. A reading counts from the Unix epoch, or from the start of a
// trace when it is replayed.
type Millis int64

// Spans that settings and rules are usually written in.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
	Day                = 24 * Hour
)

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts a reading to the standard library's type, in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// Of converts a standard duration to a span and drops what is below a
// millisecond.
func Of(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// At converts a standard time to a reading.
func At(t time.Time) Millis {
	return Millis(t.UnixMilli())
}

// Clock tells the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the present reading; it never goes back.
	Now() Millis
}

// System is the Clock of a running process. It reads the wall clock once and
// follows the monotonic clock from there, so that a stepped wall clock moves
// no lease and no deadline. The zero value works.
type System struct{}

//nolint:gochecknoglobals // One origin a process, so that all System clocks agree.
var origin = time.Now()

// Now implements Clock.
func (System) Now() Millis {
	return At(origin) + Of(time.Since(origin))
}

// Manual is a Clock that moves only when told to. The zero value stands at 0.
type Manual struct {
	now atomic.Int64
}

// Now implements Clock.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock forward by span; a negative span is ignored.
func (m *Manual) Advance(span Millis) {
	if span > 0 {
		m.now.Add(int64(span))
	}
}

// Set moves the clock to reading unless that would turn it back.
func (m *Manual) Set(reading Millis) {
	for {
		old := m.now.Load()
		if int64(reading) <= old || m.now.CompareAndSwap(old, int64(reading)) {
			return
		}
	}
}
