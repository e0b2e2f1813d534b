//go:build !race

package clock

import "time"

// startTimer returns a channel that receives once span has passed, unless stop is called before.
func startTimer(span Millis) (elapsed <-chan time.Time, stop func() bool) {
	timer := time.NewTimer(span.Duration())
	return timer.C, timer.Stop
}
