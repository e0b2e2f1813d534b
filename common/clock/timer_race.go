//go:build race

package clock

import "time"

// startTimer returns a channel that receives once span has passed, unless stop is called before. It is no channel
// timer, which can crash the race detector in a synctest bubble; see Ticker.
func startTimer(span Millis) (elapsed <-chan time.Time, stop func() bool) {
	times := make(chan time.Time, 1)
	timer := time.AfterFunc(span.Duration(), func() { times <- time.Now() })
	return times, timer.Stop
}
