package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

// scriptedTable is a Table whose reads and writes return errs in order, then
// succeed.
type scriptedTable struct {
	platform.Table
	errs  []error
	calls int
	// callDuration is how long a call takes unless its context ends.
	callDuration time.Duration
}

func (s *scriptedTable) next(ctx context.Context) error {
	s.calls++
	select {
	case <-time.After(s.callDuration):
	case <-ctx.Done():
		return &platform.Error{Op: "test", Effect: platform.NoEffect, Err: ctx.Err()}
	}
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *scriptedTable) Read(ctx context.Context, _ ...string) ([]platform.Row, error) {
	return nil, s.next(ctx)
}

func (s *scriptedTable) Apply(ctx context.Context, _ platform.Txn) (platform.TxnResult, error) {
	return platform.TxnResult{}, s.next(ctx)
}

func statusError(effect platform.Effect, status int) error {
	return &platform.Error{Op: "test", Effect: effect, Err: &platform.StatusError{Status: status}}
}

// bubbleClock is a clock.Clock that follows the time of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Millis { return clock.FromTime(time.Now()) }

func guardedTable(s *scriptedTable) platform.Table {
	g := &platform.Guard{Clock: bubbleClock{}}
	return g.Protect(platform.Client{Table: s}).Table
}

// Guards against a retry of a call that may have taken effect, which would apply
// a write twice, and against retries of errors that are permanent.
func TestGuardRetriesOnlyCallsKnownToHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cases := []struct {
			err   error
			calls int
		}{
			{statusError(platform.NoEffect, 503), 2},
			{statusError(platform.NoEffect, 429), 2},
			{statusError(platform.NoEffect, 400), 1},
			{statusError(platform.EffectUnknown, 500), 1},
			{&platform.Error{Op: "test", Effect: platform.NoEffect, Err: platform.ErrNotFound}, 1},
		}
		for _, c := range cases {
			s := &scriptedTable{errs: []error{c.err}}
			_, err := guardedTable(s).Apply(t.Context(), platform.Txn{})
			if s.calls != c.calls || (c.calls == 1) != (err != nil) {
				t.Errorf("after %v: %d calls, %v", c.err, s.calls, err)
			}
		}
	})
}

// Guards against a deadline that starts again with each attempt, so that a slow
// platform would hold a caller for several times CallTimeout.
func TestAllAttemptsShareOneDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTable{callDuration: time.Hour}
		start := time.Now()
		_, err := guardedTable(s).Read(t.Context(), "k")
		if took := clock.FromDuration(time.Since(start)); err == nil || took != platform.CallTimeout {
			t.Fatalf("took %d ms, %v", took, err)
		}
	})
}

// Guards against a breaker that lets calls through to a failing service or does
// not close again once the service has recovered.
func TestOpenBreakerStopsCallsToFailingService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTable{}
		for range 1000 {
			s.errs = append(s.errs, statusError(platform.NoEffect, 503))
		}
		table := guardedTable(s)
		rejected := 0
		for range 600 {
			_, err := table.Read(t.Context(), "k")
			if errors.Is(err, platform.ErrBreakerOpen) {
				rejected++
			}
			time.Sleep(100 * time.Millisecond)
		}
		// The loop takes a minute: first the failures that open the breaker, with
		// their retries, then a probe every one to two seconds.
		if s.calls > 5+10+60 || s.calls < 30 || rejected < 500 {
			t.Fatalf("%d calls sent, %d rejected by the breaker", s.calls, rejected)
		}
		s.errs = nil
		time.Sleep(2 * time.Second)
		for range 3 {
			if _, err := table.Read(t.Context(), "k"); err != nil {
				t.Fatalf("after the service recovered: %v", err)
			}
		}
	})
}

// Guards against retries without a budget, which would multiply the load on a
// platform that already fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTable{}
		table := guardedTable(s)
		for range 400 {
			// The first attempt fails and a second one would succeed. Status 429
			// does not open the breaker.
			s.errs = []error{statusError(platform.NoEffect, 429)}
			_, _ = table.Read(t.Context(), "k")
			s.errs = nil
			time.Sleep(10 * time.Millisecond)
		}
		if retries := s.calls - 400; retries > 10+40 || retries < 40 {
			t.Fatalf("%d retries of 400 calls, want a tenth and at most the 10 of the initial budget", retries)
		}
	})
}

// Guards against a rate limit for each service instead of one for all, by which
// a daemon would exceed its share of the platform's capacity.
func TestRateLimitCoversAllServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTable{}
		g := &platform.Guard{Clock: bubbleClock{}, CallsPerSecond: 10}
		client := g.Protect(platform.Client{Table: s, VMList: emptyVMList{}})
		start := time.Now()
		for range 20 {
			if _, err := client.Table.Read(t.Context(), "k"); err != nil {
				t.Fatal(err)
			}
			if _, err := client.VMList.VMs(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		// Of the 40 calls, 10 are within the burst; the other 30 take 3 seconds.
		if took := time.Since(start); took < 2900*time.Millisecond {
			t.Fatalf("took %v", took)
		}
	})
}

type emptyVMList struct{}

func (emptyVMList) VMs(context.Context) ([]platform.VM, error) { return nil, nil }
