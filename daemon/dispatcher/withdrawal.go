package dispatcher

import (
	"context"
	"slices"
	"sync/atomic"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/reserver"
)

// outcome decides between the begin of an answer and the end of its attempt by this daemon, whichever comes first: an
// answer that has begun can't go on elsewhere, and one that goes on elsewhere must not begin.
type outcome struct{ decided atomic.Bool }

// begin reports whether the answer may begin.
func (o *outcome) begin() bool { return o.decided.CompareAndSwap(false, true) }

// end calls cancel unless the answer has begun, and reports whether it did.
func (o *outcome) end(cancel context.CancelFunc) bool {
	if !o.decided.CompareAndSwap(false, true) {
		return false
	}
	cancel()
	return true
}

// watchWithdrawal ends an attempt whose slot is withdrawn, by calling end, once another slot and a retry are there for the
// request. Without them it goes on, as its answer may still come. stop ends the watch and returns that slot, nil
// for none; the retry is paid then.
func (r *requestState) watchWithdrawal(ctx context.Context, slot reserver.Slot, end func() bool) (stop func() (replacement reserver.Slot)) {
	ctx, cancel := context.WithCancel(ctx)
	excluded := append(slices.Clone(r.excluded), slot.Upstream().Name)
	replaced := make(chan reserver.Slot, 1)
	go func() {
		select {
		case <-slot.Withdrawn():
			replaced <- r.replace(ctx, slot, excluded, end)
		case <-ctx.Done():
			replaced <- nil
		}
	}()
	return func() reserver.Slot {
		cancel()
		return <-replaced
	}
}

// replace ends an attempt in favour of one in another slot, and returns that; nil if the attempt goes on.
func (r *requestState) replace(ctx context.Context, slot reserver.Slot, excluded []string, end func() bool) (replacement reserver.Slot) {
	deadlineCtx, cancel := r.withDeadline(ctx, r.req.Deadline)
	defer cancel()
	replacement, err := r.Reserver.Reserve(deadlineCtx, r.req, excluded)
	paid := err == nil && r.budget.takeRetry()
	replaced := paid && end()
	klog.InfoS("slot of a request was withdrawn", logger.KeyRequest, r.req.ID, logger.KeyOrganisation, r.req.Organisation, logger.KeyUpstream, slot.Upstream().Name,
		"replaced", replaced, "other", err == nil, "retry", paid, "left_ms", r.req.Deadline-r.Clock.Now())
	if replaced {
		return replacement
	}
	if paid {
		r.budget.returnRetry()
	}
	endUnused(replacement)
	return nil
}

// endUnused releases a slot that is not used; nil is none.
func endUnused(slot reserver.Slot) {
	if slot != nil {
		slot.End(reserver.Usage{Outcome: reserver.NotSent, NotRun: true})
	}
}

// cancelAtDeadline calls end at the deadline, which ends what has not begun to be answered.
func (r *requestState) cancelAtDeadline(ctx context.Context, end func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		if clock.Sleep(ctx, r.req.Deadline-r.Clock.Now()) {
			end()
		}
	}()
	return cancel
}
