package noticer

import "yuccaspread/common/clock"

// Allowance is a token bucket for requests. The zero value is empty.
type Allowance struct {
	tokens   float64
	filledAt clock.Millis
}

// Fill adds what a rate per second yields since the last call, up to the burst.
func (a *Allowance) Fill(now clock.Millis, perSecond, burst float64) {
	elapsed := max(now-a.filledAt, 0)
	a.filledAt = max(a.filledAt, now)
	a.tokens = min(a.tokens+elapsed.Duration().Seconds()*perSecond, burst)
}

// Has reports whether one request may be sent.
func (a *Allowance) Has() bool { return a.tokens >= 1 }

// Take uses one request. The balance may fall below 0.
func (a *Allowance) Take() { a.tokens-- }

// Return gives back one request that was not sent.
func (a *Allowance) Return() { a.tokens++ }

// FilledAt returns when Fill was last called.
func (a *Allowance) FilledAt() clock.Millis { return a.filledAt }
