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

// A home daemon that no other daemon asks may be cut off from all of them, while
// another daemon lends in its place.
const (
	// unaskedTimeout is how long a home that lends may go without a call from
	// another daemon before it checks whether it reaches any.
	unaskedTimeout = 1500 * clock.Millisecond
	// probedDaemons is the number of daemons that it calls, and minReachable how
	// many of them have to answer. With a third of all daemons cut off, a daemon
	// on the larger side reaches fewer than that in one check of 18, and checks
	// again a second later.
	probedDaemons = 5
	minReachable  = 2
)

// probeReachability calls a random sample of the other daemons and sets
// l.isolated if too few of them answer.
func (l *Limiter) probeReachability(ctx context.Context) {
	self := l.View.Self().Name
	var others []gossiper.Member
	for _, m := range l.View.Members() {
		if m.Name != self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(probedDaemons, len(others))]
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
	isolated := int(reached.Load()) < min(minReachable, len(others))
	l.mu.Lock()
	defer l.mu.Unlock()
	if isolated != l.isolated {
		klog.InfoS("home daemon of limits checked whether it reaches other daemons", "tried", len(others), "reached", reached.Load(), "apart", isolated)
	}
	l.isolated = isolated
}
