package dispatcher

import (
	"context"
	"errors"
	"net/http"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/claimer"
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/refuser"
)

// tableRetryPause is the pause after a failed read of the table.
const tableRetryPause = 100 * clock.Millisecond

// joinExisting copies the answer of the key if the table has a holder or an answer
// for it, and reports whether that is so. It retries reads of the table until the
// deadline: it runs before the reservation, because a request whose key can't be
// claimed must not occupy a slot meanwhile.
func (r *requestState) joinExisting(ctx context.Context) (joined bool, err error) {
	deadlineCtx, cancel := r.withDeadline(ctx, r.req.Deadline)
	defer cancel()
	for {
		record, found, err := r.Claimer.Look(deadlineCtx, r.req.Organisation, r.req.Key)
		switch {
		case err == nil && found:
			return true, r.join(ctx, record)
		case err == nil:
			return false, nil
		case deadlineCtx.Err() != nil:
			return false, refuseUnreadable()
		}
		clock.Sleep(deadlineCtx, tableRetryPause)
	}
}

// joinOtherHolder copies the answer of the other holder after a claim failed with
// claimer.ErrTaken.
func (r *requestState) joinOtherHolder(ctx context.Context) (err error) {
	joined, err := r.joinExisting(ctx)
	if joined || err != nil {
		return err
	}
	// The other holder has released the key in the meantime.
	return refuseNotRun("released", "another daemon gave the key back; try again")
}

// join copies the stored answer of the record, or the answer of its holder.
func (r *requestState) join(ctx context.Context, record claimer.Record) (err error) {
	if record.Fingerprint != r.req.Fingerprint {
		return refuseReusedKey()
	}
	if record.Answer != nil {
		return r.replay(ctx, record.Answer)
	}
	if record.Holder == r.Name {
		return refuser.NewUnknown(http.StatusConflict, "no answer kept", "the request was sent before; its answer is not known here")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The deadline is for the begin of the answer.
	defer r.cancelAtDeadline(ctx, func() {
		if !r.entry.Answer.HasHead() {
			cancel()
		}
	})()
	return r.Joiner.Join(ctx, record.Holder, r.req, r.entry.Answer)
}

// replay copies the stored answer into the entry.
func (r *requestState) replay(ctx context.Context, answer *claimer.Answer) (err error) {
	body := answer.Body
	if answer.Object != "" {
		if body, err = r.Objects.Get(ctx, answer.Object); err != nil {
			return refuser.NewUnknown(http.StatusConflict, "no answer kept", "the request has run; its answer could not be read")
		}
	}
	r.entry.Answer.SetHead(deduplicator.Head{Status: answer.Status, Header: answer.Header})
	return r.entry.Answer.Append(ctx, body)
}

// resolveError returns the refusal for a run that failed with err, and releases the
// claim if nothing was sent. The outcome is "not run" only if that is certain and,
// for a claimed key, if the table confirms it now.
func (r *requestState) resolveError(ctx context.Context, err error) error {
	if r.entry.Answer.HasHead() {
		return err
	}
	ctx = context.WithoutCancel(ctx)
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = r.refusalFor(err)
	}
	if refusal.Outcome == refuser.Unknown && r.claim == nil {
		return refusal
	}
	if r.sent == 0 && r.releaseIfNotRun(ctx) {
		return refusal
	}
	unknown := *refusal
	unknown.Outcome = refuser.Unknown
	return &unknown
}

// releaseIfNotRun releases the claim of a request that was not sent, and reports
// whether it is certain that the request has not run and will not run.
func (r *requestState) releaseIfNotRun(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalGrace.Duration())
	defer cancel()
	switch {
	case r.req.Idempotent:
		return true
	case r.claim != nil:
		return r.claim.Release(ctx) == nil
	default:
		return r.Claimer.IsUnclaimed(ctx, r.req.Organisation, r.req.Key)
	}
}

// refusalFor returns the refusal for err. Its outcome is the one that applies if
// nothing was sent.
func (r *requestState) refusalFor(err error) *refuser.Refusal {
	switch {
	case r.Clock.Now() >= r.req.Deadline, errors.Is(err, claimer.ErrNotClaimed), errors.Is(err, errExpiredBeforeSend), errors.Is(err, context.DeadlineExceeded):
		return refuser.New(http.StatusGatewayTimeout, "deadline", "the deadline came before an answer")
	case errors.Is(err, claimer.ErrDoubtful):
		return refuseUnreadable()
	default:
		return refuser.New(http.StatusBadGateway, "upstream failed", "no upstream gave an answer")
	}
}

func refuseUnreadable() *refuser.Refusal {
	return refuser.NewUnknown(http.StatusServiceUnavailable, "table down", "the table did not tell whether the key has run")
}

func refuseNotRun(title, detail string) error {
	return refuser.New(http.StatusServiceUnavailable, title, detail)
}
