package reserver

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/refuser"
)

// Local provides slots without a scheduler: every daemon may use an equal share
// of each upstream's slots. It serves while no scheduler can be reached. Its
// exported fields are set before use.
type Local struct {
	Source inventory.Source
	Clock  clock.Clock
	// Daemons returns the number of daemons that share the upstreams, above 0;
	// nil stands for 1.
	Daemons func() int
	// GrantedSlots returns the number of an upstream's slots that a scheduler
	// granted to this daemon and that are in use; nil stands for none.
	GrantedSlots func(upstream string) int
	// Holds reports whether an upstream gets requests from its scheduler only; nil stands
	// for none.
	Holds func(u inventory.Upstream) bool

	mu sync.Mutex
	// limits is what this daemon may send to upstreams that name a limit.
	limits limitedShare
	// running counts the slots in use by upstream; no entry is 0.
	running map[string]int
	// slotFreed is closed and replaced when a slot is released.
	slotFreed chan struct{}
}

// Reserve implements Reserver.
func (l *Local) Reserve(ctx context.Context, req *classifier.Request, excluded []string) (slot Slot, err error) {
	waitCtx, cancel := context.WithTimeout(ctx, (req.Deadline - l.Clock.Now()).Duration())
	defer cancel()
	upstream, err := l.awaitSlot(waitCtx, l.Source.Current().Upstreams, req, excluded)
	if err == nil {
		return &localSlot{local: l, upstream: upstream, request: req}, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if waitCtx.Err() != nil {
		err = errDeadline()
	}
	return nil, err
}

// errDeadline returns the refusal of a request that waited until its deadline.
func errDeadline() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "deadline", "no slot came free before the deadline")
}

// titleNoUpstream is the title of the refusal that errNoUpstream returns.
const titleNoUpstream = "no upstream"

// errNoUpstream returns the refusal of a request whose pool has no usable upstream.
func errNoUpstream(pool string) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, titleNoUpstream, "no upstream serves pool "+pool)
}

// awaitSlot waits for a slot of the local share on one of the upstreams. The
// error is the context's, or a refusal where none of them serves the request.
func (l *Local) awaitSlot(ctx context.Context, upstreams []inventory.Upstream, req *classifier.Request, excluded []string) (upstream inventory.Upstream, err error) {
	for {
		upstream, found, retry := l.tryReserve(upstreams, req, excluded)
		if found {
			return upstream, nil
		}
		if retry == nil {
			return upstream, errNoUpstream(req.Pool)
		}
		select {
		case <-retry:
		case <-ctx.Done():
			return upstream, ctx.Err()
		}
	}
}

// tryReserve takes a slot on the upstream with the lowest share of slots in use.
// Where all are full it returns a channel that is closed when the next slot is
// released; where no upstream serves the request that channel is nil.
func (l *Local) tryReserve(upstreams []inventory.Upstream, req *classifier.Request, excluded []string) (best inventory.Upstream, found bool, retry <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = map[string]int{}
		l.slotFreed = make(chan struct{})
	}
	hasUpstream := false
	config := l.Source.Current()
	pool, _ := inventory.Lookup(config.Pools, req.Pool)
	for _, u := range upstreams {
		if u.Pool != req.Pool || u.Leaving || slices.Contains(excluded, u.Name) || (l.Holds != nil && l.Holds(u)) || !allowsUpstream(config, req, u) {
			continue
		}
		hasUpstream = true
		if l.running[u.Name]+l.grantedSlots(u.Name) >= l.limits.share(u, l.share(u)) || !l.limits.permits(l.Clock.Now(), u, pool.Cold) {
			continue
		}
		if !found || l.running[u.Name]*best.Slots < l.running[best.Name]*u.Slots {
			best, found = u, true
		}
	}
	if found {
		l.running[best.Name]++
		l.limits.take(l.Clock.Now(), best, pool.Cold)
		return best, true, nil
	}
	if !hasUpstream {
		return best, false, nil
	}
	return best, false, l.slotFreed
}

// share returns the number of an upstream's slots that this daemon may use
// without a scheduler, at least 1.
func (l *Local) share(u inventory.Upstream) int {
	daemons := 1
	if l.Daemons != nil {
		daemons = max(l.Daemons(), 1)
	}
	return max(u.Slots/daemons, 1)
}

func (l *Local) grantedSlots(upstream string) int {
	if l.GrantedSlots == nil {
		return 0
	}
	return l.GrantedSlots(upstream)
}

func (l *Local) release(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[upstream]--
	if l.running[upstream] == 0 {
		delete(l.running, upstream)
	}
	close(l.slotFreed)
	l.slotFreed = make(chan struct{})
}

// localSlot is a Slot that was reserved at a Local alone.
type localSlot struct {
	local    *Local
	upstream inventory.Upstream
	request  *classifier.Request
	once     sync.Once
}

// Upstream implements Slot.
func (s *localSlot) Upstream() inventory.Upstream { return s.upstream }

// Confirm implements Slot.
func (s *localSlot) Confirm() bool {
	return allowsUpstream(s.local.Source.Current(), s.request, s.upstream)
}

// Hear implements Slot.
func (s *localSlot) Hear(noticer.Notice) {}

// FirstToken implements Slot.
func (s *localSlot) FirstToken(int) {}

// End implements Slot.
func (s *localSlot) End(Usage) {
	s.once.Do(func() { s.local.release(s.upstream.Name) })
}

// Withdrawn implements Slot. It returns nil, since a local slot is never
// withdrawn.
func (s *localSlot) Withdrawn() <-chan struct{} { return nil }
