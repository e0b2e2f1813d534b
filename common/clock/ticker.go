//go:build !race

package clock

import "time"

// Ticker is the standard library's, except in builds with the race detector.
type Ticker = time.Ticker

// NewTicker returns a Ticker whose C receives the time after each interval, which is positive.
func NewTicker(interval Millis) *Ticker {
	return time.NewTicker(interval.Duration())
}
