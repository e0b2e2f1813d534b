package limiter

import (
	"cmp"
	"slices"

	"yuccaspread/common/clock"
)

const (
	// demandWindow is the period over which demand is counted; the demand of one
	// period is borrowed in advance.
	demandWindow = 1 * clock.Second
	// maxRefusalTime bounds how long requests are refused without asking the home
	// again.
	maxRefusalTime = 250 * clock.Millisecond
	// headroomDivisor sets the concurrency borrowed beyond the running requests:
	// their number divided by it.
	headroomDivisor = 4
)

// Verdict is the result of Borrower.Admit.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request was counted and may go on.
	Admitted Verdict = iota
	// NeedsLoan means that more must be borrowed first.
	NeedsLoan
	// Refused means that the limit is used up.
	Refused
)

// Borrower admits requests within what was borrowed from the home daemons. The
// zero value is ready to use. It is not safe for concurrent use. DueWants drops
// idle organisations.
type Borrower struct {
	balances map[string]*balance
}

// balance is the part of an organisation's limits that this daemon may use.
type balance struct {
	// requests and tokens are what is left of the last chunk, the borrowed part of
	// the rate limits; tokens is below 0 while output tokens are owed.
	requests int
	tokens   int
	// chunkUntil is when the requests and tokens that are left are returned.
	chunkUntil clock.Millis
	// slots is the borrowed concurrency, valid until slotsUntil.
	slots      int
	slotsUntil clock.Millis
	// inUse is the number of requests in progress.
	inUse int
	// waiting is the number of requests waiting for a loan.
	waiting int
	// refusedUntil is when the home may be asked again, retryAt when it is expected
	// to have more to lend.
	refusedUntil clock.Millis
	retryAt      clock.Millis
	terms        Terms
	// used and usedBefore count the requests admitted in the current demand window
	// and in the one before, usedTokens and usedTokensBefore their tokens; window
	// is the number of the current window.
	used, usedBefore             int
	usedTokens, usedTokensBefore int
	window                       clock.Millis
}

func (b *Borrower) balance(organisation string) *balance {
	if b.balances == nil {
		b.balances = map[string]*balance{}
	}
	bal := b.balances[organisation]
	if bal == nil {
		bal = &balance{}
		b.balances[organisation] = bal
	}
	return bal
}

// Admit counts a request of the given number of tokens if the balance allows
// it. Only the first attempt of a request counts towards the rate; a retry does
// not. With Refused, retry is the time until more can be expected.
func (b *Borrower) Admit(now clock.Millis, organisation string, terms Terms, tokens int, firstAttempt bool) (v Verdict, retry clock.Millis) {
	bal := b.balance(organisation)
	bal.terms = terms
	bal.rollWindow(now)
	requests := 0
	if firstAttempt {
		requests = 1
	}
	if !bal.covers(now, requests, tokens) {
		if now < bal.refusedUntil {
			return Refused, bal.retryAt - now
		}
		return NeedsLoan, 0
	}
	if terms.Rate > 0 {
		bal.requests -= requests
	}
	if terms.Tokens > 0 {
		bal.tokens -= tokens
	}
	bal.inUse++
	bal.used += requests
	bal.usedTokens += tokens
	return Admitted, 0
}

// covers reports whether the balance allows the request.
func (bal *balance) covers(now clock.Millis, requests, tokens int) bool {
	chunk := now < bal.chunkUntil
	switch {
	case bal.terms.Rate > 0 && requests > 0 && (!chunk || bal.requests < requests):
		return false
	case bal.terms.Tokens > 0 && (!chunk || bal.tokens < tokens):
		return false
	case bal.terms.Concurrency != unbounded && (now >= bal.slotsUntil || bal.inUse >= bal.slots):
		return false
	default:
		return true
	}
}

// AddWaiting changes the number of requests that are waiting for a loan.
func (b *Borrower) AddWaiting(organisation string, change int) {
	b.balance(organisation).waiting += change
}

// WantForRequest returns what to borrow for the next request and for as many
// more as the recent demand windows had. It returns what is left of an expired
// chunk.
func (b *Borrower) WantForRequest(now clock.Millis, organisation string, tokens int) (want Want) {
	bal := b.balance(organisation)
	bal.rollWindow(now)
	want = Want{Organisation: organisation, Slots: bal.inUse + 1 + bal.waiting + bal.inUse/headroomDivisor}
	if now >= bal.chunkUntil {
		want.ReturnedRequests = bal.requests
		want.ReturnedTokens = max(bal.tokens, 0)
		bal.requests = 0
		bal.tokens = min(bal.tokens, 0)
	}
	if bal.terms.Rate > 0 {
		want.Requests = max(1+max(bal.used, bal.usedBefore, bal.waiting)-bal.requests, 0)
	}
	if bal.terms.Tokens > 0 {
		want.LeastTokens = max(tokens-bal.tokens, 0)
		want.Tokens = max(tokens+max(bal.usedTokens, bal.usedTokensBefore)-bal.tokens, 0)
	}
	return want
}

// AddLoan adds a loan that arrived now. If it falls short, the home is not asked again for
// up to maxRefusalTime.
func (b *Borrower) AddLoan(asked, now clock.Millis, organisation string, loan Loan) {
	bal := b.balance(organisation)
	bal.requests += loan.Requests
	bal.tokens += loan.Tokens
	bal.chunkUntil = asked + chunkLifetime
	bal.slots = loan.Slots
	bal.slotsUntil = asked + slotLifetime
	bal.retryAt = now + loan.RetryAfter
	bal.refusedUntil = now + min(loan.RetryAfter, maxRefusalTime)
}

// Refund ends a request that was admitted but did not run, and restores what
// it used.
func (b *Borrower) Refund(organisation string, requests, tokens int) {
	bal := b.balance(organisation)
	bal.inUse--
	if bal.terms.Rate > 0 {
		bal.requests += requests
	}
	if bal.terms.Tokens > 0 {
		bal.tokens += tokens
	}
	bal.used -= min(requests, bal.used)
	bal.usedTokens -= min(tokens, bal.usedTokens)
}

// Release ends a request that ran. Its output tokens are deducted, and the
// balance may fall below 0.
func (b *Borrower) Release(organisation string, outputTokens int) {
	bal := b.balance(organisation)
	bal.inUse--
	if bal.terms.Tokens > 0 {
		bal.tokens -= outputTokens
		bal.usedTokens += outputTokens
	}
}

// DueWants returns the wants that renew loans, return unused ones and pay for
// tokens that are owed. It drops the balances of idle organisations.
func (b *Borrower) DueWants(now clock.Millis) (wants []Want) {
	for name, bal := range b.balances {
		bal.rollWindow(now)
		if want, due := bal.dueWant(now); due {
			want.Organisation = name
			wants = append(wants, want)
		} else if bal.isIdle(now) {
			delete(b.balances, name)
		}
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return wants
}

// dueWant returns what to ask of the home when no request is waiting.
func (bal *balance) dueWant(now clock.Millis) (want Want, due bool) {
	if bal.inUse > 0 {
		want.Slots = bal.inUse + bal.inUse/headroomDivisor
	}
	due = bal.slotsDue(now, want.Slots)
	if now < bal.chunkUntil {
		return want, due
	}
	want.ReturnedRequests, want.ReturnedTokens = bal.requests, max(bal.tokens, 0)
	bal.requests, bal.tokens = 0, min(bal.tokens, 0)
	want.Tokens, want.LeastTokens = -bal.tokens, -bal.tokens
	return want, due || want.ReturnedRequests > 0 || want.ReturnedTokens > 0 || want.Tokens > 0
}

// slotsDue reports whether the concurrency has to be renewed or returned.
func (bal *balance) slotsDue(now clock.Millis, wanted int) bool {
	if bal.terms.Concurrency == unbounded || now >= bal.slotsUntil {
		return false
	}
	ageing := bal.slotsUntil-now <= slotLifetime/2
	return (wanted > 0 && ageing) || bal.slots > wanted+1
}

func (bal *balance) isIdle(now clock.Millis) bool {
	return bal.inUse == 0 && bal.waiting == 0 && now >= bal.chunkUntil && now >= bal.slotsUntil
}

// Renew applies the loan for a want of DueWants that was asked for at now.
func (b *Borrower) Renew(now clock.Millis, organisation string, loan Loan) {
	bal := b.balances[organisation]
	if bal == nil {
		return
	}
	bal.tokens += loan.Tokens
	bal.slots = loan.Slots
	bal.slotsUntil = now + slotLifetime
	if loan.Slots == 0 {
		bal.slotsUntil = now
	}
}

// Len returns the number of organisations that are not idle.
func (b *Borrower) Len() int { return len(b.balances) }

// rollWindow moves the demand counts on to the window of now.
func (bal *balance) rollWindow(now clock.Millis) {
	window := now / demandWindow
	passed := window - bal.window
	if passed == 0 {
		return
	}
	bal.usedBefore, bal.usedTokensBefore = bal.used, bal.usedTokens
	if passed != 1 {
		bal.usedBefore, bal.usedTokensBefore = 0, 0
	}
	bal.used, bal.usedTokens = 0, 0
	bal.window = window
}
