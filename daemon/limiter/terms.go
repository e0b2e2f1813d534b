// Package limiter holds organisations to their limits of rate, concurrency
// and tokens. The home daemon of an organisation lends parts of its limits to
// the daemons that see its requests. Lender and Borrower decide and are pure;
// Limiter joins them over the network.
package limiter

import (
	"math"

	"yuccaspread/common/inventory"
)

// unbounded is the concurrency of an organisation without such a limit.
const unbounded = math.MaxInt32

// Terms are the limits of one organisation, or a part of them.
type Terms struct {
	// Rate is in requests a second, 0 for no bound.
	Rate float64
	// Burst is the number of requests that may come at once, at least 1.
	Burst float64
	// Tokens is in tokens a second, 0 for no bound.
	Tokens float64
	// TokenBurst is the number of tokens that may come at once.
	TokenBurst float64
	// Concurrency bounds the requests in progress; it is MaxInt32 for no bound.
	Concurrency int
}

// TermsOf returns the limits of an organisation.
func TermsOf(o inventory.Organisation) Terms {
	t := Terms{Rate: o.RatePerSecond, Burst: float64(o.Burst), Tokens: o.TokensPerSecond, Concurrency: o.Concurrency}
	if t.Burst == 0 {
		t.Burst = t.Rate
	}
	t.Burst = max(t.Burst, 1)
	t.TokenBurst = o.TokenBurst
	if t.TokenBurst == 0 {
		t.TokenBurst = t.Tokens
	}
	if t.Concurrency == 0 {
		t.Concurrency = unbounded
	}
	return t
}

// Bounded tells whether there is any limit.
func (t Terms) Bounded() bool {
	return t.Rate > 0 || t.Tokens > 0 || t.Concurrency != unbounded
}

// Part returns the part with this index of count equal parts. The parts of
// the concurrency add up to the whole.
func (t Terms) Part(index, count int) Terms {
	if count <= 1 {
		return t
	}
	t.Rate /= float64(count)
	t.Burst = max(t.Burst/float64(count), 1)
	t.Tokens /= float64(count)
	t.TokenBurst /= float64(count)
	if t.Concurrency != unbounded {
		whole := t.Concurrency
		t.Concurrency = whole / count
		if index < whole%count {
			t.Concurrency++
		}
	}
	return t
}

// carefulShare is the part of its own part that a daemon lends which may be cut off
// from a home that goes on to lend all: half of the daemons then add a tenth.
const carefulShare = 0.2

// Careful returns what a daemon may use of its part where others may lend it too.
// Parts of the concurrency are kept, for they may be no more than one.
func (t Terms) Careful() Terms {
	concurrency := t.Concurrency
	t = t.Scaled(carefulShare)
	t.Concurrency = concurrency
	return t
}

// Scaled returns a share in (0, 1] of the limits.
func (t Terms) Scaled(share float64) Terms {
	if share >= 1 {
		return t
	}
	t.Rate *= share
	t.Burst = max(t.Burst*share, 1)
	t.Tokens *= share
	t.TokenBurst *= share
	if t.Concurrency != unbounded {
		t.Concurrency = int(float64(t.Concurrency) * share)
	}
	return t
}
