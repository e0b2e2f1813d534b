package reserver

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
)

// Local hands out slots without asking a scheduler: this daemon alone uses a
// share of every upstream. It serves while no scheduler answers. Its exported
// fields are set before use.
type Local struct {
	Source inventory.Source
	Clock  clock.Clock
	// Daemons returns the number of daemons that share the upstreams, above 0;
	// nil stands for 1.
	Daemons func() int
	// Held returns the slots of an upstream that this daemon holds by grants of
	// a scheduler; nil stands for none.
	Held func(upstream string) int

	mu sync.Mutex
	// running counts the slots in use by upstream; no entry is 0.
	running map[string]int
	// freed is closed and replaced when a slot is given back.
	freed chan struct{}
}

// Reserve implements Reserver.
func (l *Local) Reserve(ctx context.Context, req *classifier.Request, excluded []string) (slot Slot, err error) {
	within, cancel := context.WithTimeout(ctx, (req.Deadline - l.Clock.Now()).Duration())
	defer cancel()
	upstream, err := l.wait(within, l.Source.Current().Upstreams, req, excluded)
	if err == nil {
		return &localSlot{local: l, upstream: upstream}, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if within.Err() != nil {
		err = errDeadline()
	}
	return nil, err
}

// errDeadline refuses a request that waited until its deadline.
func errDeadline() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "deadline", "no slot came free before the deadline")
}

// errNoUpstream refuses a request that nothing serves.
func errNoUpstream(pool string) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "no upstream", "no upstream serves pool "+pool)
}

// wait takes a slot on one of the upstreams. The error is the context's, or a
// refusal where none of them serves the request.
func (l *Local) wait(ctx context.Context, list []inventory.Upstream, req *classifier.Request, excluded []string) (upstream inventory.Upstream, err error) {
	for {
		upstream, found, freed := l.take(list, req, excluded)
		if found {
			return upstream, nil
		}
		if freed == nil {
			return upstream, errNoUpstream(req.Pool)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return upstream, ctx.Err()
		}
	}
}

// take reserves the least used upstream. Where all are full it returns a
// channel that is closed when to try again; where none exists it returns nil.
func (l *Local) take(list []inventory.Upstream, req *classifier.Request, excluded []string) (best inventory.Upstream, found bool, wait <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = map[string]int{}
		l.freed = make(chan struct{})
	}
	exists := false
	for _, u := range list {
		if u.Pool != req.Pool || u.Leaving || slices.Contains(excluded, u.Name) {
			continue
		}
		exists = true
		if l.running[u.Name]+l.held(u.Name) >= l.share(u) {
			continue
		}
		if !found || l.running[u.Name]*best.Slots < l.running[best.Name]*u.Slots {
			best, found = u, true
		}
	}
	if found {
		l.running[best.Name]++
		return best, true, nil
	}
	if !exists {
		return best, false, nil
	}
	return best, false, l.freed
}

func (l *Local) share(u inventory.Upstream) int {
	daemons := 1
	if l.Daemons != nil {
		daemons = max(l.Daemons(), 1)
	}
	return max(u.Slots/daemons, 1)
}

func (l *Local) held(upstream string) int {
	if l.Held == nil {
		return 0
	}
	return l.Held(upstream)
}

func (l *Local) giveBack(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[name]--
	if l.running[name] == 0 {
		delete(l.running, name)
	}
	close(l.freed)
	l.freed = make(chan struct{})
}

type localSlot struct {
	local    *Local
	upstream inventory.Upstream
	once     sync.Once
}

// Upstream implements Slot.
func (s *localSlot) Upstream() inventory.Upstream { return s.upstream }

// Confirm implements Slot.
func (s *localSlot) Confirm() bool { return true }

// FirstToken implements Slot.
func (s *localSlot) FirstToken(int) {}

// End implements Slot.
func (s *localSlot) End(Usage) {
	s.once.Do(func() { s.local.giveBack(s.upstream.Name) })
}

// Withdrawn implements Slot; a local slot never is.
func (s *localSlot) Withdrawn() <-chan struct{} { return nil }
