package limiter_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/limiter"
	"yuccaspread/daemon/sharder"
)

// newBoundedFleet returns two daemons that may not overdraw their own parts, and the number
// of the one that is not the home. A call to the home takes the given time of the machine.
func newBoundedFleet(answerTime time.Duration, calls *int) (f *fleet, borrower int) {
	f = newFleet(2, inventory.Organisation{TokensPerSecond: 100_000, TokenBurst: 100_000})
	names := []string{"d0", "d1"}
	for _, l := range f.limiters {
		l.MaxOwnPartOverdraft = 1
		lend := l.Borrow
		l.Borrow = func(ctx context.Context, home gossiper.Member, wants []limiter.Want) ([]limiter.Loan, error) {
			*calls++
			start := time.Now()
			defer func() { f.clock.Advance(clock.Millis(time.Since(start).Milliseconds())) }()
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(answerTime):
				return lend(ctx, home, wants)
			}
		}
	}
	return f, 1 - slices.Index(names, sharder.HighestRanked(names, "o"))
}

// TestSlowHomeIsWaitedFor guards against a refusal below the limit because the home is too
// busy to answer at once and the daemon may not overdraw its own part.
func TestSlowHomeIsWaitedFor(t *testing.T) {
	t.Parallel()
	calls := 0
	f, borrower := newBoundedFleet(600*time.Millisecond, &calls)
	if _, err := f.reserve(borrower, 50_000); err != nil {
		t.Errorf("a request below the limit was refused: %v", err)
	}
}

// TestSilentHomeIsWaitedForOnce guards against each request waiting for a home that is gone.
func TestSilentHomeIsWaitedForOnce(t *testing.T) {
	t.Parallel()
	calls := 0
	f, borrower := newBoundedFleet(time.Hour, &calls)
	for range 4 {
		if _, err := f.reserve(borrower, 50_000); err == nil {
			t.Error("a request was admitted although the home is silent")
		}
		f.clock.Advance(300)
	}
	if calls != 1 {
		t.Errorf("the home was called %d times, want once until its pause ends", calls)
	}
}

// TestHomeThatHasJustStartedIsWaitedFor guards against an error to a daemon that asks a home
// which doesn't know the fleet for a moment longer: the daemon then does without the home for
// much longer than that.
func TestHomeThatHasJustStartedIsWaitedFor(t *testing.T) {
	t.Parallel()
	f := newFleet(2, inventory.Organisation{TokensPerSecond: 100_000})
	home := f.limiters[sharder.HighestRanked([]string{"d0", "d1"}, "o")]
	var settled atomic.Bool
	home.Settled = settled.Load
	time.AfterFunc(100*time.Millisecond, func() { settled.Store(true) })
	server := &limiter.Server{Limiter: home}
	reply, err := server.Borrow(t.Context(), &wire.BorrowRequest{Daemon: "d", Wants: []*wire.Want{{Organisation: "o", Tokens: 10}}})
	if err != nil || reply.GetLoans()[0].GetTokens() != 10 {
		t.Errorf("got %v, %v; want a loan of 10 tokens", reply, err)
	}
}
