package reserver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/sharder"
)

// followInterval is how often the entries follow the members.
const followInterval = 200 * clock.Millisecond

// refusalWay is the time before a caller leaves at which the wait for a slot ends
// with a refusal. Schedulers refuse earlier and can tell when to come back.
const refusalWay = 50 * clock.Millisecond

// elsewhereRetry is when a caller may come again, to another daemon, that waited
// here for a slot of the local share.
const elsewhereRetry = 100 * clock.Millisecond

// longestFollow is the time between two rounds that shows that this process was
// stopped for a while.
const longestFollow = 3 * followInterval

// Remote reserves slots at the schedulers of the shards. Its exported fields
// are set before use. A slot belongs to this daemon and outlives the
// scheduler that granted it.
type Remote struct {
	Source   inventory.Source
	View     gossiper.View
	Assigner *sharder.Assigner
	Clock    clock.Clock
	Dial     Dialer
	// Local serves while a shard's scheduler can't be reached.
	Local *Local
	// Registerer takes the metrics; nil keeps them to itself.
	Registerer prometheus.Registerer

	once    sync.Once
	ctx     context.Context
	cancel  context.CancelFunc
	metrics *metrics

	mu         sync.Mutex
	lastNumber uint64
	// followed is when the entries last followed the members.
	followed clock.Millis
	// entries holds all that wait and all slots in use, by number.
	entries map[uint64]*entry
	// held counts the slots in use that schedulers granted, by upstream; no
	// entry is 0.
	held map[string]int
	// load is the number of asks that waited at a shard at its last grant.
	load map[string]int
	// links holds at most one link by the scheduler's name.
	links map[string]*link
	// failed names schedulers that could not be reached at the last try.
	failed map[string]bool
	// paid holds the volume between regions by tier.
	paid map[int]*meter
}

func (r *Remote) prepare() {
	r.once.Do(func() {
		r.ctx, r.cancel = context.WithCancel(context.Background())
		r.metrics = newMetrics(r.Registerer)
		r.entries = map[uint64]*entry{}
		r.held = map[string]int{}
		r.load = map[string]int{}
		r.links = map[string]*link{}
		r.failed = map[string]bool{}
		r.paid = map[int]*meter{}
		r.Local.Held = r.heldOn
	})
}

// heldOn returns the slots of an upstream that schedulers have granted.
func (r *Remote) heldOn(upstream string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[upstream]
}

// Run follows the members and the streams until ctx ends.
func (r *Remote) Run(ctx context.Context) {
	r.prepare()
	defer r.cancel()
	ticker := time.NewTicker(followInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.follow()
		}
	}
}

// Reserve implements Reserver.
func (r *Remote) Reserve(ctx context.Context, req *classifier.Request, excluded []string) (slot Slot, err error) {
	r.prepare()
	ctx, span := otel.Tracer("yuccaspread/daemon/reserver").Start(ctx, "reservation")
	defer span.End()
	began := r.Clock.Now()
	until := req.Deadline
	if leaves := req.Leaves(); leaves > 0 {
		until = min(until, leaves-refusalWay)
	}
	within, cancel := context.WithTimeout(ctx, (until - began).Duration())
	defer cancel()
	e, err := r.search(within, req, excluded)
	if err != nil {
		err = r.explain(ctx, within, err)
		span.SetStatus(codes.Error, err.Error())
		r.metrics.refused(req.Tier, err)
		return nil, err
	}
	span.SetAttributes(attribute.String("upstream", e.upstream.Name), attribute.Bool("local_share", e.local))
	r.metrics.reserved(req.Tier, e.local, r.Clock.Now()-began)
	return e, nil
}

// explain tells the caller's leaving and the deadline apart.
func (r *Remote) explain(ctx, within context.Context, err error) error {
	var refusal *refuser.Refusal
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.As(err, &refusal):
		return refusal
	case within.Err() != nil:
		refusal = errDeadline()
		refusal.RetryAfter = elsewhereRetry
		return refusal
	default:
		return err
	}
}

// search asks the region's shards and then, where that can save the request,
// those of other regions. The refusal is the one of the region's first shard.
func (r *Remote) search(ctx context.Context, req *classifier.Request, excluded []string) (e *entry, err error) {
	var first error
	for _, shard := range r.shards(r.View.Self().Region, req) {
		e, err = r.reserveAt(ctx, req, excluded, shard)
		if err == nil || ctx.Err() != nil {
			return e, err
		}
		if first == nil {
			first = err
		}
	}
	if first == nil {
		return r.searchElsewhere(ctx, req, excluded)
	}
	e, err = r.spill(ctx, req, excluded, false)
	if err == nil || ctx.Err() != nil {
		return e, err
	}
	return nil, first
}

// searchElsewhere serves a request whose pool has no upstream in the region.
// As long as no scheduler of another region answers, it waits.
func (r *Remote) searchElsewhere(ctx context.Context, req *classifier.Request, excluded []string) (e *entry, err error) {
	for {
		e, err = r.spill(ctx, req, excluded, true)
		if !errors.Is(err, errUnreached) {
			return e, err
		}
		select {
		case <-after(ctx, followInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// errUnreached means that no scheduler of another region answers.
var errUnreached = errors.New("no scheduler of the region answers")

// reserveAt waits for a slot of one shard, across any change of its
// scheduler.
func (r *Remote) reserveAt(ctx context.Context, req *classifier.Request, excluded []string, shard sharder.Shard) (e *entry, err error) {
	for {
		if err = ctx.Err(); err != nil {
			return nil, err
		}
		var over <-chan struct{}
		if scheduler, found := r.Assigner.Current().Scheduler(shard.ID); found {
			l := r.linkTo(scheduler)
			up, again := r.await(ctx, l)
			if up {
				e, done, err := r.askAt(ctx, l, req, excluded, shard)
				if done {
					return e, err
				}
				// The scheduler is lost or has moved on; the next may be the same.
				again = after(ctx, followInterval)
			}
			over = again
		} else {
			over = after(ctx, followInterval)
		}
		if shard.Region != r.View.Self().Region {
			return nil, errUnreached
		}
		if e, err = r.fallback(ctx, req, excluded, shard, over); e != nil || err != nil {
			return e, err
		}
	}
}

// await waits until the link is up. Where a scheduler was not reached before,
// or is not reached now, it returns a channel that is closed when to look
// again.
func (r *Remote) await(ctx context.Context, l *link) (up bool, over <-chan struct{}) {
	if r.isUp(l) {
		return true, nil
	}
	if l.again {
		select {
		case <-l.ready:
		default:
			return false, l.ready
		}
	}
	select {
	case <-l.ready:
		return r.isUp(l), l.over
	case <-ctx.Done():
		return false, l.over
	}
}

// askAt asks once on the link. done is false where the ask must be made
// again, here or at another scheduler.
func (r *Remote) askAt(ctx context.Context, l *link, req *classifier.Request, excluded []string, shard sharder.Shard) (e *entry, done bool, err error) {
	e = r.register(req, excluded, shard.ID)
	if !r.attach(e, l) {
		r.release(e)
		return nil, false, nil
	}
	l.used.Store(int64(r.Clock.Now()))
	if err = l.out.Push(ctx, e.ask()); err != nil {
		r.takeBack(e)
		return nil, true, err
	}
	select {
	case a := <-e.answers:
		return r.settled(e, a)
	case <-ctx.Done():
		r.takeBack(e)
		return nil, true, ctx.Err()
	}
}

func (r *Remote) settled(e *entry, a answer) (granted *entry, done bool, err error) {
	switch {
	case a.lost:
		r.takeBack(e)
		return nil, false, nil
	case a.refusal != nil:
		r.release(e)
		return nil, true, refusalOf(a.refusal, e.request.Pool)
	default:
		return e, true, nil
	}
}

// takeBack gives up an ask, or a grant that has just come.
func (r *Remote) takeBack(e *entry) {
	if l, first := r.release(e); first && l != nil {
		l.push(cancelAsk(e.number))
	}
}

// fallback waits for a slot of the local share until the scheduler may be
// reached again; then it returns neither a slot nor an error.
func (r *Remote) fallback(ctx context.Context, req *classifier.Request, excluded []string, shard sharder.Shard, over <-chan struct{}) (e *entry, err error) {
	within, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-over:
			cancel()
		case <-within.Done():
		}
	}()
	upstream, err := r.Local.wait(within, shard.Upstreams, req, excluded)
	if err != nil {
		if within.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	e = r.register(req, excluded, shard.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	e.local = true
	r.hold(e, upstream, "")
	return e, nil
}

// after returns a channel that is closed after a span or with ctx.
func after(ctx context.Context, span clock.Millis) <-chan struct{} {
	done := make(chan struct{})
	timer := time.AfterFunc(span.Duration(), func() { close(done) })
	context.AfterFunc(ctx, func() { timer.Stop() })
	return done
}

func refusalOf(refusal *wire.Refusal, pool string) *refuser.Refusal {
	err := refuser.New(http.StatusServiceUnavailable, "deadline", fmt.Sprintf(
		"pool %s can't answer in time: %d wait before it, for %d ms", pool, refusal.GetWaiting(), refusal.GetWaitMs(),
	))
	if refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL {
		err = refuser.New(http.StatusServiceUnavailable, "queue full", "more important requests fill the queue of pool "+pool)
	}
	if refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_NO_UPSTREAM {
		err = errNoUpstream(pool)
	}
	err.RetryAfter = clock.Millis(refusal.GetRetryAfterMs())
	return err
}
