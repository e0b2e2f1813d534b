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

// script is a Table whose writes and reads end as told, then well.
type script struct {
	platform.Table
	errs  []error
	calls int
	// takes is how long a call takes unless its context ends.
	takes time.Duration
}

func (s *script) next(ctx context.Context) error {
	s.calls++
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return &platform.Error{Op: "test", Certainty: platform.NotDone, Err: ctx.Err()}
	}
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *script) Read(ctx context.Context, _ ...string) ([]platform.Row, error) {
	return nil, s.next(ctx)
}

func (s *script) Apply(ctx context.Context, _ platform.Txn) (platform.TxnResult, error) {
	return platform.TxnResult{}, s.next(ctx)
}

func failure(c platform.Certainty, status int) error {
	return &platform.Error{Op: "test", Certainty: c, Err: &platform.StatusError{Status: status}}
}

// wall is a clock.Clock that follows the bubble of a synctest.
type wall struct{}

func (wall) Now() clock.Millis { return clock.At(time.Now()) }

func protect(s *script) platform.Table {
	g := &platform.Guard{Clock: wall{}}
	return g.Protect(platform.Client{Table: s}).Table
}

func TestOnlyWhatSurelyHadNoEffectIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cases := []struct {
			err   error
			calls int
		}{
			{failure(platform.NotDone, 503), 2},
			{failure(platform.NotDone, 429), 2},
			{failure(platform.NotDone, 400), 1},
			{failure(platform.Unknown, 500), 1},
			{&platform.Error{Op: "test", Certainty: platform.NotDone, Err: platform.ErrNotFound}, 1},
		}
		for _, c := range cases {
			s := &script{errs: []error{c.err}}
			_, err := protect(s).Apply(t.Context(), platform.Txn{})
			if s.calls != c.calls || (c.calls == 1) != (err != nil) {
				t.Errorf("after %v: %d calls, %v", c.err, s.calls, err)
			}
		}
	})
}

func TestAllTriesShareOneDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{takes: time.Hour}
		start := time.Now()
		_, err := protect(s).Read(t.Context(), "k")
		if took := clock.Of(time.Since(start)); err == nil || took != platform.CallTimeout {
			t.Fatalf("took %d ms, %v", took, err)
		}
	})
}

func TestBreakerLeavesAFailingServiceAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		for range 1000 {
			s.errs = append(s.errs, failure(platform.NotDone, 503))
		}
		table := protect(s)
		open := 0
		for range 600 {
			_, err := table.Read(t.Context(), "k")
			if errors.Is(err, platform.ErrOpen) {
				open++
			}
			time.Sleep(100 * time.Millisecond)
		}
		// A minute: the first failures with their retries, then a probe each
		// one to two seconds.
		if s.calls > 5+10+60 || s.calls < 30 || open < 500 {
			t.Fatalf("%d calls, %d kept away", s.calls, open)
		}
		s.errs = nil
		time.Sleep(2 * time.Second)
		for range 3 {
			if _, err := table.Read(t.Context(), "k"); err != nil {
				t.Fatalf("once it is well again: %v", err)
			}
		}
	})
}

func TestRetriesKeepToTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		table := protect(s)
		for range 400 {
			// Each call fails once and would be well at the second try; the one
			// after it keeps the breaker closed.
			s.errs = []error{failure(platform.NotDone, 429)}
			_, _ = table.Read(t.Context(), "k")
			s.errs = nil
			time.Sleep(10 * time.Millisecond)
		}
		if retries := s.calls - 400; retries > 10+40 || retries < 40 {
			t.Fatalf("%d retries of 400 calls, want a tenth and the 10 saved up", retries)
		}
	})
}

func TestRateLimitIsSharedByAllServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		g := &platform.Guard{Clock: wall{}, CallsPerSecond: 10}
		client := g.Protect(platform.Client{Table: s, VMList: list{}})
		start := time.Now()
		for range 20 {
			if _, err := client.Table.Read(t.Context(), "k"); err != nil {
				t.Fatal(err)
			}
			if _, err := client.VMList.VMs(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		// 40 calls, of which 10 may go at once.
		if took := time.Since(start); took < 2900*time.Millisecond {
			t.Fatalf("took %v", took)
		}
	})
}

type list struct{}

func (list) VMs(context.Context) ([]platform.VM, error) { return nil, nil }
