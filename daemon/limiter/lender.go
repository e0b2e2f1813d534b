package limiter

import (
	"math"

	"yuccaspread/common/clock"
)

// Lifetimes of loans.
const (
	// chunkLifetime is how long lent requests and tokens may be used.
	chunkLifetime = 1 * clock.Second
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
	// NoOverdraft means that LeastTokens are lent only if the bucket holds them.
	NoOverdraft bool
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
	// Home names the home of the organisation if the asked daemon is not the home;
	// nothing is lent then.
	Home string
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
	// extra is what still flows into the bucket of tokens beside the terms.
	extra Extra
	// slots is the lent concurrency by daemon.
	slots map[string]slotLoan
	// lentAt is when something was last lent.
	lentAt clock.Millis
}

type slotLoan struct {
	count   int
	expires clock.Millis
}

// Extra is what flows into a bucket of tokens beside the rate of its terms.
type Extra struct {
	// PerSecond is the rate of it, Tokens the total.
	PerSecond float64
	Tokens    float64
}

// Open opens the account of an organisation that has none. Nobody else has lent its
// limits since a time, at which its buckets count as empty: whatever was lent before,
// all loans of any span stay within the limits. extra flows in beside the terms.
func (l *Lender) Open(now clock.Millis, terms Terms, organisation string, since clock.Millis, extra Extra) {
	if l.Holds(organisation) {
		return
	}
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	a := &account{filledAt: min(since, now), extra: extra, lentAt: math.MinInt64, slots: map[string]slotLoan{}}
	a.refill(now, terms)
	l.accounts[organisation] = a
}

// Holds reports whether the organisation has an account.
func (l *Lender) Holds(organisation string) bool { return l.accounts[organisation] != nil }

// Close closes the account of an organisation. It returns when something was last
// lent from it; lent is false if nothing was.
func (l *Lender) Close(organisation string) (lentAt clock.Millis, lent bool) {
	a := l.accounts[organisation]
	if a == nil {
		return 0, false
	}
	delete(l.accounts, organisation)
	return a.lentAt, a.lentAt != math.MinInt64
}

// Drain empties the buckets of an organisation, because another daemon lends its limits
// now.
func (l *Lender) Drain(now clock.Millis, organisation string) {
	if a := l.accounts[organisation]; a != nil {
		a.requests, a.tokens, a.filledAt = min(a.requests, 0), min(a.tokens, 0), now
	}
}

// Organisations returns the names of the organisations with an account, in no order.
func (l *Lender) Organisations() (names []string) {
	for name := range l.accounts {
		names = append(names, name)
	}
	return names
}

// Lend answers a daemon's want from the account of the organisation. Without an
// account it lends nothing.
func (l *Lender) Lend(now clock.Millis, daemon string, terms Terms, want Want) (loan Loan) {
	a := l.accounts[want.Organisation]
	if a == nil {
		return Loan{RetryAfter: slotRetryInterval}
	}
	a.refill(now, terms)
	a.requests = min(a.requests+float64(want.ReturnedRequests), terms.Burst)
	a.tokens = min(a.tokens+float64(want.ReturnedTokens), terms.TokenBurst)
	loan.Requests = a.lendRequests(want.Requests, &loan)
	loan.Tokens = a.lendTokens(want, &loan)
	loan.Slots = a.lendSlots(now, daemon, want.Slots, &loan)
	if loan.Requests > 0 || loan.Tokens > 0 || loan.Slots > 0 {
		a.lentAt = now
	}
	return loan
}

// refill fills the buckets for the time since the last call and drops expired
// concurrency loans.
func (a *account) refill(now clock.Millis, terms Terms) {
	seconds := max(now-a.filledAt, 0).Duration().Seconds()
	a.filledAt = max(a.filledAt, now)
	a.terms = terms
	a.requests = min(a.requests+seconds*terms.Rate, terms.Burst)
	extra := min(seconds*a.extra.PerSecond, a.extra.Tokens)
	a.extra.Tokens -= extra
	a.tokens = min(a.tokens+seconds*terms.Tokens+extra, terms.TokenBurst)
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
// overdrawn once, unless the want rules it out, to lend at least the least that is
// wanted, and then lends nothing until it is above 0 again.
func (a *account) lendTokens(w Want, loan *Loan) int {
	want, least := w.Tokens, w.LeastTokens
	if a.terms.Tokens <= 0 || want <= 0 {
		return max(want, 0)
	}
	if w.NoOverdraft && a.tokens < float64(least) {
		loan.RetryAfter = max(loan.RetryAfter, slotRetryInterval)
		return 0
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
