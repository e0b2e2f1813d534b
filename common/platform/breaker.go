package platform

import "yuccaspread/common/clock"

// Times and sizes of a breaker.
const (
	// failuresToOpen is the number of failures in a row that open a breaker.
	failuresToOpen = 5
	// minOpen and maxOpen bound how long it stays open; each failed probe
	// doubles the time.
	minOpen = 200 * clock.Millisecond
	maxOpen = 2 * clock.Second
)

// verdict is what the end of a call says about a service.
type verdict int

const (
	// neutral says nothing.
	neutral verdict = iota
	well
	failing
)

// breaker keeps calls away from a service that fails. It takes time in calls
// and does nothing by itself. The zero value is closed.
type breaker struct {
	// failures counts failures in a row.
	failures int
	// open is how long the breaker stayed open last, 0 while it is closed.
	open clock.Millis
	// until is when the next probe may go.
	until clock.Millis
	// probing is set while a probe is on its way.
	probing bool
}

// admit tells whether a call may go at the reading now.
func (b *breaker) admit(now clock.Millis) bool {
	if b.open == 0 {
		return true
	}
	if now < b.until || b.probing {
		return false
	}
	b.probing = true
	return true
}

// note takes the end of a call that was admitted; random in [0, 1) spreads
// the probes of many daemons.
func (b *breaker) note(now clock.Millis, v verdict, random float64) {
	b.probing = false
	switch v {
	case neutral:
		return
	case well:
		*b = breaker{}
		return
	case failing:
	}
	b.failures++
	if b.failures < failuresToOpen {
		return
	}
	b.open = min(max(2*b.open, minOpen), maxOpen)
	b.until = now + b.open/2 + clock.Millis(float64(b.open/2)*random)
}
