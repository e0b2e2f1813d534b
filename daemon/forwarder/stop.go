package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
)

// Stop is what the forwarder knows of the planned stop of this daemon.
type Stop interface {
	// Begun returns a context that ends when the planned stop begins.
	Begun() context.Context
	// Cutoff returns when no request may be in progress any more. It is valid once Begun has
	// ended.
	Cutoff() clock.Millis
}

// errStopping is the cancellation cause of a wait or an attempt that the planned stop ends.
var errStopping = errors.New("the daemon is stopping")

// StoppingRetryAfter is the Retry-After of requests that a planned stop refuses; the retry goes
// to another daemon.
const StoppingRetryAfter = 50 * clock.Millisecond

// stopCheckInterval is the time between two looks at the time that a request needs, which changes
// with each run of its route.
const stopCheckInterval = 50 * clock.Millisecond

// endBeforeCutoff returns a context that ends with the cause errStopping when no more than the
// needed time is left until the cutoff of a planned stop.
func (r *requestState) endBeforeCutoff(ctx context.Context, needed func() clock.Millis) (bounded context.Context, cancel context.CancelFunc) {
	if r.Stop == nil {
		return context.WithCancel(ctx)
	}
	bounded, cancelCause := context.WithCancelCause(ctx)
	endInTime := func() {
		for spare := r.spareTime(needed); spare > 0 && clock.Sleep(bounded, min(spare, stopCheckInterval)); {
			spare = r.spareTime(needed)
		}
		cancelCause(errStopping)
	}
	// AfterFunc would end the context in a goroutine, after the caller has gone on.
	if r.Stop.Begun().Err() != nil && r.spareTime(needed) <= 0 {
		cancelCause(errStopping)
	}
	unwatch := context.AfterFunc(r.Stop.Begun(), endInTime)
	return bounded, func() {
		unwatch()
		cancelCause(nil)
	}
}

// spareTime returns what a planned stop that has begun leaves beyond the needed time.
func (r *requestState) spareTime(needed func() clock.Millis) clock.Millis {
	return r.Stop.Cutoff() - r.Clock.Now() - needed()
}

// reserve waits for a slot. In a planned stop it gives up a request that has not begun to be
// answered once the cutoff would come before the end of its answer: another daemon can still
// take it.
func (r *requestState) reserve(ctx context.Context) (slot reserver.Slot, err error) {
	r.req.LastWriteAt = r.lastWriteAt
	ctx, cancelCut := r.endWhenCutOff(ctx)
	defer cancelCut()
	defer func() {
		if err != nil && errors.Is(context.Cause(ctx), errCutOff) {
			err = fmt.Errorf("%w: %w", errCutOff, err)
		}
	}()
	if r.headWritten {
		return r.Reserver.Reserve(ctx, r.req, r.excluded)
	}
	waitCtx, cancel := r.endBeforeCutoff(ctx, r.expectedRunTime)
	defer cancel()
	if waitCtx.Err() == nil {
		slot, err = r.Reserver.Reserve(waitCtx, r.req, r.excluded)
	} else {
		err = waitCtx.Err()
	}
	if err != nil {
		return nil, stopCause(waitCtx, err)
	}
	return slot, nil
}

// expectedRunTime returns how long the request will take once it has a slot.
func (r *requestState) expectedRunTime() clock.Millis {
	if expected, known := r.runTimes.expect(r.req.Route); known {
		return expected
	}
	return r.req.LatencyObjective
}

// stopCause adds errStopping to err if the planned stop ended ctx.
func stopCause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStopping) && !errors.Is(err, errStopping) {
		return fmt.Errorf("%w: %w", errStopping, err)
	}
	return err
}

// refuseStopping returns the refusal for a request that the planned stop ended before its
// answer began.
func (r *requestState) refuseStopping() *refuser.Refusal {
	if r.runs > 0 {
		return refuser.NewUnknown(http.StatusBadGateway, "stopping", "this daemon stops; the request may have run")
	}
	refusal := refuser.New(http.StatusServiceUnavailable, "stopping", "this daemon stops before the request could be answered")
	refusal.RetryAfter = StoppingRetryAfter
	return refusal
}
