package reserver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/sharder"
)

// reconcileInterval is the time between two rounds of reconcile.
const reconcileInterval = 200 * clock.Millisecond

// refusalLead is the time before a caller leaves at which its wait for a slot ends
// with a refusal. Schedulers refuse earlier, and with a time after which to retry.
const refusalLead = 50 * clock.Millisecond

// otherDaemonRetry is the retry time for callers whose wait ended without a slot
// or a refusal, for example while only the local share serves; another daemon may
// serve them.
const otherDaemonRetry = 100 * clock.Millisecond

// pauseThreshold is the time between two looks at the links above which this
// process is taken to have been stopped for a while.
const pauseThreshold = 3 * reconcileInterval

// Remote reserves slots at the schedulers of the shards. Its exported fields are
// set before use. A slot belongs to this daemon and stays valid when the scheduler
// that granted it is lost.
type Remote struct {
	Source   inventory.Source
	View     gossiper.View
	Assigner *sharder.Assigner
	Clock    clock.Clock
	Dial     Dialer
	// Probe tells a dead connection to a scheduler from a silent scheduler; where it is nil, both count as silence.
	Probe Prober
	// Local serves while a shard's scheduler can't be reached.
	Local *Local
	// Noticer keeps what upstreams say of themselves; nil stands for one of its own.
	Noticer *noticer.Noticer
	// Settled reports whether View holds the daemons of the fleet; nil means that it always does.
	Settled func() bool
	// KeptPrompts lets schedulers weigh which upstreams still hold parts of a prompt, for requests
	// whose callers name the parts.
	KeptPrompts bool
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer

	once    sync.Once
	ctx     context.Context
	cancel  context.CancelFunc
	metrics *metrics
	// wordsLearned is closed once other daemons were asked what upstreams say of themselves.
	wordsLearned chan struct{}

	mu        sync.Mutex
	lastAskID uint64
	// watchedAt is when the links were last looked at, and resumedAt when this process last went on after it had
	// been stopped for a while; what arrived meanwhile may not be read yet.
	watchedAt clock.Millis
	resumedAt clock.Millis
	// reservations holds all waiting asks and all slots in use, by ask ID.
	reservations map[uint64]*reservation
	// heldByUpstream counts the slots in use that schedulers granted, by
	// upstream; no entry is 0.
	heldByUpstream map[string]int
	// waitingByShard holds the number of asks that waited at a shard when it last
	// granted a slot.
	waitingByShard map[string]int
	// links holds the link to each scheduler, by the scheduler's name.
	links map[string]*link
	// unreachable holds the names of the schedulers that could not be reached at
	// the last attempt or did not answer.
	unreachable map[string]bool
	// scheduledNotices tells, by upstream, what a scheduler knows of its word.
	scheduledNotices map[string]scheduled
	// retainedConfig is the configuration by which gone upstreams were last forgotten.
	retainedConfig *inventory.Config
	retainedAt     clock.Millis
	// crossRegionBytes holds the volume sent to other regions, by tier.
	crossRegionBytes map[int]*hourMeter
}

func (r *Remote) prepare() {
	r.once.Do(func() {
		r.ctx, r.cancel = context.WithCancel(context.Background())
		if r.Noticer == nil {
			r.Noticer = &noticer.Noticer{}
		}
		r.wordsLearned = make(chan struct{})
		r.metrics = newMetrics(r.Registerer)
		r.reservations = map[uint64]*reservation{}
		r.heldByUpstream = map[string]int{}
		r.waitingByShard = map[string]int{}
		r.links = map[string]*link{}
		r.unreachable = map[string]bool{}
		r.crossRegionBytes = map[int]*hourMeter{}
		r.scheduledNotices = map[string]scheduled{}
		r.Local.GrantedSlots = r.grantedSlots
		r.Local.limits = limitedShare{noticer: r.Noticer, rank: r.rankFor}
	})
}

// grantedSlots returns the number of an upstream's slots in use that schedulers
// have granted.
func (r *Remote) grantedSlots(upstream string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heldByUpstream[upstream]
}

// Run reconciles reservations and streams with the members until ctx ends.
func (r *Remote) Run(ctx context.Context) {
	r.prepare()
	defer r.cancel()
	go r.learnWords(r.ctx)
	ticker := clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	watchTicker := clock.NewTicker(watchInterval)
	defer watchTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-watchTicker.C:
			r.watchLinks()
		case <-ticker.C:
			r.reconcile()
		}
	}
}

// Reserve implements Reserver.
func (r *Remote) Reserve(ctx context.Context, req *classifier.Request, excluded []string) (slot Slot, err error) {
	r.prepare()
	ctx, span := otel.Tracer("yuccaspread/daemon/reserver").Start(ctx, "reservation")
	defer span.End()
	startedAt := r.Clock.Now()
	waitEnd := req.Deadline
	if patienceEnd := req.PatienceEnd(); patienceEnd > 0 {
		waitEnd = min(waitEnd, patienceEnd-refusalLead)
	}
	waitCtx, cancel := context.WithTimeout(ctx, (waitEnd - startedAt).Duration())
	defer cancel()
	res, err := r.reserveAfterPauses(waitCtx, want{request: req, excluded: excluded})
	if err != nil {
		err = r.toCallerError(ctx, waitCtx, err)
		span.SetStatus(codes.Error, err.Error())
		r.metrics.recordRefusal(req, err)
		return nil, err
	}
	span.SetAttributes(attribute.String("upstream", res.upstream.Name), attribute.Bool("local_share", res.isLocal))
	r.metrics.recordReservation(req, res.isLocal, r.Clock.Now()-startedAt)
	return res, nil
}

// toCallerError returns the error that the caller of Reserve receives: ctx's error
// where the caller left, a refusal where the wait ended.
func (r *Remote) toCallerError(ctx, waitCtx context.Context, err error) error {
	var refusal *refuser.Refusal
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.As(err, &refusal):
		return refusal
	case waitCtx.Err() != nil:
		refusal = errDeadline()
		refusal.RetryAfter = otherDaemonRetry
		return refusal
	default:
		return err
	}
}

// reserveAfterPauses waits for the end of a pause that an upstream asked for, if no other one
// serves the request.
func (r *Remote) reserveAfterPauses(ctx context.Context, w want) (res *reservation, err error) {
	for {
		res, err = r.reserveAnywhere(ctx, w)
		var refusal *refuser.Refusal
		if !errors.As(err, &refusal) || refusal.Title != titleNoUpstream {
			return res, err
		}
		ended, left := r.awaitPause(ctx, w)
		if !ended {
			refusal.RetryAfter = max(refusal.RetryAfter, left)
			return nil, refusal
		}
	}
}

// reserveAnywhere asks the shards of this daemon's region and then, within the
// tier's budget, those of other regions. Where all refuse, it returns the
// refusal of the region's first shard, or one for want of a path.
func (r *Remote) reserveAnywhere(ctx context.Context, w want) (res *reservation, err error) {
	home := r.rankedShards(r.View.Self().Region, w.request)
	if len(home) == 0 {
		return r.reserveInOtherRegions(ctx, w)
	}
	if r.isHeldByLimits(w.request, home) {
		prompt := w
		prompt.objectiveOnly = true
		if res, err = r.reserveAny(ctx, prompt, home); err == nil || ctx.Err() != nil {
			return res, err
		}
		if res, err = r.spill(ctx, prompt, false); err == nil || ctx.Err() != nil {
			return res, err
		}
	}
	var firstErr error
	for _, shard := range home {
		res, err = r.reserveAt(ctx, w, shard)
		if err == nil || ctx.Err() != nil {
			return res, err
		}
		firstErr = tellingRefusal(firstErr, err)
	}
	res, err = r.spill(ctx, w, false)
	if err == nil || ctx.Err() != nil {
		return res, err
	}
	return nil, tellingRefusal(firstErr, err)
}

// tellingRefusal returns the first refusal, or a later one for want of a path: where one scheduler takes this
// daemon for cut off, that is why the others have nothing left for it.
func tellingRefusal(first, later error) error {
	if first == nil || (IsNoPath(later) && !IsNoPath(first)) {
		return later
	}
	return first
}

// isHeldByLimits reports whether a request with an objective may have to wait for an upstream
// with a limit, while upstreams of other regions have none.
func (r *Remote) isHeldByLimits(req *classifier.Request, home []sharder.Shard) bool {
	if req.LatencyObjective <= 0 || req.LastWriteAt > 0 {
		return false
	}
	return slices.ContainsFunc(home, func(shard sharder.Shard) bool { return slices.ContainsFunc(shard.Upstreams, r.mayBeLimited) })
}

// reserveInOtherRegions serves a request whose pool has no upstream in this
// region, or that must not run here. It repeats the search while no scheduler of another region answers.
func (r *Remote) reserveInOtherRegions(ctx context.Context, w want) (res *reservation, err error) {
	for {
		res, err = r.spill(ctx, w, true)
		if !errors.Is(err, errSchedulerUnreachable) {
			return res, err
		}
		select {
		case <-closedAfter(ctx, reconcileInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// errSchedulerUnreachable means that no scheduler of another region answers.
var errSchedulerUnreachable = errors.New("no scheduler of the region answers")

// reserveAt waits for a slot of one shard, also when the shard's scheduler changes
// meanwhile. While the scheduler can't be reached, the local share serves shards
// of this region.
func (r *Remote) reserveAt(ctx context.Context, w want, shard sharder.Shard) (res *reservation, err error) {
	for {
		if err = ctx.Err(); err != nil {
			return nil, err
		}
		res, done, retry, err := r.askScheduler(ctx, w, shard)
		if done {
			return res, err
		}
		if shard.Region != r.View.Self().Region {
			return nil, errSchedulerUnreachable
		}
		if res, err = r.reserveLocally(ctx, w, shard, retry); res != nil || err != nil {
			return res, err
		}
	}
}

// askScheduler asks the scheduler of a shard, and again at once where the connection to it was dead. Where done is
// false the scheduler can't be reached, and retry is closed when the next attempt is due.
func (r *Remote) askScheduler(ctx context.Context, w want, shard sharder.Shard) (res *reservation, done bool, retry <-chan struct{}, err error) {
	for {
		scheduler, found := r.Assigner.Current().Scheduler(shard.ID)
		if !found {
			return nil, false, closedAfter(ctx, reconcileInterval), nil
		}
		l := r.linkForAsks(ctx, scheduler)
		connected, nextTry := r.awaitLink(ctx, l)
		if !connected {
			return nil, false, nextTry, nil
		}
		if res, done, err = r.askAt(ctx, l, w, shard); done {
			return res, true, nil, err
		}
		if !r.awaitReplacement(ctx, l) {
			// The stream was lost or the shard has moved; the next attempt may
			// reach the same scheduler.
			return nil, false, closedAfter(ctx, reconcileInterval), nil
		}
	}
}

// awaitLink waits until the link is connected, for askSilenceLimit at most. Where the
// previous attempt to reach the scheduler failed it doesn't wait. Where it returns
// false, retry is closed when the next attempt is due.
func (r *Remote) awaitLink(ctx context.Context, l *link) (connected bool, retry <-chan struct{}) {
	if r.isConnected(l) {
		return true, nil
	}
	if l.afterFailure {
		select {
		case <-l.ready:
		default:
			return false, l.ready
		}
	}
	select {
	case <-l.ready:
		return r.isConnected(l), l.replaceable
	case <-closedAfter(ctx, askSilenceLimit):
		return false, l.ready
	case <-ctx.Done():
		return false, l.replaceable
	}
}

// askAt sends one ask on the link and waits for its result. done is false where
// the ask must be repeated, at this or another scheduler.
func (r *Remote) askAt(ctx context.Context, l *link, w want, shard sharder.Shard) (res *reservation, done bool, err error) {
	res = r.addReservation(w, shard.ID)
	if !r.attachLink(res, l) {
		r.release(res)
		return nil, false, nil
	}
	l.lastUsed.Store(int64(r.Clock.Now()))
	if err = l.outgoing.Push(ctx, r.askMessage(res, l, shard)); err != nil {
		r.cancelReservation(res)
		return nil, true, err
	}
	select {
	case result := <-res.results:
		return r.handleResult(res, result)
	case <-ctx.Done():
		r.cancelReservation(res)
		return nil, true, ctx.Err()
	}
}

// handleResult turns the result of an ask into the results of askAt.
func (r *Remote) handleResult(res *reservation, result askResult) (granted *reservation, done bool, err error) {
	switch {
	case result.askAgain:
		r.cancelReservation(res)
		return nil, false, nil
	case result.refusal != nil:
		r.release(res)
		return nil, true, toRefusal(result.refusal, res.request.Pool)
	default:
		return res, true, nil
	}
}

// cancelReservation ends an ask, or a slot that was granted meanwhile, and cancels
// it at the scheduler.
func (r *Remote) cancelReservation(res *reservation) {
	l, isFirst := r.release(res)
	if !isFirst {
		return
	}
	r.mu.Lock()
	former := res.takeFormer()
	r.mu.Unlock()
	if l != nil {
		l.pushOrWait(cancelMessage(res.askID))
	}
	if former != nil {
		former.pushOrClose(cancelMessage(res.askID))
	}
}

// reserveLocally waits for a slot of the local share until retry is closed; then
// it returns neither a slot nor an error.
func (r *Remote) reserveLocally(ctx context.Context, w want, shard sharder.Shard, retry <-chan struct{}) (res *reservation, err error) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-retry:
			cancel()
		case <-waitCtx.Done():
		}
	}()
	upstream, err := r.Local.awaitSlot(waitCtx, shard.Upstreams, w.request, w.excluded)
	if err != nil {
		if waitCtx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	res = r.addReservation(w, shard.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	res.isLocal = true
	r.markHeld(res, upstream, "")
	return res, nil
}

// closedAfter returns a channel that is closed after delay. It is never closed
// where ctx ends before.
func closedAfter(ctx context.Context, delay clock.Millis) <-chan struct{} {
	done := make(chan struct{})
	timer := time.AfterFunc(delay.Duration(), func() { close(done) })
	context.AfterFunc(ctx, func() { timer.Stop() })
	return done
}

// titleNoPath is the title of the refusal of a scheduler that takes this daemon for cut off.
const titleNoPath = "no path"

// IsNoPath reports whether err is the refusal of a scheduler that takes this daemon for cut off from the
// upstreams.
func IsNoPath(err error) bool {
	var refusal *refuser.Refusal
	return errors.As(err, &refusal) && refusal.Title == titleNoPath
}

// toRefusal returns the refusal for the caller.
func toRefusal(refusal *wire.Refusal, pool string) *refuser.Refusal {
	err := refuser.New(http.StatusServiceUnavailable, "deadline", fmt.Sprintf(
		"pool %s can't answer in time: %d wait before it, for %d ms", pool, refusal.GetWaiting(), refusal.GetWaitMs(),
	))
	if refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL {
		err = refuser.New(http.StatusServiceUnavailable, "queue full", "more important requests fill the queue of pool "+pool)
	}
	if refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_NO_UPSTREAM {
		err = errNoUpstream(pool)
	}
	if refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_NO_PATH {
		err = refuser.New(http.StatusServiceUnavailable, titleNoPath, "this daemon is taken to have no path to the upstreams of pool "+pool)
	}
	err.RetryAfter = clock.Millis(refusal.GetRetryAfterMs())
	return err
}
