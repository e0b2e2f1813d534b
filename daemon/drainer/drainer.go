// Package drainer runs the graceful shutdown of a daemon. First the other
// daemons stop sending callers here, then the daemon serves callers until none
// can hold its address any more, then the requests in progress end, and only
// then does anything else stop.
package drainer

import (
	"context"
	"math"
	"math/bits"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
)

// sampleInterval is the time between two reads of the lifetime of answers.
const sampleInterval = 500 * clock.Millisecond

// PropagationTime returns how long gossip takes to reach the given number of daemons if
// each one exchanges packets with one other per interval.
func PropagationTime(daemons int, interval clock.Millis) clock.Millis {
	if daemons <= 1 {
		return 0
	}
	return interval * clock.Millis(1+bits.Len(uint(daemons)))
}

// Drainer holds the state of a graceful shutdown and counts the requests in
// progress. Its exported fields are set before use.
type Drainer struct {
	Clock clock.Clock
	// Leave announces to the other daemons that this one is leaving.
	Leave func(ctx context.Context)
	// AddressLifetime returns how long callers may cache an address answer that holds
	// this daemon.
	AddressLifetime func() clock.Millis
	// PropagationTime returns how long it takes until all other daemons know that this one
	// is leaving.
	PropagationTime func() clock.Millis
	// MaxAcceptTime bounds how long requests are accepted after the stop has begun; 0
	// means no bound. Requests that come later are to be refused.
	MaxAcceptTime clock.Millis
	// MaxProgressTime is how long after the begin of the stop requests may still be in
	// progress; 0 means no bound.
	MaxProgressTime clock.Millis

	leaving    atomic.Bool
	closed     atomic.Bool
	inProgress atomic.Int64
	drainOnce  sync.Once
	initOnce   sync.Once
	// begun ends when the stop begins.
	begun context.Context
	begin context.CancelFunc
	// cutoff is when no request may be in progress any more. It is set before begun ends.
	cutoff clock.Millis
	// mu guards acceptUntil.
	mu sync.Mutex
	// acceptUntil is the latest expiry of any address answer that holds this
	// daemon. It never decreases.
	acceptUntil clock.Millis
}

func (d *Drainer) init() {
	d.initOnce.Do(func() { d.begun, d.begin = context.WithCancel(context.Background()) })
}

// Begun returns a context that ends when a planned stop begins.
func (d *Drainer) Begun() context.Context {
	d.init()
	return d.begun
}

// Cutoff returns when no request may be in progress any more. It is valid once a planned stop
// has begun.
func (d *Drainer) Cutoff() clock.Millis { return d.cutoff }

// Leaving reports whether a planned stop has begun.
func (d *Drainer) Leaving() bool { return d.leaving.Load() }

// Closed reports whether requests are no longer accepted.
func (d *Drainer) Closed() bool { return d.closed.Load() }

// InProgress returns the number of requests in progress.
func (d *Drainer) InProgress() int64 { return d.inProgress.Load() }

// Run samples the lifetime of the answers until ctx ends, so that Drain honours
// answers that were returned before the lifetime was shortened.
func (d *Drainer) Run(ctx context.Context) {
	ticker := clock.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		if !d.Leaving() {
			d.extendAcceptUntil()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// extendAcceptUntil raises acceptUntil to the expiry of an answer returned now
// and returns it.
func (d *Drainer) extendAcceptUntil() clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acceptUntil = max(d.acceptUntil, d.Clock.Now()+d.AddressLifetime())
	return d.acceptUntil
}

// Handler counts the requests in progress in next. While the daemon is leaving
// it closes connections after their response, so that callers open the next one
// to another daemon.
func (d *Drainer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inProgress.Add(1)
		defer d.inProgress.Add(-1)
		if d.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain announces that this daemon is leaving and returns once no caller can
// hold an address answer with this daemon, MaxAcceptTime has passed or ctx has ended.
// Requests are accepted until then. Only the first call does so; any other waits
// for it.
func (d *Drainer) Drain(ctx context.Context) {
	d.drainOnce.Do(func() { d.drain(ctx) })
}

func (d *Drainer) drain(ctx context.Context) {
	// Daemons that do not know of the stop yet still return this one in their
	// answers: the time that the announcement takes to reach them is added to the
	// lifetime of an answer.
	d.init()
	d.leaving.Store(true)
	propagationTime := d.PropagationTime()
	start := d.Clock.Now()
	d.cutoff = math.MaxInt64
	if d.MaxProgressTime > 0 {
		d.cutoff = start + d.MaxProgressTime
	}
	d.begin()
	informedAt := start + propagationTime
	deadline := d.limitDeadline(start, d.extendAcceptUntil()+propagationTime)
	d.Leave(ctx)
	klog.InfoS("planned stop began; still accepting requests", "accepting_for_ms", deadline-d.Clock.Now(), "in_progress", d.InProgress())
	for wait := deadline - d.Clock.Now(); wait > 0 && ctx.Err() == nil; wait = deadline - d.Clock.Now() {
		select {
		case <-time.After(wait.Duration()):
		case <-ctx.Done():
		}
		// Other daemons may have returned answers with a longer lifetime that was
		// not yet in force here.
		deadline = d.limitDeadline(start, max(deadline, informedAt+d.AddressLifetime()))
	}
	d.closed.Store(true)
	klog.InfoS("requests are no longer accepted", "in_progress", d.InProgress())
}

// limitDeadline returns the deadline, or the end of MaxAcceptTime if that is earlier.
func (d *Drainer) limitDeadline(start, deadline clock.Millis) clock.Millis {
	if d.MaxAcceptTime <= 0 {
		return deadline
	}
	return min(deadline, start+d.MaxAcceptTime)
}

// WaitIdle returns once requiredIdleChecks in a row have found no request in
// progress, or once ctx ends.
func (d *Drainer) WaitIdle(ctx context.Context) {
	idleChecks := 0
	for idleChecks < requiredIdleChecks && ctx.Err() == nil {
		idleChecks++
		if d.InProgress() > 0 {
			idleChecks = 0
		}
		select {
		case <-time.After(idleCheckInterval.Duration()):
		case <-ctx.Done():
		}
	}
	klog.InfoS("wait for requests in progress ended", "in_progress", d.InProgress())
}

// Checks of the wait for the last requests.
const (
	idleCheckInterval = 50 * clock.Millisecond
	// requiredIdleChecks is the number of consecutive checks without a request in
	// progress after which callers are taken to have noticed the stop.
	requiredIdleChecks = 6
)
