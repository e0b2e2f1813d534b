// Package clock defines the time type that all of yuccaspread uses, in
// milliseconds, and the clocks that return it. Packages that make decisions
// receive the time in their messages and never read a clock themselves, so that
// replaying a recorded run gives the same outcome.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is either a reading of a Clock (a point in time) or a span (a
// duration), in milliseconds. A reading counts from the Unix epoch, or from the
// start of the trace during a replay.
type Millis int64

// Units for writing spans.
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

// FromDuration converts a standard duration to a span and truncates it to whole
// milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// FromTime converts a standard time to a reading.
func FromTime(t time.Time) Millis {
	return Millis(t.UnixMilli())
}

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current reading; it never decreases.
	Now() Millis
}

// System is the Clock of a running process. It reads the wall clock once at
// process start and adds the elapsed monotonic time, so that a step of the wall
// clock does not shift leases or deadlines. The zero value is ready to use.
type System struct{}

//nolint:gochecknoglobals // One start time per process, so that all System clocks agree.
var processStart = time.Now()

// Now implements Clock.
func (System) Now() Millis {
	return FromTime(processStart) + FromDuration(time.Since(processStart))
}

// Manual is a Clock that advances only through Advance and Set. The zero value
// reads 0.
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

// Set moves the clock to reading; a reading before the current one is ignored.
func (m *Manual) Set(reading Millis) {
	for {
		current := m.now.Load()
		if int64(reading) <= current || m.now.CompareAndSwap(current, int64(reading)) {
			return
		}
	}
}
