package limiter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// A home that nobody asks may be cut off from all that would, while another one
// lends in its place.
const (
	// unaskedTime is how long a home that lends may be asked by no other daemon
	// before it looks whether it reaches any.
	unaskedTime = 1500 * clock.Millisecond
	// lookedAt is the number of daemons that it tries to reach, and leastReached
	// how many of them have to answer: with a third of all cut off, a daemon of
	// the larger side finds fewer once in 18 times, and looks again a second later.
	lookedAt     = 5
	leastReached = 2
)

// look finds out whether this daemon reaches others.
func (l *Limiter) look(ctx context.Context) {
	self := l.View.Self().Name
	var others []gossiper.Member
	for _, m := range l.View.Members() {
		if m.Name != self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(lookedAt, len(others))]
	var reached atomic.Int32
	var calls sync.WaitGroup
	for _, m := range others {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, borrowTimeout.Duration())
			defer cancel()
			if _, err := l.Borrow(ctx, m, nil); err == nil {
				reached.Add(1)
			}
		})
	}
	calls.Wait()
	apart := int(reached.Load()) < min(leastReached, len(others))
	l.mu.Lock()
	defer l.mu.Unlock()
	if apart != l.apart {
		klog.InfoS("home of limits looked for others", "tried", len(others), "reached", reached.Load(), "apart", apart)
	}
	l.apart = apart
}
