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
	"yuccaspread/daemon/convictor"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/relayer"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// Bounds of the attempts of one request.
const (
	maxAttempts = 8
	// maxSent bounds the attempts that sent something.
	maxSent = 3
	// overdueTime is how long after its deadline a request that must not be
	// cancelled keeps its slot: a connection that has gone silent would keep it
	// for as long as an answer is waited for.
	overdueTime = 10 * clock.Second
	// waitPause is the pause of a request that waits for another one's end.
	waitPause = 100 * clock.Millisecond
)

// run is one request on its way through this daemon.
type run struct {
	*Dispatcher
	req   *classifier.Request
	entry *keeper.Entry
	// claim is held by a request that is not idempotent, from its first grant
	// on.
	claim *claimer.Claim
	// sent counts the attempts that may have sent a byte.
	sent     int
	excluded []string
	// last is why the last attempt failed.
	last error
}

// run brings the answer of a request into its entry.
func (d *Dispatcher) run(ctx context.Context, req *classifier.Request, entry *keeper.Entry) {
	r := &run{Dispatcher: d, req: req, entry: entry}
	d.budget.fresh(d.Source.Current().Limits.WithDefaults().RetryShare)
	err := r.drive(ctx)
	if err != nil {
		err = r.settle(ctx, err)
	} else if r.claim != nil {
		r.store(ctx)
	}
	d.Keeper.End(entry, err)
}

// drive makes attempts until one is whole or none may follow.
func (r *run) drive(ctx context.Context) (err error) {
	if !r.req.Idempotent {
		joined, err := r.repeat(ctx)
		if joined || err != nil {
			return err
		}
	}
	for number := 1; number <= maxAttempts; number++ {
		slot, err := r.reserve(ctx)
		if err != nil {
			return err
		}
		state, err := r.attempt(ctx, slot, number)
		if errors.Is(err, claimer.ErrTaken) {
			return r.taken(ctx)
		}
		if state == Whole || !r.again(ctx, slot, state, err) {
			return err
		}
	}
	return r.last
}

// again decides whether another attempt follows one that ended in state.
func (r *run) again(ctx context.Context, slot reserver.Slot, state State, err error) bool {
	klog.ErrorS(err, "attempt failed", logger.KeyRequest, r.req.ID, logger.KeyOrganisation, r.req.Organisation, logger.KeyUpstream, slot.Upstream().Name, "state", state.String())
	r.last = err
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) || ctx.Err() != nil || r.Clock.Now() >= r.req.Deadline || !state.another(r.req.Idempotent) {
		return false
	}
	if errors.Is(err, claimer.ErrLost) {
		return false
	}
	if errors.Is(err, errWait) || errors.Is(err, errLate) {
		clock.Sleep(ctx, waitPause)
		return true
	}
	r.excluded = append(r.excluded, slot.Upstream().Name)
	if state == NotSent {
		return true
	}
	r.counters.wasted(r.Registerer, r.req)
	return r.sent < maxSent && r.budget.retry()
}

func (r *run) reserve(ctx context.Context) (slot reserver.Slot, err error) {
	ctx, cancel := r.until(ctx, r.req.Deadline)
	defer cancel()
	return r.Reserver.Reserve(ctx, r.req, r.excluded)
}

// Errors of an attempt that was not sent.
var (
	// errWait means that a suspect must not run beside another one.
	errWait = errors.New("waits for another suspect")
	// errLate means that the slot or the time was gone before the send.
	errLate = errors.New("the grant or the deadline ended before the request was sent")
)

// attempt uses the slot for one attempt.
func (r *run) attempt(ctx context.Context, slot reserver.Slot, number int) (state State, err error) {
	usage := reserver.Usage{Outcome: reserver.NotSent}
	defer func() { slot.End(usage) }()
	id, verdict := r.Convictor.Admit(r.req.Fingerprint, slot.Upstream().Name)
	switch verdict {
	case convictor.Convicted:
		return NotSent, convicted()
	case convictor.Waits:
		return NotSent, errWait
	case convictor.Allowed:
	}
	err = r.secure(ctx)
	if err == nil {
		err = r.current(ctx, slot)
	}
	if err != nil {
		r.Convictor.Ended(id, false)
		return NotSent, err
	}
	overdue := time.AfterFunc((r.req.Deadline - r.Clock.Now() + overdueTime).Duration(), func() {
		slot.End(reserver.Usage{Outcome: reserver.Cancelled})
	})
	defer overdue.Stop()
	state, usage.OutputTokens, err = r.send(ctx, slot, number)
	usage.Outcome = outcome(ctx, state, err)
	if errors.Is(err, relayer.ErrDied) {
		r.Convictor.Died(id)
		return state, err
	}
	r.Convictor.Ended(id, state == Whole)
	return state, err
}

// secure claims the key of a request that is not idempotent.
func (r *run) secure(ctx context.Context) (err error) {
	if r.req.Idempotent || r.claim != nil {
		return nil
	}
	r.claim, err = r.Claimer.Claim(ctx, r.req.Organisation, r.req.Key, r.req.Fingerprint, r.req.Deadline)
	return err
}

// current looks again at what allows the send, right before it: this process
// may have been paused since.
func (r *run) current(ctx context.Context, slot reserver.Slot) (err error) {
	if r.claim != nil {
		if err = r.claim.Check(ctx); err != nil {
			return err
		}
	}
	if r.Clock.Now() >= r.req.Deadline || !slot.Confirm() {
		return errLate
	}
	return nil
}

// send sends the request and brings the answer with its output tokens.
func (r *run) send(ctx context.Context, slot reserver.Slot, number int) (state State, tokens int, err error) {
	ctx, span := otel.Tracer("dispatcher").Start(ctx, "attempt")
	defer span.End()
	upstream := slot.Upstream()
	span.SetAttributes(attribute.String("upstream", upstream.Name), attribute.Int("number", number))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.req.Idempotent {
		go watch(ctx, slot, cancel)
		stop := r.expire(ctx, cancel)
		defer stop()
	}
	tag := r.req.ID + "." + strconv.Itoa(number)
	pull := &relayer.Pull{
		Sender: r.Sender, Tag: tag, Resumes: upstream.Resumes, Stream: r.req.Stream, Silence: r.Silence,
		Buffer: int(r.Source.Current().Limits.WithDefaults().StoredAnswerBytes), Into: r.entry.Answer,
		Call: sender.Call{
			Method: r.req.Method, Address: upstream.Address, Path: r.req.Path, Header: outgoing(r.req, tag),
			Body: r.req.Body, Once: !r.req.Idempotent,
		},
		First: func(header http.Header) {
			cached, _ := strconv.Atoi(header.Get("X-Cached-Tokens"))
			slot.FirstToken(cached)
		},
	}
	if r.req.Idempotent {
		pull.Retry = func(status int) bool { return status >= http.StatusInternalServerError }
	}
	r.sent++
	r.entry.Sent.Store(true)
	err = pull.Run(ctx)
	state = reached(err, pull.Began, r.entry.Answer)
	if state == NotSent {
		r.sent--
		r.entry.Sent.Store(r.sent > 0)
	}
	if state == Whole {
		tokens = r.tokens(pull)
	}
	return state, tokens, err
}

// expire cancels an attempt that has brought nothing at the deadline.
func (r *run) expire(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	limited, stop := r.until(ctx, r.req.Deadline)
	context.AfterFunc(limited, func() {
		if !r.entry.Answer.Begun() {
			cancel()
		}
	})
	return stop
}

// watch cancels an attempt whose slot is withdrawn.
func watch(ctx context.Context, slot reserver.Slot, cancel context.CancelFunc) {
	select {
	case <-slot.Withdrawn():
		cancel()
	case <-ctx.Done():
	}
}

// outgoing returns the header of an attempt. The organisation's token stays
// here; the key goes on so that the upstream can tell repeats.
func outgoing(req *classifier.Request, tag string) http.Header {
	header := http.Header{}
	for name, values := range req.Header {
		switch name {
		case "Authorization", "Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "Te", "Trailer":
			continue
		}
		header[name] = values
	}
	if req.Key != "" {
		header.Set(classifier.HeaderKey, req.Key)
	}
	header.Set(classifier.HeaderRequest, tag)
	return header
}

// outcome tells the scheduler how the slot was used.
func outcome(ctx context.Context, state State, err error) reserver.Outcome {
	var status *relayer.StatusError
	switch {
	case state == Whole:
		return reserver.Whole
	case state == NotSent:
		return reserver.NotSent
	case ctx.Err() != nil, errors.Is(err, context.Canceled):
		return reserver.Cancelled
	case errors.As(err, &status):
		return reserver.Failed
	default:
		return reserver.Died
	}
}

func convicted() error {
	return refuser.NewUnknown(http.StatusUnprocessableEntity, "crashes upstreams", "this request was running on upstreams that died; it is refused for a while")
}
