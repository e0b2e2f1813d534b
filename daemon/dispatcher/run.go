package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/claimer"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/quarantiner"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/relayer"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// Bounds of the attempts of one request.
const (
	maxAttempts = 8
	// maxSentAttempts bounds the attempts that may have sent a byte.
	maxSentAttempts = 3
	// overdueGrace is how long after its deadline a request that must not be
	// cancelled keeps its slot. Without it, a stalled connection would occupy the
	// slot until maxRunTime.
	overdueGrace = 10 * clock.Second
	// suspectRetryPause is the pause before the next attempt of a request that
	// waits for another suspect request, or whose grant ended before the send.
	suspectRetryPause = 100 * clock.Millisecond
)

// requestState is the state of one request while it runs.
type requestState struct {
	*Dispatcher
	req   *classifier.Request
	entry *deduplicator.Entry
	// claim is the claim of the key of a request that is not idempotent; nil
	// before its first granted slot.
	claim *claimer.Claim
	// sent counts the attempts that may have sent a byte.
	sent     int
	excluded []string
	// lastErr is the error of the last failed attempt, and lastRun follows its upstream's work.
	lastErr error
	lastRun *sender.Run
}

// runRequest runs a request and ends its entry with the answer or an error.
func (d *Dispatcher) runRequest(ctx context.Context, req *classifier.Request, entry *deduplicator.Entry) {
	r := &requestState{Dispatcher: d, req: req, entry: entry}
	d.budget.addRequest(d.Source.Current().Limits.WithDefaults().RetryShare)
	err := r.runAttempts(ctx)
	if err != nil {
		err = r.resolveError(ctx, err)
	} else if r.claim != nil {
		r.storeAnswer(ctx)
	}
	d.Deduplicator.End(entry, err)
}

// runAttempts makes attempts until one completes or no retry is allowed.
func (r *requestState) runAttempts(ctx context.Context) (err error) {
	if !r.req.Idempotent {
		joined, err := r.joinExisting(ctx)
		if joined || err != nil {
			return err
		}
	}
	var slot, replacement reserver.Slot
	for number := 1; number <= maxAttempts; number++ {
		if slot = replacement; slot == nil {
			if slot, err = r.reserve(ctx); err != nil {
				return err
			}
		}
		r.recordChoice(slot, number)
		var state State
		state, replacement, err = r.attempt(ctx, slot, number)
		if errors.Is(err, claimer.ErrTaken) {
			return r.joinOtherHolder(ctx)
		}
		if state == Completed || !r.shouldRetry(ctx, slot, replacement, state, err) {
			endUnused(replacement)
			return err
		}
	}
	endUnused(replacement)
	return r.lastErr
}

// recordChoice logs which upstream an attempt goes to, and on which terms it was chosen.
func (r *requestState) recordChoice(slot reserver.Slot, attempt int) {
	terms := reserver.TermsOf(slot)
	klog.InfoS("upstream chosen", logger.KeyRequest, r.req.ID, logger.KeyOrganisation, r.req.Organisation, "route", r.req.Route, "tier", r.req.Tier,
		logger.KeyUpstream, slot.Upstream().Name, "attempt", attempt, "waited_ms", r.Clock.Now()-r.req.Arrived, "scheduler", terms.Scheduler,
		"shard", terms.Shard, "chosen_running", terms.Running, "chosen_first_ms", terms.FirstToken, "chosen_kept_tokens", terms.KeptTokens,
		"revision", r.Source.Current().Revision)
}

// shouldRetry records the failed attempt and reports whether another one follows, in the slot replacement if that is
// not nil.
func (r *requestState) shouldRetry(ctx context.Context, slot, replacement reserver.Slot, state State, err error) bool {
	klog.ErrorS(err, "attempt failed", logger.KeyRequest, r.req.ID, logger.KeyOrganisation, r.req.Organisation, logger.KeyUpstream, slot.Upstream().Name, "state", state.String())
	r.lastErr = err
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) || ctx.Err() != nil || r.Clock.Now() >= r.req.Deadline || !state.allowsRetry(r.req.Idempotent) {
		return false
	}
	if errors.Is(err, claimer.ErrLost) {
		return false
	}
	if errors.Is(err, errSuspectRunning) || errors.Is(err, errExpiredBeforeSend) {
		clock.Sleep(ctx, suspectRetryPause)
		return true
	}
	r.excluded = append(r.excluded, slot.Upstream().Name)
	if state == NotSent {
		return true
	}
	r.counters.countWasted(r.Registerer, r.req)
	if r.sent >= maxSentAttempts || (replacement == nil && !r.budget.takeRetry()) {
		return false
	}
	if !r.lastRun.AwaitEnd(ctx) && ctx.Err() == nil {
		klog.InfoS("upstream may still work on a request that goes on elsewhere", logger.KeyRequest, r.req.ID, logger.KeyUpstream, slot.Upstream().Name)
	}
	return true
}

func (r *requestState) reserve(ctx context.Context) (slot reserver.Slot, err error) {
	ctx, cancel := r.withDeadline(ctx, r.req.Deadline)
	defer cancel()
	return r.Reserver.Reserve(ctx, r.req, r.excluded)
}

// Errors of an attempt that was not sent.
var (
	// errSuspectRunning means that the request is suspected of crashing upstreams
	// and must not run while another suspect runs.
	errSuspectRunning = errors.New("waiting for another suspect request to end")
	// errExpiredBeforeSend means that the grant or the deadline ended before the
	// request was sent.
	errExpiredBeforeSend = errors.New("grant or deadline ended before the request was sent")
)

// attempt sends the request once, in the given slot, and copies the answer. Where another upstream takes over, it
// returns the slot there.
func (r *requestState) attempt(ctx context.Context, slot reserver.Slot, number int) (state State, replacement reserver.Slot, err error) {
	usage := reserver.Usage{Outcome: reserver.NotSent}
	defer func() { slot.End(usage) }()
	id, verdict := r.Quarantiner.Admit(r.req.Fingerprint, slot.Upstream().Name)
	switch verdict {
	case quarantiner.MustRefuse:
		return NotSent, nil, refuseQuarantined()
	case quarantiner.MustWait:
		return NotSent, nil, errSuspectRunning
	case quarantiner.Allowed:
	}
	upstreamDied := false
	defer func() {
		if upstreamDied {
			r.Quarantiner.UpstreamDied(id)
		} else {
			r.Quarantiner.AttemptEnded(id, state == Completed)
		}
	}()
	err = r.claimKey(ctx)
	if err == nil {
		err = r.confirmSend(ctx, slot)
	}
	if err != nil {
		return NotSent, nil, err
	}
	overdue := time.AfterFunc((r.req.Deadline - r.Clock.Now() + overdueGrace).Duration(), func() {
		slot.End(reserver.Usage{Outcome: reserver.Cancelled})
	})
	defer overdue.Stop()
	// This is reported after a panic.
	usage.Outcome = reserver.Cancelled
	state, usage.OutputTokens, replacement, err = r.send(ctx, slot, number)
	usage.Outcome = slotOutcome(ctx, state, err)
	upstreamDied = errors.Is(err, relayer.ErrDied)
	return state, replacement, err
}

// claimKey claims the key of a request that is not idempotent, once per request.
func (r *requestState) claimKey(ctx context.Context) (err error) {
	if r.req.Idempotent || r.claim != nil {
		return nil
	}
	r.claim, err = r.Claimer.Claim(ctx, r.req.Organisation, r.req.Key, r.req.Fingerprint, r.req.Deadline)
	return err
}

// confirmSend checks right before the send that claim, deadline and slot are still
// valid, because this process may have been paused since they were obtained.
func (r *requestState) confirmSend(ctx context.Context, slot reserver.Slot) (err error) {
	if r.claim != nil {
		if err = r.claim.Check(ctx); err != nil {
			return err
		}
	}
	if r.Clock.Now() >= r.req.Deadline || !slot.Confirm() {
		return errExpiredBeforeSend
	}
	return nil
}

// send sends the request and copies the answer. tokens is the number of output
// tokens of a complete answer, replacement the slot in which another upstream takes over.
func (r *requestState) send(ctx context.Context, slot reserver.Slot, number int) (state State, tokens int, replacement reserver.Slot, err error) {
	ctx, span := otel.Tracer("dispatcher").Start(ctx, "attempt")
	defer span.End()
	upstream := slot.Upstream()
	span.SetAttributes(attribute.String("upstream", upstream.Name), attribute.Int("number", number))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var decision outcome
	if r.req.Idempotent {
		end := func() bool { return decision.end(cancel) }
		defer r.cancelAtDeadline(ctx, func() { end() })()
		if number < maxAttempts && r.sent+1 < maxSentAttempts {
			stop := r.watchWithdrawal(ctx, slot, end)
			defer func() { replacement = stop() }()
		}
	}
	attemptID := r.req.ID + "." + strconv.Itoa(number)
	r.lastRun = &sender.Run{}
	relay := &relayer.Relay{
		Sender: r.Sender, AttemptID: attemptID, Resumable: upstream.Resumes, Stream: r.req.Stream, SilenceTimeout: r.SilenceTimeout,
		BufferBytes: int(r.Source.Current().Limits.WithDefaults().StoredAnswerBytes), Answer: r.entry.Answer,
		Call: sender.Call{
			Method: r.req.Method, Address: upstream.Address, Path: r.req.Path, Header: outgoingHeader(r.req, attemptID),
			Body: r.req.Body, RequestID: attemptID, NewConnection: !r.req.Idempotent, Run: r.lastRun,
		},
		OnFirstBytes: func(header http.Header) (mayBegin bool) {
			if !decision.begin() {
				return false
			}
			cached, _ := strconv.Atoi(header.Get("X-Cached-Tokens"))
			slot.FirstToken(cached)
			return true
		},
	}
	if r.req.Idempotent {
		relay.ShouldRetry = func(status int) bool { return status >= http.StatusInternalServerError }
	}
	r.sent++
	r.entry.Sent.Store(true)
	err = relay.Run(ctx)
	state = stateAfter(err, relay.MaybeSent, r.entry.Answer)
	if state == NotSent {
		r.sent--
		r.entry.Sent.Store(r.sent > 0)
	}
	if state == Completed {
		tokens = r.outputTokens(relay)
	}
	return state, tokens, nil, err
}

// outgoingHeader returns the headers of an attempt. The organisation's token is not
// forwarded; the key is, so that the upstream can recognise repeated requests.
func outgoingHeader(req *classifier.Request, attemptID string) http.Header {
	header := http.Header{}
	for name, values := range req.Header {
		switch name {
		case "Authorization", "Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "Te", "Trailer":
			continue
		}
		header[name] = values
	}
	if req.Key != "" {
		header.Set(classifier.HeaderIdempotencyKey, req.Key)
	}
	header.Set(classifier.HeaderRequestID, attemptID)
	return header
}

// slotOutcome returns how the slot was used, as reported to the scheduler.
func slotOutcome(ctx context.Context, state State, err error) reserver.Outcome {
	var status *relayer.StatusError
	switch {
	case state == Completed:
		return reserver.Completed
	case state == NotSent:
		return reserver.NotSent
	case ctx.Err() != nil, errors.Is(err, context.Canceled):
		return reserver.Cancelled
	case errors.As(err, &status):
		return reserver.Failed
	default:
		return reserver.UpstreamDied
	}
}

func refuseQuarantined() error {
	return refuser.NewUnknown(http.StatusUnprocessableEntity, "crashes upstreams", "this request was running on upstreams that died; it is refused for a while")
}
