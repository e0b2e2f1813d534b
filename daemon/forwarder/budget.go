package forwarder

import "sync"

// Budget limits the retries for a pool, over all daemons, to a share of its
// requests plus a fixed allowance. Each daemon keeps one token bucket per pool:
// its own requests fill the bucket, and its part of the allowance is the bucket's
// capacity. The exported fields are set before use.
type Budget struct {
	// RetriesPerRequest is the number of retries that one request adds, in [0, 1].
	RetriesPerRequest float64
	// ExtraRetries is the number of retries that all daemons together may make in a
	// window in addition to RetriesPerRequest.
	ExtraRetries float64
	// Daemons returns how many daemons share ExtraRetries, at least 1.
	Daemons func() int

	mu sync.Mutex
	// balances holds the available retries by pool.
	balances map[string]float64
}

const (
	// reservedRetries is the number of retries that a suspicion leaves. Among many daemons, whose
	// parts of the allowance are small, it is half of the part, and nothing where one retry is all.
	reservedRetries = 2
	// shareFactor and extraFactor keep the sum over all daemons below the bound
	// while daemons join and leave and their windows are not aligned.
	shareFactor = 0.95
	extraFactor = 0.8
)

// AddRequest adds the share of a retry that one request to the pool earns.
func (b *Budget) AddRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setBalance(pool, b.balance(pool)+shareFactor*b.RetriesPerRequest)
}

// TakeRetry takes one retry from the pool's balance and reports whether the
// balance allowed it.
func (b *Budget) TakeRetry(pool string) bool { return b.take(pool, 1, 0) }

// ReturnRetry gives back a retry that was taken and not made.
func (b *Budget) ReturnRetry(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setBalance(pool, b.balance(pool)+1)
}

// TakeRetryOnSuspicion is TakeRetry for a request whose attempt may still succeed. It leaves some
// retries for requests that have surely failed.
func (b *Budget) TakeRetryOnSuspicion(pool string) bool { return b.take(pool, 1, b.reserved()) }

// TakeRetryAndFallback is TakeRetryOnSuspicion that also takes the retry for going back to the upstream that is given
// up. Where the part of this daemon is small, it is never allowed.
func (b *Budget) TakeRetryAndFallback(pool string) bool { return b.take(pool, 2, b.reserved()) }

// reserved is the number of retries that a suspicion leaves.
func (b *Budget) reserved() float64 {
	most := b.maxBalance()
	return min(reservedRetries, most/2, most-1)
}

// take takes retries from the pool's balance if at least the given number of them is left.
func (b *Budget) take(pool string, retries, left float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	level := b.balance(pool) - retries
	if level < left {
		return false
	}
	b.setBalance(pool, level)
	return true
}

func (b *Budget) maxBalance() float64 {
	return max(extraFactor*b.ExtraRetries/float64(max(b.Daemons(), 1)), 1)
}

func (b *Budget) balance(pool string) float64 {
	// A pool starts at 0: before a restart, the previous process may have used up
	// its allowance.
	return b.balances[pool]
}

func (b *Budget) setBalance(pool string, level float64) {
	if b.balances == nil {
		b.balances = map[string]float64{}
	}
	b.balances[pool] = min(level, b.maxBalance())
}
