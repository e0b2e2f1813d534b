// Package noticer keeps what upstreams say of themselves in their answers: the rate of
// requests that they accept, that they are about to stop, and for how long they want no
// requests from this daemon.
package noticer

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
)

// Notice is what an upstream said of itself in one answer.
type Notice struct {
	// Limited is set if the upstream named a limit, and Limit is the number of requests
	// per second that it accepts from all daemons together, at least 0.
	Limited bool
	Limit   float64
	// Leaving is set if the upstream is about to stop.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests from this daemon, 0 if it
	// said nothing of the kind.
	RetryAfter clock.Millis
}

// isEmpty reports whether the upstream said nothing of itself.
func (n Notice) isEmpty() bool { return n == Notice{} }

// Limit is a limit that an upstream named.
type Limit struct {
	// PerSecond is the number of requests that it accepts from all daemons together.
	PerSecond float64
	// HeardAt is when the answer came.
	HeardAt clock.Millis
}

// Noticer keeps the notices of upstreams. Its exported fields are set before use; it is
// safe for concurrent use.
type Noticer struct {
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer

	once    sync.Once
	notices *prometheus.CounterVec
	// size is the number of entries in latest.
	size atomic.Int64

	mu sync.Mutex
	// latest holds the last notice of each upstream whose last notice is not empty, by
	// the name of the upstream.
	latest map[string]heard
}

// heard is a notice and when it was heard.
type heard struct {
	Notice

	at clock.Millis
}

func (n *Noticer) prepare() {
	n.once.Do(func() {
		n.latest = map[string]heard{}
		n.notices = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccaspread_upstream_notices_total", Help: "Answers in which upstreams said something of themselves, by what it was.",
		}, []string{"kind"})
		if n.Registerer != nil {
			n.Registerer.MustRegister(n.notices)
		}
	})
}

// Observe records the notice in the answer to a request.
func (n *Noticer) Observe(now clock.Millis, request, upstream string, notice Notice) {
	n.prepare()
	n.count(notice)
	n.mu.Lock()
	before := n.latest[upstream]
	if notice.isEmpty() {
		delete(n.latest, upstream)
	} else {
		n.latest[upstream] = heard{notice, now}
	}
	n.size.Store(int64(len(n.latest)))
	n.mu.Unlock()
	if before.Notice != notice {
		klog.InfoS("upstream changed what it says of itself", logger.KeyRequest, request, logger.KeyUpstream, upstream,
			"limited", notice.Limited, "limit_per_s", notice.Limit, "limited_before", before.Limited, "limit_per_s_before", before.Limit,
			"leaving", notice.Leaving, "retry_after_ms", notice.RetryAfter)
	}
}

// Learn takes what another daemon heard of an upstream's limit, unless this one has heard of it
// later.
func (n *Noticer) Learn(heardAt clock.Millis, upstream string, notice Notice) {
	n.prepare()
	n.mu.Lock()
	defer n.mu.Unlock()
	entry, found := n.latest[upstream]
	if found && entry.at >= heardAt {
		return
	}
	entry.Limited, entry.Limit, entry.at = notice.Limited, notice.Limit, heardAt
	if entry.isEmpty() {
		delete(n.latest, upstream)
	} else {
		n.latest[upstream] = entry
	}
	n.size.Store(int64(len(n.latest)))
}

// count counts what a notice says.
func (n *Noticer) count(notice Notice) {
	if notice.Limited {
		n.notices.WithLabelValues("limit").Inc()
	}
	if notice.Leaving {
		n.notices.WithLabelValues("leaving").Inc()
	}
	if notice.RetryAfter > 0 {
		n.notices.WithLabelValues("retry_after").Inc()
	}
}

// LimitOf returns the limit that an upstream named in its last answer to this daemon.
func (n *Noticer) LimitOf(upstream string) (limit Limit, named bool) {
	if n.size.Load() == 0 {
		return limit, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	entry := n.latest[upstream]
	return Limit{PerSecond: entry.Limit, HeardAt: entry.at}, entry.Limited
}

// Retain forgets the upstreams for which listed returns false.
func (n *Noticer) Retain(listed func(upstream string) bool) {
	if n.size.Load() == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for upstream := range n.latest {
		if !listed(upstream) {
			delete(n.latest, upstream)
		}
	}
	n.size.Store(int64(len(n.latest)))
}
