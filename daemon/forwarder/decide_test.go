package forwarder

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRetryAllowedOnlyWhereSafe guards against a second run of a request that must
// not repeat, against a second answer after a part of the first was written, and
// against retries that bypass the budget.
func TestRetryAllowedOnlyWhereSafe(t *testing.T) {
	cases := []struct {
		p                   progress
		e                   attemptEnd
		allowed, usesBudget bool
	}{
		{progress{}, notSent, true, false},
		{progress{}, notRun, true, true},
		{progress{}, unanswered, false, true},
		{progress{}, failed, false, true},
		{progress{}, broken, false, true},
		{progress{repeatable: true, maxRuns: 2}, unanswered, true, true},
		{progress{repeatable: true, maxRuns: 1}, unanswered, false, true},
		{progress{repeatable: true, maxRuns: 2, headWritten: true, resumable: true}, broken, true, true},
		{progress{repeatable: true, maxRuns: 2, headWritten: true}, broken, false, false},
		{progress{repeatable: true}, completed, false, false},
	}
	for _, c := range cases {
		c.p.recordAttempt(c.e)
		allowed, usesBudget := c.p.retryAllowed(c.e)
		if allowed != c.allowed || (allowed && usesBudget != c.usesBudget) {
			t.Errorf("%s after %+v: allowed %t, uses budget %t", c.e, c.p, allowed, usesBudget)
		}
	}
}

// TestRunsAndTriesStayWithinBounds ends attempts in random ways and checks that no
// request runs more often than its bound allows.
func TestRunsAndTriesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := progress{repeatable: rapid.Bool().Draw(t, "repeatable"), maxRuns: rapid.IntRange(0, 4).Draw(t, "max")}
		p.resumable = p.repeatable && rapid.Bool().Draw(t, "resumes")
		for {
			e := rapid.SampledFrom([]attemptEnd{notSent, notRun, failed, unanswered, broken}).Draw(t, "end")
			p.recordAttempt(e)
			if e == broken {
				p.headWritten = true
			}
			if allowed, _ := p.retryAllowed(e); !allowed {
				break
			}
		}
		bound := 1
		if p.repeatable {
			bound = max(p.maxRuns, 1)
			if p.maxRuns == 0 {
				bound = defaultRuns
			}
		}
		if p.runs > bound || p.tries > maxTries {
			t.Fatalf("%+v", p)
		}
	})
}

// TestSplitterReturnsOnlyWholeEvents guards against forwarding a part of an event,
// whatever the read boundaries are: another upstream could not continue it.
func TestSplitterReturnsOnlyWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		text := ""
		for number := 1; number <= 5; number++ {
			text += strings.ReplaceAll(fmt.Sprintf("id: %d\ndata: a\ndata: b\n\n", number), "\n", lineEnd)
		}
		torn := text + "id: 6\nda"
		var s eventSplitter
		out, rest := "", torn
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			out += string(s.feed([]byte(rest[:n])))
			rest = rest[n:]
		}
		if out != text || s.lastID != "5" || s.events != 5 || string(s.Rest()) != "id: 6\nda" {
			t.Fatalf("%q, last %q, %d events, rest %q", out, s.lastID, s.events, s.Rest())
		}
	})
}

// TestFleetRetriesStayWithinBudget guards against a fleet whose daemons together
// exceed the retry budget although each one stays within its own part. Daemons
// with a random mix of requests make every retry that they may.
func TestFleetRetriesStayWithinBudget(t *testing.T) {
	const share, extra = 0.2, 54.0
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(t, "daemons")
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = &Budget{RetriesPerRequest: share, ExtraRetries: extra, Daemons: func() int { return daemons }}
		}
		// A long time without retries fills every bucket.
		for _, b := range budgets {
			for range 5000 {
				b.AddRequest("p")
			}
		}
		requests, retries := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "requests") {
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			b.AddRequest("p")
			requests++
			for b.TakeRetry("p") {
				retries++
			}
		}
		for _, b := range budgets {
			for b.TakeRetry("p") {
				retries++
			}
		}
		if float64(retries) > share*float64(requests)+extra {
			t.Fatalf("%d retries for %d requests of %d daemons", retries, requests, daemons)
		}
	})
}

// TestBudgetStartsEmpty guards against a daemon that restarts often and gets a new
// allowance each time. It also checks that pools do not share their balance.
func TestBudgetStartsEmpty(t *testing.T) {
	b := &Budget{RetriesPerRequest: 0.2, ExtraRetries: 54, Daemons: func() int { return 7 }}
	if b.TakeRetry("p") {
		t.Error("a new budget allowed a retry that the daemon may have used before its restart")
	}
	for range 6 {
		b.AddRequest("p")
	}
	if !b.TakeRetry("p") || b.TakeRetry("p") || b.TakeRetry("other") {
		t.Error("six requests must allow exactly one retry, and only for their own pool")
	}
}

// TestSuspicionsLeaveRetriesForFailures guards against requests that no upstream ran and that get no
// other one, because attempts which were merely slow have used up all retries.
func TestSuspicionsLeaveRetriesForFailures(t *testing.T) {
	for daemons, want := range map[int]int{1: 2, 7: 2, 20: 1, 66: 0, 350: 0} {
		b := &Budget{RetriesPerRequest: 0.2, ExtraRetries: 54, Daemons: func() int { return daemons }}
		for range 1000 {
			b.AddRequest("p")
		}
		onSuspicion, left := 0, 0
		for b.TakeRetryOnSuspicion("p") {
			onSuspicion++
		}
		for b.TakeRetry("p") {
			left++
		}
		if onSuspicion == 0 || left != want {
			t.Errorf("%d daemons: %d retries on suspicion, %d left, want %d", daemons, onSuspicion, left, want)
		}
	}
}
