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

// synctestClock is a clock.Clock that follows the fake time of a synctest bubble.
type synctestClock struct{}

func (synctestClock) Now() clock.Millis { return clock.FromTime(time.Now()) }

// If the lifetime is shortened just before a stop, callers still hold answers with
// the longer one. Drain must accept requests until these have expired.
func TestDrainAcceptsForTheLongestLifetimeReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Run reads the lifetime in a goroutine of its own.
		var lifetime atomic.Int64
		lifetime.Store(int64(20 * clock.Second))
		leftAt := clock.Millis(-1)
		d := &drainer.Drainer{
			Clock:           synctestClock{},
			AddressLifetime: func() clock.Millis { return clock.Millis(lifetime.Load()) },
			PropagationTime: func() clock.Millis { return 3 * clock.Second },
		}
		d.Leave = func(context.Context) { leftAt = synctestClock{}.Now() }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)
		time.Sleep(10 * time.Second)
		lifetime.Store(int64(clock.Second))
		time.Sleep(5 * time.Second)
		start := synctestClock{}.Now()
		d.Drain(ctx)
		// The last answer with a lifetime of 20 s was returned 5 s before the stop,
		// and gossip takes 3 s.
		elapsed := synctestClock{}.Now() - start
		if elapsed < 18*clock.Second-500 || elapsed > 18*clock.Second {
			t.Fatalf("requests were accepted for %d ms, want 18 s", elapsed)
		}
		if leftAt != start {
			t.Fatalf("Leave was called at %d, want %d", leftAt, start)
		}
	})
}
