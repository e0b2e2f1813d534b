// Package limiter enforces the limits that an organisation has on its rate,
// concurrency and tokens. The home daemon of an organisation, chosen by
// rendezvous hashing, lends parts of its limits to the daemons that receive its
// requests. Lender and Borrower make the decisions and do no I/O; Limiter
// connects them over the network.
package limiter

import (
	"math"

	"yuccaspread/common/inventory"
)

// unbounded is the concurrency of an organisation without a concurrency limit.
const unbounded = math.MaxInt32

// Terms are the limits of one organisation, or a part of them.
type Terms struct {
	// Rate is in requests per second, 0 for no limit.
	Rate float64
	// Burst is the number of requests that may arrive at once, at least 1.
	Burst float64
	// Tokens is in tokens per second, 0 for no limit.
	Tokens float64
	// TokenBurst is the number of tokens that may be used at once.
	TokenBurst float64
	// Concurrency bounds the requests in progress; math.MaxInt32 means no limit.
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

// Bounded reports whether there is any limit.
func (t Terms) Bounded() bool {
	return t.Rate > 0 || t.Tokens > 0 || t.Concurrency != unbounded
}

// Part returns the part with this index of count equal parts. The parts of
// the concurrency add up to the total.
func (t Terms) Part(index, count int) Terms {
	if count <= 1 {
		return t
	}
	t.Rate /= float64(count)
	t.Burst = max(t.Burst/float64(count), 1)
	t.Tokens /= float64(count)
	t.TokenBurst /= float64(count)
	if t.Concurrency != unbounded {
		total := t.Concurrency
		t.Concurrency = total / count
		if index < total%count {
			t.Concurrency++
		}
	}
	return t
}

// partitionedShare is the share of its own part that a daemon lends while it may
// be cut off from a home that goes on to lend all: with half of the daemons cut
// off, they add a tenth.
const partitionedShare = 0.2

// ReducedForPartition returns what a daemon may use of its own part while other
// daemons may lend it too. The concurrency is not reduced, because a part of it
// may be as little as 1.
func (t Terms) ReducedForPartition() Terms {
	concurrency := t.Concurrency
	t = t.Scaled(partitionedShare)
	t.Concurrency = concurrency
	return t
}

// Scaled returns the limits multiplied by share, which is in (0, 1].
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
