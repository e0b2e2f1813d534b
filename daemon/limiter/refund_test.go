package limiter_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/limiter"
	"yuccaspread/daemon/reserver"
)

// TestRefundRestoresTheLimit guards against requests that were admitted but got
// no slot using up the limit of later requests.
func TestRefundRestoresTheLimit(t *testing.T) {
	terms := limiter.TermsOf(inventory.Organisation{TokensPerSecond: 100, TokenBurst: 300})
	if terms.TokenBurst != 300 || limiter.TermsOf(inventory.Organisation{TokensPerSecond: 100}).TokenBurst != 100 {
		t.Errorf("%+v", terms)
	}
	var b limiter.Borrower
	var l limiter.Lender
	now := clock.Hour
	l.Open(now, terms, "o", 0, limiter.Extra{})
	admitted := 0
	for range 50 {
		verdict, _ := b.Admit(now, "o", terms, 100, true)
		if verdict == limiter.NeedsLoan {
			b.AddLoan(now, now, "o", l.Lend(now, "d", terms, b.WantForRequest(now, "o", 100)))
			verdict, _ = b.Admit(now, "o", terms, 100, true)
		}
		if verdict != limiter.Admitted {
			t.Fatalf("refused after %d that got no slot", admitted)
		}
		admitted++
		// The request gets no slot.
		b.Refund("o", 1, 100)
	}
	ran := 0
	for range 50 {
		verdict, _ := b.Admit(now, "o", terms, 100, true)
		if verdict == limiter.NeedsLoan {
			b.AddLoan(now, now, "o", l.Lend(now, "d", terms, b.WantForRequest(now, "o", 100)))
			verdict, _ = b.Admit(now, "o", terms, 100, true)
		}
		if verdict == limiter.Admitted {
			ran++
		}
	}
	if ran != 3 {
		t.Errorf("%d requests of 100 tokens ran at once, the burst is 300", ran)
	}
}

// TestRequestThatDidNotRunUsesNoLimit guards against a limit that is used up by requests
// that an upstream turned away.
func TestRequestThatDidNotRunUsesNoLimit(t *testing.T) {
	f := newFleet(1, inventory.Organisation{TokensPerSecond: 100, TokenBurst: 100, TokensInAdvance: true})
	for attempt := range 50 {
		s, err := f.reserve(0, 60)
		if err != nil {
			t.Fatalf("refused after %d requests that did not run: %v", attempt, err)
		}
		s.End(reserver.Usage{Outcome: reserver.Failed, NotRun: true})
	}
}
