package dispatcher

import (
	"context"
	"errors"
	"net/http"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/claimer"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/refuser"
)

// readPause is the pause after a read of the table that failed.
const readPause = 100 * clock.Millisecond

// repeat looks whether the key has a holder or an answer, and brings that
// answer. It waits for the table until the deadline: a request that can't be
// claimed must not hold a slot meanwhile.
func (r *run) repeat(ctx context.Context) (joined bool, err error) {
	limited, cancel := r.until(ctx, r.req.Deadline)
	defer cancel()
	for {
		record, found, err := r.Claimer.Look(limited, r.req.Organisation, r.req.Key)
		switch {
		case err == nil && found:
			return true, r.join(ctx, record)
		case err == nil:
			return false, nil
		case limited.Err() != nil:
			return false, unreadable()
		}
		clock.Sleep(limited, readPause)
	}
}

// taken follows a claim that found another holder.
func (r *run) taken(ctx context.Context) (err error) {
	joined, err := r.repeat(ctx)
	if joined || err != nil {
		return err
	}
	// The other holder has released the key in the meantime.
	return errNotRun("released", "another daemon gave the key back; try again")
}

// join brings the answer of the key's holder.
func (r *run) join(ctx context.Context, record claimer.Record) (err error) {
	if record.Fingerprint != r.req.Fingerprint {
		return otherBody()
	}
	if record.Answer != nil {
		return r.replay(ctx, record.Answer)
	}
	if record.Holder == r.Self {
		return refuser.NewUnknown(http.StatusConflict, "no answer kept", "the request was sent before; its answer is not known here")
	}
	limited, cancel := r.until(ctx, r.req.Deadline)
	defer cancel()
	return r.Joiner.Join(limited, record.Holder, r.req, r.entry.Answer)
}

// replay gives the stored answer.
func (r *run) replay(ctx context.Context, answer *claimer.Answer) (err error) {
	body := answer.Body
	if answer.Object != "" {
		if body, err = r.Objects.Get(ctx, answer.Object); err != nil {
			return refuser.NewUnknown(http.StatusConflict, "no answer kept", "the request has run; its answer could not be read")
		}
	}
	r.entry.Answer.Begin(keeper.Head{Status: answer.Status, Header: answer.Header})
	return r.entry.Answer.Append(ctx, body)
}

// settle turns the error of a run into the refusal that callers get, and gives
// the claim back where nothing was sent. It says "not run" only where that is
// certain and, for a claimed key, where the table says so now.
func (r *run) settle(ctx context.Context, err error) error {
	if r.entry.Answer.Begun() {
		return err
	}
	ctx = context.WithoutCancel(ctx)
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = r.explain(err)
	}
	if refusal.Outcome == refuser.Unknown && r.claim == nil {
		return refusal
	}
	if r.sent == 0 && r.notRun(ctx) {
		return refusal
	}
	unknown := *refusal
	unknown.Outcome = refuser.Unknown
	return &unknown
}

// notRun tells whether no byte went out and none ever will, and gives back
// what was claimed.
func (r *run) notRun(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, refuseGrace.Duration())
	defer cancel()
	switch {
	case r.req.Idempotent:
		return true
	case r.claim != nil:
		return r.claim.Release(ctx) == nil
	default:
		return r.Claimer.Refusable(ctx, r.req.Organisation, r.req.Key)
	}
}

// explain returns the refusal for an error, with the outcome that holds if
// nothing was sent.
func (r *run) explain(err error) *refuser.Refusal {
	switch {
	case r.Clock.Now() >= r.req.Deadline, errors.Is(err, claimer.ErrNotClaimed), errors.Is(err, errLate), errors.Is(err, context.DeadlineExceeded):
		return refuser.New(http.StatusGatewayTimeout, "deadline", "the deadline came before an answer")
	case errors.Is(err, claimer.ErrDoubtful):
		return unreadable()
	default:
		return refuser.New(http.StatusBadGateway, "upstream failed", "no upstream gave an answer")
	}
}

func unreadable() *refuser.Refusal {
	return refuser.NewUnknown(http.StatusServiceUnavailable, "table down", "the table did not tell whether the key has run")
}

func errNotRun(title, detail string) error {
	return refuser.New(http.StatusServiceUnavailable, title, detail)
}
