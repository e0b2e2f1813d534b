package drainer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/drainer"
)

// wall is a clock.Clock that follows the bubble of a synctest.
type wall struct{}

func (wall) Now() clock.Millis { return clock.At(time.Now()) }

func TestDrainKeepsTheLongestLifetimeGivenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Run reads the lifetime in a goroutine of its own.
		var lifetime atomic.Int64
		lifetime.Store(int64(20 * clock.Second))
		left := clock.Millis(-1)
		d := &drainer.Drainer{
			Clock:    wall{},
			Lifetime: func() clock.Millis { return clock.Millis(lifetime.Load()) },
			Spread:   func() clock.Millis { return 3 * clock.Second },
		}
		d.Leave = func(context.Context) { left = wall{}.Now() }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)
		time.Sleep(10 * time.Second)
		lifetime.Store(int64(clock.Second))
		time.Sleep(5 * time.Second)
		before := wall{}.Now()
		d.Drain(ctx)
		// The last answer with 20 s was given 5 s before the stop.
		took := wall{}.Now() - before
		if took < 18*clock.Second-500 || took > 18*clock.Second {
			t.Fatalf("accepted for %d ms, want 18 s", took)
		}
		if left != before {
			t.Fatalf("told the others at %d, want %d", left, before)
		}
	})
}
