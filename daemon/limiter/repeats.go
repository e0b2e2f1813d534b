package limiter

import (
	"context"
	"errors"
	"sync"

	"yuccaspread/common/clock"
)

// repeatLifetime is how long a call is recognised at least when it is sent again. What was sent
// on a connection that is dead may still arrive until tuner.UserTimeout.
const repeatLifetime = 10 * clock.Second

// repeats keeps the loans of the last calls, so that one that is sent on two connections lends
// and returns nothing twice, whichever comes first. The zero value is ready to use.
type repeats struct {
	mu sync.Mutex
	// recent holds the calls since a time, earlier those of the repeatLifetime before.
	recent, earlier map[callID]*lentCall
	recentSince     clock.Millis
}

// callID names a call of a daemon.
type callID struct {
	daemon string
	number uint64
}

// errNotLent means that lending has ended by a panic.
var errNotLent = errors.New("nothing was lent")

// lentCall is a call that is being answered, or was.
type lentCall struct {
	// done is closed once loans and err don't change any more.
	done  chan struct{}
	loans []Loan
	err   error
}

// lendOnce returns what lend returns for the first call with an id. lend must lend nothing if it
// returns an error; the call may be sent again then. The end of the first call's ctx does not end lend,
// because the second one waits for it.
func (r *repeats) lendOnce(ctx context.Context, now clock.Millis, id callID, lend func(ctx context.Context) ([]Loan, error)) (loans []Loan, err error) {
	c, isRepeat := r.begin(now, id)
	if isRepeat {
		select {
		case <-c.done:
			return c.loans, c.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c.err = errNotLent
	defer func() {
		if c.err != nil {
			r.forget(id)
		}
		close(c.done)
	}()
	c.loans, c.err = lend(context.WithoutCancel(ctx))
	return c.loans, c.err
}

func (r *repeats) begin(now clock.Millis, id callID) (c *lentCall, isRepeat bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if age := now - r.recentSince; r.recent == nil || age >= repeatLifetime {
		r.earlier = nil
		if age < 2*repeatLifetime {
			r.earlier = r.recent
		}
		r.recent, r.recentSince = map[callID]*lentCall{}, now
	}
	for _, calls := range []map[callID]*lentCall{r.recent, r.earlier} {
		if c = calls[id]; c != nil {
			return c, true
		}
	}
	c = &lentCall{done: make(chan struct{})}
	r.recent[id] = c
	return c, false
}

func (r *repeats) forget(id callID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.recent, id)
	delete(r.earlier, id)
}
