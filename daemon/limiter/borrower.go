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
	// requests and tokens are what is left of the borrowed rate limits; tokens is
	// below 0 while output tokens are owed.
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
	// refusedUntil is when the home may be asked again, retryAt is when it is
	// expected to be able to lend more.
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
	p := b.balances[organisation]
	if p == nil {
		p = &balance{}
		b.balances[organisation] = p
	}
	return p
}

// Admit counts a request of the given number of tokens if the balance allows
// it. Only the first attempt of a request counts towards the rate; a retry does
// not. With Refused, retry is the time until more can be expected.
func (b *Borrower) Admit(now clock.Millis, organisation string, terms Terms, tokens int, firstAttempt bool) (v Verdict, retry clock.Millis) {
	p := b.balance(organisation)
	p.terms = terms
	p.rollWindow(now)
	requests := 0
	if firstAttempt {
		requests = 1
	}
	if !p.covers(now, requests, tokens) {
		if now < p.refusedUntil {
			return Refused, p.retryAt - now
		}
		return NeedsLoan, 0
	}
	if terms.Rate > 0 {
		p.requests -= requests
	}
	if terms.Tokens > 0 {
		p.tokens -= tokens
	}
	p.inUse++
	p.used += requests
	p.usedTokens += tokens
	return Admitted, 0
}

// covers reports whether the balance allows the request.
func (p *balance) covers(now clock.Millis, requests, tokens int) bool {
	chunk := now < p.chunkUntil
	switch {
	case p.terms.Rate > 0 && requests > 0 && (!chunk || p.requests < requests):
		return false
	case p.terms.Tokens > 0 && (!chunk || p.tokens < tokens):
		return false
	case p.terms.Concurrency != unbounded && (now >= p.slotsUntil || p.inUse >= p.slots):
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
	p := b.balance(organisation)
	p.rollWindow(now)
	want = Want{Organisation: organisation, Slots: p.inUse + 1 + p.waiting + p.inUse/headroomDivisor}
	if now >= p.chunkUntil {
		want.ReturnedRequests = p.requests
		want.ReturnedTokens = max(p.tokens, 0)
		p.requests = 0
		p.tokens = min(p.tokens, 0)
	}
	if p.terms.Rate > 0 {
		want.Requests = max(1+max(p.used, p.usedBefore, p.waiting)-p.requests, 0)
	}
	if p.terms.Tokens > 0 {
		want.LeastTokens = max(tokens-p.tokens, 0)
		want.Tokens = max(tokens+max(p.usedTokens, p.usedTokensBefore)-p.tokens, 0)
	}
	return want
}

// AddLoan adds a loan that was asked for at now. If it falls short, the home is
// not asked again for up to maxRefusalTime.
func (b *Borrower) AddLoan(now clock.Millis, organisation string, loan Loan) {
	p := b.balance(organisation)
	p.requests += loan.Requests
	p.tokens += loan.Tokens
	p.chunkUntil = now + chunkLifetime
	p.slots = loan.Slots
	p.slotsUntil = now + slotLifetime
	p.retryAt = now + loan.RetryAfter
	p.refusedUntil = now + min(loan.RetryAfter, maxRefusalTime)
}

// Refund ends a request that was admitted but did not run, and restores what
// it used.
func (b *Borrower) Refund(organisation string, requests, tokens int) {
	p := b.balance(organisation)
	p.inUse--
	if p.terms.Rate > 0 {
		p.requests += requests
	}
	if p.terms.Tokens > 0 {
		p.tokens += tokens
	}
	p.used -= min(requests, p.used)
	p.usedTokens -= min(tokens, p.usedTokens)
}

// Release ends a request that ran. Its output tokens are deducted, and the
// balance may fall below 0.
func (b *Borrower) Release(organisation string, outputTokens int) {
	p := b.balance(organisation)
	p.inUse--
	if p.terms.Tokens > 0 {
		p.tokens -= outputTokens
		p.usedTokens += outputTokens
	}
}

// DueWants returns the wants that renew loans, return unused ones and pay for
// tokens that are owed. It drops the balances of idle organisations.
func (b *Borrower) DueWants(now clock.Millis) (wants []Want) {
	for name, p := range b.balances {
		p.rollWindow(now)
		if want, due := p.dueWant(now); due {
			want.Organisation = name
			wants = append(wants, want)
		} else if p.isIdle(now) {
			delete(b.balances, name)
		}
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return wants
}

// dueWant returns what to ask of the home when no request is waiting.
func (p *balance) dueWant(now clock.Millis) (want Want, due bool) {
	if p.inUse > 0 {
		want.Slots = p.inUse + p.inUse/headroomDivisor
	}
	due = p.slotsDue(now, want.Slots)
	if now < p.chunkUntil {
		return want, due
	}
	want.ReturnedRequests, want.ReturnedTokens = p.requests, max(p.tokens, 0)
	p.requests, p.tokens = 0, min(p.tokens, 0)
	want.Tokens, want.LeastTokens = -p.tokens, -p.tokens
	return want, due || want.ReturnedRequests > 0 || want.ReturnedTokens > 0 || want.Tokens > 0
}

// slotsDue reports whether the concurrency has to be renewed or returned.
func (p *balance) slotsDue(now clock.Millis, wanted int) bool {
	if p.terms.Concurrency == unbounded || now >= p.slotsUntil {
		return false
	}
	ageing := p.slotsUntil-now <= slotLifetime/2
	return (wanted > 0 && ageing) || p.slots > wanted+1
}

func (p *balance) isIdle(now clock.Millis) bool {
	return p.inUse == 0 && p.waiting == 0 && now >= p.chunkUntil && now >= p.slotsUntil
}

// Renew applies the loan for a want of DueWants that was asked for at now.
func (b *Borrower) Renew(now clock.Millis, organisation string, loan Loan) {
	p := b.balances[organisation]
	if p == nil {
		return
	}
	p.tokens += loan.Tokens
	p.slots = loan.Slots
	p.slotsUntil = now + slotLifetime
	if loan.Slots == 0 {
		p.slotsUntil = now
	}
}

// Len returns the number of organisations that are not idle.
func (b *Borrower) Len() int { return len(b.balances) }

// rollWindow moves the demand counts on to the window of now.
func (p *balance) rollWindow(now clock.Millis) {
	window := now / demandWindow
	passed := window - p.window
	if passed == 0 {
		return
	}
	p.usedBefore, p.usedTokensBefore = p.used, p.usedTokens
	if passed != 1 {
		p.usedBefore, p.usedTokensBefore = 0, 0
	}
	p.used, p.usedTokens = 0, 0
	p.window = window
}
