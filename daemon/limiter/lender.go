package limiter

import "yuccaspread/common/clock"

// Lifetimes of loans.
const (
	// chunkLifetime is how long lent requests and tokens may be used.
	chunkLifetime = 2 * clock.Second
	// slotLifetime is how long lent concurrency is valid without renewal.
	slotLifetime = 10 * clock.Second
	// slotRetryInterval is the time after which to ask again for concurrency.
	slotRetryInterval = 500 * clock.Millisecond
)

// Want is what a daemon asks to borrow of an organisation's limits.
type Want struct {
	Organisation string
	// Requests and Tokens are wanted in addition to what was lent before.
	Requests int
	Tokens   int
	// LeastTokens is the number of Tokens below which a loan is of no use.
	LeastTokens int
	// Slots is the concurrency that the daemon wants, its running requests
	// included.
	Slots int
	// ReturnedRequests and ReturnedTokens were lent and not used.
	ReturnedRequests int
	ReturnedTokens   int
}

// Loan answers a Want.
type Loan struct {
	Requests int
	Tokens   int
	Slots    int
	// RetryAfter is the time until more can be lent, 0 if all was.
	RetryAfter clock.Millis
}

// Lender lends the limits of the organisations whose home it is. The zero
// value is ready to use. It is not safe for concurrent use. ForgetIdle drops
// idle organisations.
type Lender struct {
	accounts map[string]*account
}

// account is the part of an organisation's limits that is not lent.
type account struct {
	// requests and tokens are the levels of two token buckets; tokens may be below
	// 0, since a prompt may be larger than the bucket.
	requests float64
	tokens   float64
	filledAt clock.Millis
	terms    Terms
	// slots is the lent concurrency by daemon.
	slots map[string]slotLoan
}

type slotLoan struct {
	count   int
	expires clock.Millis
}

// Lend answers a daemon's want. With startEmpty, the buckets of a new account
// start empty, because another home may have just lent all of the organisation's
// limits.
func (l *Lender) Lend(now clock.Millis, daemon string, terms Terms, want Want, startEmpty bool) (loan Loan) {
	a := l.account(now, terms, want.Organisation, startEmpty)
	a.refill(now, terms)
	a.requests = min(a.requests+float64(want.ReturnedRequests), terms.Burst)
	a.tokens = min(a.tokens+float64(want.ReturnedTokens), terms.TokenBurst)
	loan.Requests = a.lendRequests(want.Requests, &loan)
	loan.Tokens = a.lendTokens(want.Tokens, want.LeastTokens, &loan)
	loan.Slots = a.lendSlots(now, daemon, want.Slots, &loan)
	return loan
}

func (l *Lender) account(now clock.Millis, terms Terms, organisation string, startEmpty bool) *account {
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	a := l.accounts[organisation]
	if a == nil {
		a = &account{requests: terms.Burst, tokens: terms.TokenBurst, filledAt: now, slots: map[string]slotLoan{}}
		if startEmpty {
			a.requests, a.tokens = 0, 0
		}
		l.accounts[organisation] = a
	}
	return a
}

// refill fills the buckets for the time since the last call and drops expired
// concurrency loans.
func (a *account) refill(now clock.Millis, terms Terms) {
	seconds := max(now-a.filledAt, 0).Duration().Seconds()
	a.filledAt = max(a.filledAt, now)
	a.terms = terms
	a.requests = min(a.requests+seconds*terms.Rate, terms.Burst)
	a.tokens = min(a.tokens+seconds*terms.Tokens, terms.TokenBurst)
	for daemon, s := range a.slots {
		if now >= s.expires {
			delete(a.slots, daemon)
		}
	}
}

func (a *account) lendRequests(want int, loan *Loan) int {
	if a.terms.Rate <= 0 || want <= 0 {
		return max(want, 0)
	}
	lent := min(want, int(a.requests))
	if lent < want {
		loan.raiseRetryAfter((1 + float64(lent) - a.requests) / a.terms.Rate)
	}
	a.requests -= float64(lent)
	return lent
}

// lendTokens lends up to the level of the bucket. A bucket above 0 may be
// overdrawn once, to lend at least the least that is wanted, and then lends
// nothing until it is above 0 again.
func (a *account) lendTokens(want, least int, loan *Loan) int {
	if a.terms.Tokens <= 0 || want <= 0 {
		return max(want, 0)
	}
	if a.tokens <= 0 {
		loan.raiseRetryAfter((1 - a.tokens) / a.terms.Tokens)
		return 0
	}
	lent := min(want, max(int(a.tokens), least))
	a.tokens -= float64(lent)
	return lent
}

func (a *account) lendSlots(now clock.Millis, daemon string, want int, loan *Loan) int {
	if a.terms.Concurrency == unbounded {
		return want
	}
	delete(a.slots, daemon)
	left := a.terms.Concurrency
	for _, s := range a.slots {
		left -= s.count
	}
	lent := min(want, max(left, 0))
	if lent < want {
		loan.RetryAfter = max(loan.RetryAfter, slotRetryInterval)
	}
	if lent > 0 {
		a.slots[daemon] = slotLoan{lent, now + slotLifetime}
	}
	return lent
}

// raiseRetryAfter raises RetryAfter to at least the given time.
func (l *Loan) raiseRetryAfter(seconds float64) {
	span := clock.Millis(seconds*float64(clock.Second)) + 1
	l.RetryAfter = max(l.RetryAfter, span)
}

// ForgetIdle drops the idle organisations: those whose buckets are full again
// and of which no daemon holds concurrency.
func (l *Lender) ForgetIdle(now clock.Millis) {
	for name, a := range l.accounts {
		a.refill(now, a.terms)
		if len(a.slots) == 0 && a.requests >= a.terms.Burst && a.tokens >= a.terms.TokenBurst {
			delete(l.accounts, name)
		}
	}
}

// Len returns the number of organisations that are not idle.
func (l *Lender) Len() int { return len(l.accounts) }
