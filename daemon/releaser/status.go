package releaser

import "yuccaspread/common/clock"

// Timing of the writes for the operator.
const (
	// writeStagger is how long a daemon waits for each one that comes before it.
	writeStagger = 1500 * clock.Millisecond
	// writeInterval is the time between two tries.
	writeInterval = 1 * clock.Second
)

// status tracks what the operator was told of an order. The zero value is ready to use.
type status struct {
	// state is the state at the last call of isDue, and since when it was first that.
	state State
	since clock.Millis
	// written is the latest state that any daemon has written.
	written State
	triedAt clock.Millis
}

// noteWritten takes a state that was written, here or by another daemon.
func (s *status) noteWritten(state State) { s.written = max(s.written, state) }

// isDue reports whether a daemon has to write a state now, if rank others come before it.
func (s *status) isDue(now clock.Millis, state State, rank int) bool {
	if state != s.state {
		s.state, s.since, s.triedAt = state, now, 0
	}
	if s.written >= state || now-s.since < clock.Millis(rank)*writeStagger || (s.triedAt > 0 && now-s.triedAt < writeInterval) {
		return false
	}
	s.triedAt = now
	return true
}
