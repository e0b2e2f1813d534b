package platform

import "yuccaspread/common/clock"

// Thresholds and durations of a breaker.
const (
	// openAfterFailures is the number of consecutive failures that open a
	// breaker.
	openAfterFailures = 5
	// minOpen and maxOpen limit how long a breaker stays open; each failed probe
	// doubles the time.
	minOpen = 200 * clock.Millisecond
	maxOpen = 2 * clock.Second
)

// serviceHealth is what the outcome of a call says about a service.
type serviceHealth int

const (
	// inconclusive means that the call says nothing about the service.
	inconclusive serviceHealth = iota
	healthy
	unhealthy
)

// breaker is a circuit breaker: it stops calls to a service that fails, except
// for one probe at a time. Its methods receive the current time; it has no timer
// of its own. The zero value is closed.
type breaker struct {
	consecutiveFailures int
	// openFor is the current open time before jitter, 0 while the breaker is
	// closed.
	openFor clock.Millis
	// nextProbe is the reading from which the next probe is allowed.
	nextProbe clock.Millis
	// probeInFlight is set while a probe has not ended.
	probeInFlight bool
}

// allow reports whether a call may be sent at the reading now. While the breaker
// is open, an allowed call is the probe.
func (b *breaker) allow(now clock.Millis) bool {
	if b.openFor == 0 {
		return true
	}
	if now < b.nextProbe || b.probeInFlight {
		return false
	}
	b.probeInFlight = true
	return true
}

// record processes the outcome of a call that was allowed; random in [0, 1) is
// the jitter that spreads the probes of many daemons.
func (b *breaker) record(now clock.Millis, health serviceHealth, random float64) {
	b.probeInFlight = false
	switch health {
	case inconclusive:
		return
	case healthy:
		*b = breaker{}
		return
	case unhealthy:
	}
	b.consecutiveFailures++
	if b.consecutiveFailures < openAfterFailures {
		return
	}
	b.openFor = min(max(2*b.openFor, minOpen), maxOpen)
	b.nextProbe = now + b.openFor/2 + clock.Millis(float64(b.openFor/2)*random)
}
