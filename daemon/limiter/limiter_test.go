package limiter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/limiter"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
)

type source struct{ config *inventory.Config }

func (s source) Current() *inventory.Config { return s.config }

type slot struct{ reserver.Slot }

func (slot) End(reserver.Usage) {}

// grantAll is a Reserver that grants every request.
type grantAll struct{}

func (grantAll) Reserve(context.Context, *classifier.Request, []string) (reserver.Slot, error) {
	return slot{}, nil
}

// fleet is a set of daemons whose limiters call each other without a network.
type fleet struct {
	clock       clock.Manual
	mu          sync.Mutex
	members     []gossiper.Member
	partitioned bool
	limiters    map[string]*limiter.Limiter
}

type view struct {
	fleet *fleet
	name  string
}

func (v view) Self() gossiper.Member { return gossiper.Member{Name: v.name, Region: "a"} }

func (v view) Members() []gossiper.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return append([]gossiper.Member(nil), v.fleet.members...)
}

func newFleet(count int, organisation inventory.Organisation) *fleet {
	f := &fleet{limiters: map[string]*limiter.Limiter{}}
	f.clock.Advance(clock.Hour)
	organisation.Name = "o"
	config := &inventory.Config{Organisations: []inventory.Organisation{organisation}}
	for i := range count {
		name := fmt.Sprintf("d%d", i)
		f.members = append(f.members, gossiper.Member{Name: name, Region: "a", Incarnation: int64(clock.Hour)})
		l := &limiter.Limiter{Next: grantAll{}, Source: source{config}, View: view{f, name}, Clock: &f.clock}
		l.Borrow = func(ctx context.Context, home gossiper.Member, wants []limiter.Want) ([]limiter.Loan, error) {
			if f.partitioned {
				return nil, errors.New("cut")
			}
			return f.limiters[home.Name].Lend(ctx, name, wants)
		}
		l.AskRelease = func(_ context.Context, member gossiper.Member, organisation string) (limiter.Released, error) {
			return f.limiters[member.Name].Release(name, organisation), nil
		}
		f.limiters[name] = l
	}
	// The homes are not new.
	f.tickAll()
	f.clock.Advance(clock.Minute)
	return f
}

func (f *fleet) reserve(daemon int, tokens int) (reserver.Slot, error) {
	req := &classifier.Request{Organisation: "o", PromptTokens: tokens}
	return f.limiters[fmt.Sprintf("d%d", daemon)].Reserve(context.Background(), req, nil)
}

// offerForAMinute sends a request every 5 ms for a minute, each to the daemon
// that pickDaemon draws, and returns how many were admitted.
func (f *fleet) offerForAMinute(t *testing.T, pickDaemon func(r *rand.Rand) int) (admitted int) {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 2))
	for range 60_000 / 5 {
		s, err := f.reserve(pickDaemon(r), 1)
		if err == nil {
			admitted++
			s.End(reserver.Usage{OutputTokens: 1})
		}
		f.clock.Advance(5)
	}
	return admitted
}

// TestRateLimitHoldsAcrossDaemonsUnderUnevenLoad guards against an organisation
// exceeding its rate, or not reaching it, depending on how its requests spread
// over the daemons.
func TestRateLimitHoldsAcrossDaemonsUnderUnevenLoad(t *testing.T) {
	const rate, burst, seconds = 20, 40, 60
	for name, pickDaemon := range map[string]func(r *rand.Rand) int{
		"one daemon": func(*rand.Rand) int { return 3 },
		"uneven":     func(r *rand.Rand) int { return min(r.IntN(5), r.IntN(5), r.IntN(5)) },
		"even":       func(r *rand.Rand) int { return r.IntN(5) },
	} {
		f := newFleet(5, inventory.Organisation{RatePerSecond: rate, Burst: burst})
		admitted := f.offerForAMinute(t, pickDaemon)
		if maxAdmitted := rate*seconds + burst; admitted > maxAdmitted {
			t.Errorf("%s: %d admitted, the limit is %d", name, admitted, maxAdmitted)
		}
		// Chunks left unused at idle daemons are returned only when they expire.
		if minAdmitted := rate * seconds * 9 / 10; admitted < minAdmitted {
			t.Errorf("%s: %d admitted, the organisation may use %d", name, admitted, rate*seconds)
		}
	}
}

// TestTokenLimitHoldsAcrossDaemons guards against an organisation exceeding its
// token rate by borrowing at several daemons, or reaching less than 80% of it.
func TestTokenLimitHoldsAcrossDaemons(t *testing.T) {
	f := newFleet(3, inventory.Organisation{TokensPerSecond: 100})
	admitted := f.offerForAMinute(t, func(r *rand.Rand) int { return min(r.IntN(3), r.IntN(3)) })
	// Each request uses two tokens, and each daemon may owe two.
	if maxAdmitted := 100*(60+1)/2 + 3; admitted > maxAdmitted {
		t.Errorf("%d admitted, the limit is %d", admitted, maxAdmitted)
	}
	if minAdmitted := 100 * 60 / 2 * 8 / 10; admitted < minAdmitted {
		t.Errorf("%d admitted, at least %d were due", admitted, minAdmitted)
	}
}

// TestConcurrencyLimitHoldsAcrossDaemons guards against more requests in
// progress than the limit allows, and against a limit that is never reached.
func TestConcurrencyLimitHoldsAcrossDaemons(t *testing.T) {
	const concurrency = 10
	f := newFleet(4, inventory.Organisation{Concurrency: concurrency})
	r := rand.New(rand.NewPCG(3, 4))
	var held []reserver.Slot
	timesFull := 0
	for range 4000 {
		if len(held) > 0 && r.IntN(3) == 0 {
			held[0].End(reserver.Usage{})
			held = held[1:]
		} else if s, err := f.reserve(min(r.IntN(4), r.IntN(4)), 0); err == nil {
			held = append(held, s)
		}
		if len(held) > concurrency {
			t.Fatalf("%d requests in progress", len(held))
		}
		if len(held) == concurrency {
			timesFull++
		}
		f.clock.Advance(50)
		f.tickAll()
	}
	if timesFull == 0 {
		t.Error("the organisation never could use all of its concurrency")
	}
}

// tickAll runs Tick on every limiter.
func (f *fleet) tickAll() {
	for _, l := range f.limiters {
		l.Tick(context.Background())
	}
}

// TestDaemonsUseTheirOwnPartWhenHomeIsUnreachable guards against losing the
// limit, or multiplying it by the number of daemons, when no daemon reaches
// another.
func TestDaemonsUseTheirOwnPartWhenHomeIsUnreachable(t *testing.T) {
	f := newFleet(4, inventory.Organisation{Concurrency: 6})
	f.partitioned = true
	total := 0
	for daemon := range 4 {
		for range 10 {
			if _, err := f.reserve(daemon, 0); err == nil {
				total++
			}
			f.clock.Advance(clock.Second)
		}
	}
	// The home lends up to the whole limit to its own requests, since it can't
	// know that no other daemon reaches it.
	if total < 6 || total > 6+5 {
		t.Errorf("%d requests in progress", total)
	}
}

// TestRefusalCarriesRetryAfter guards against a refusal without a usable
// RetryAfter: a request sent after that time has to be admitted.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	f := newFleet(1, inventory.Organisation{RatePerSecond: 0.5, Burst: 1})
	if _, err := f.reserve(0, 0); err != nil {
		t.Fatal(err)
	}
	_, err := f.reserve(0, 0)
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) || refusal.Status != http.StatusTooManyRequests || refusal.Outcome != refuser.NotRun {
		t.Fatalf("got %v", err)
	}
	if refusal.RetryAfter < 1900 || refusal.RetryAfter > 2100 {
		t.Errorf("retry after %d ms", refusal.RetryAfter)
	}
	f.clock.Advance(refusal.RetryAfter)
	if _, err := f.reserve(0, 0); err != nil {
		t.Errorf("refused again: %v", err)
	}
}

// TestIdleOrganisationsAreForgotten guards against a leak of memory: lender and
// borrower have to drop the state of organisations that send no more requests.
func TestIdleOrganisationsAreForgotten(t *testing.T) {
	const count = 18_000
	var lender limiter.Lender
	var borrower limiter.Borrower
	terms := limiter.TermsOf(inventory.Organisation{RatePerSecond: 10, Concurrency: 5, TokensPerSecond: 100})
	now := clock.Hour
	for i := range count {
		name := fmt.Sprint("organisation-", i)
		borrower.Admit(now, name, terms, 10, true)
		lender.Open(now, terms, name, 0, limiter.Extra{})
		borrower.AddLoan(now, now, name, lender.Lend(now, "d1", terms, borrower.WantForRequest(now, name, 10)))
		if v, _ := borrower.Admit(now, name, terms, 10, true); v != limiter.Admitted {
			t.Fatalf("verdict %v", v)
		}
		borrower.Release(name, 10)
	}
	if lender.Len() != count || borrower.Len() != count {
		t.Fatalf("%d lent, %d borrowed", lender.Len(), borrower.Len())
	}
	for range 30 {
		now += clock.Second
		for _, want := range borrower.DueWants(now) {
			borrower.Renew(now, want.Organisation, lender.Lend(now, "d1", terms, want))
		}
		lender.ForgetIdle(now)
	}
	if lender.Len() != 0 || borrower.Len() != 0 {
		t.Errorf("%d lent, %d borrowed after all became idle", lender.Len(), borrower.Len())
	}
}

// BenchmarkMemory measures the memory of organisations that hold loans.
func BenchmarkMemory(b *testing.B) {
	for _, organisations := range []int{2_000, 6_000, 18_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { benchmarkBusyMemory(b, organisations) })
	}
}

func benchmarkBusyMemory(b *testing.B, organisations int) {
	terms := limiter.TermsOf(inventory.Organisation{RatePerSecond: 10, Concurrency: 5, TokensPerSecond: 100})
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var lender limiter.Lender
		var borrower limiter.Borrower
		for i := range organisations {
			name := fmt.Sprint("organisation-", i)
			lender.Open(0, terms, name, 0, limiter.Extra{})
			borrower.AddLoan(0, 0, name, lender.Lend(0, "d1", terms, borrower.WantForRequest(0, name, 10)))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B")
		runtime.KeepAlive(&lender)
		runtime.KeepAlive(&borrower)
	}
}

// BenchmarkAdmit measures one request that is admitted from the balance.
func BenchmarkAdmit(b *testing.B) {
	f := newFleet(2, inventory.Organisation{RatePerSecond: 1e9, Concurrency: 1 << 20})
	for b.Loop() {
		s, err := f.reserve(0, 1)
		if err != nil {
			b.Fatal(err)
		}
		s.End(reserver.Usage{})
	}
}

// grantOnTerms is a Reserver whose slots tell the terms on which their upstream was chosen.
type grantOnTerms struct{ terms reserver.Terms }

type slotOnTerms struct {
	slot
	terms reserver.Terms
}

func (s slotOnTerms) Terms() reserver.Terms { return s.terms }

func (g grantOnTerms) Reserve(context.Context, *classifier.Request, []string) (reserver.Slot, error) {
	return slotOnTerms{terms: g.terms}, nil
}

// TestLimitedSlotTellsItsTerms guards against logs that don't tell which scheduler chose an upstream, and why, for
// organisations with limits.
func TestLimitedSlotTellsItsTerms(t *testing.T) {
	f := newFleet(1, inventory.Organisation{RatePerSecond: 10, Burst: 10})
	want := reserver.Terms{Known: true, Scheduler: "d0", Shard: "s", Running: 3}
	f.limiters["d0"].Next = grantOnTerms{want}
	slot, err := f.limiters["d0"].Reserve(t.Context(), &classifier.Request{Organisation: "o", Deadline: f.clock.Now() + clock.Second}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := reserver.TermsOf(slot); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
