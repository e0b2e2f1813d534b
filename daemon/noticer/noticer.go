// Package noticer keeps what upstreams say of themselves in their answers: the rate of
// requests that they accept, that they are about to stop, and for how long they want no
// requests from this daemon.
package noticer

import (
	"maps"
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
	// Brittle is set if the upstream crashes when it has to refuse more than MaxRefusals requests
	// in a second for want of room; MaxRefusals is at least 0.
	Brittle     bool
	MaxRefusals int
	// RetryAfter is how long the upstream wants no requests from this daemon, 0 if it
	// said nothing of the kind.
	RetryAfter clock.Millis
	// Load is the upstream's load, which is for its scheduler only.
	Load Load
}

// Load is what an upstream told of its load. The zero value is that of one that told nothing.
type Load struct {
	// Running and Waiting are the requests on it, and Slots those that it runs at once, above 0.
	Running, Waiting, Slots int
}

// Told reports whether the upstream told its load.
func (l Load) Told() bool { return l.Slots > 0 }

// Word is what an upstream is known to say of itself.
type Word struct {
	// Limited is set if the upstream named a limit in its latest answer, and Limit is that
	// limit, in requests per second for all daemons together.
	Limited bool
	Limit   float64
	// Leaving is set once the upstream has said that it is about to stop.
	Leaving bool
	// Brittle is set if the upstream said in its latest answer that it crashes when it has to
	// refuse more than MaxRefusals requests in a second.
	Brittle     bool
	MaxRefusals int
	// HeardAt is when the latest answer came, here or at another daemon.
	HeardAt clock.Millis

	// unlistedAt is when the upstream was first missing in the list, 0 while it is listed.
	unlistedAt clock.Millis
}

// isEmpty reports whether the upstream said nothing of itself.
func (w Word) isEmpty() bool { return !w.Limited && !w.Leaving && !w.Brittle }

// says reports whether the word says the same as another one.
func (w Word) says(other Word) bool {
	w.HeardAt, w.unlistedAt = other.HeardAt, other.unlistedAt
	return w == other
}

// Noticer keeps the notices of upstreams. Its exported fields are set before use; it is
// safe for concurrent use.
type Noticer struct {
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer

	once    sync.Once
	notices *prometheus.CounterVec
	// size is the number of entries in words and pauses.
	size atomic.Int64

	mu sync.Mutex
	// words holds the word of each upstream that has said something of itself.
	words map[string]Word
	// pauses holds until when an upstream wants no requests from this daemon.
	pauses map[string]clock.Millis
}

func (n *Noticer) prepare() {
	n.once.Do(func() {
		n.words = map[string]Word{}
		n.pauses = map[string]clock.Millis{}
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
	before := n.words[upstream]
	word := Word{
		Limited: notice.Limited, Limit: notice.Limit, Leaving: before.Leaving || notice.Leaving,
		Brittle: notice.Brittle, MaxRefusals: notice.MaxRefusals, HeardAt: now,
	}
	n.store(upstream, word)
	n.mu.Unlock()
	if notice.RetryAfter > 0 {
		n.Pause(upstream, now+notice.RetryAfter)
		klog.InfoS("upstream wants no requests for a while", logger.KeyRequest, request, logger.KeyUpstream, upstream, "for_ms", notice.RetryAfter)
	}
	if !word.says(before) {
		klog.InfoS("upstream changed what it says of itself", logger.KeyRequest, request, logger.KeyUpstream, upstream,
			"limited", word.Limited, "limit_per_s", word.Limit, "limited_before", before.Limited, "limit_per_s_before", before.Limit,
			"leaving", word.Leaving, "leaving_before", before.Leaving,
			"brittle", word.Brittle, "max_refusals_per_s", word.MaxRefusals, "brittle_before", before.Brittle, "max_refusals_per_s_before", before.MaxRefusals)
	}
}

// store is called with mu held.
func (n *Noticer) store(upstream string, word Word) {
	if word.isEmpty() {
		delete(n.words, upstream)
	} else {
		n.words[upstream] = word
	}
	n.updateSize()
}

// updateSize is called with mu held.
func (n *Noticer) updateSize() { n.size.Store(int64(len(n.words) + len(n.pauses))) }

// Learn takes what another daemon heard of an upstream, unless this one has heard of it later.
func (n *Noticer) Learn(upstream string, word Word) {
	n.prepare()
	n.mu.Lock()
	defer n.mu.Unlock()
	known, found := n.words[upstream]
	leaving := known.Leaving || word.Leaving
	if found && known.HeardAt >= word.HeardAt {
		word = known
	}
	word.Leaving = leaving
	n.store(upstream, word)
}

// count counts what a notice says.
func (n *Noticer) count(notice Notice) {
	if notice.Limited {
		n.notices.WithLabelValues("limit").Inc()
	}
	if notice.Leaving {
		n.notices.WithLabelValues("leaving").Inc()
	}
	if notice.Brittle {
		n.notices.WithLabelValues("brittle").Inc()
	}
	if notice.RetryAfter > 0 {
		n.notices.WithLabelValues("retry_after").Inc()
	}
}

// WordOf returns what an upstream is known to say of itself; found is false for nothing.
func (n *Noticer) WordOf(upstream string) (word Word, found bool) {
	if n.size.Load() == 0 {
		return word, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	word, found = n.words[upstream]
	return word, found
}

// Words returns what upstreams are known to say of themselves, by their names.
func (n *Noticer) Words() map[string]Word {
	if n.size.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.words)
}

// Avoids reports whether an upstream must get no requests from this daemon now.
func (n *Noticer) Avoids(now clock.Millis, upstream string) bool {
	word, _ := n.WordOf(upstream)
	return word.Leaving || now < n.PauseEnd(upstream)
}

// Pause lets an upstream get no requests from this daemon until end.
func (n *Noticer) Pause(upstream string, end clock.Millis) {
	n.prepare()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pauses[upstream] = max(n.pauses[upstream], end)
	n.updateSize()
}

// PauseEnd returns until when an upstream wants no requests from this daemon, 0 if it never
// said so.
func (n *Noticer) PauseEnd(upstream string) clock.Millis {
	if n.size.Load() == 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pauses[upstream]
}

// wordRetention is how long the word of an upstream is kept after it was last listed: an entry of
// the list may lapse and come back.
const wordRetention = 1 * clock.Minute

// Retain forgets pauses that have ended, and the upstreams for which listed has returned false
// for wordRetention.
func (n *Noticer) Retain(now clock.Millis, listed func(upstream string) bool) {
	if n.size.Load() == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for upstream, word := range n.words {
		switch {
		case listed(upstream):
			word.unlistedAt = 0
		case word.unlistedAt == 0:
			word.unlistedAt = now
		case now-word.unlistedAt > wordRetention:
			word = Word{}
		}
		n.store(upstream, word)
	}
	maps.DeleteFunc(n.pauses, func(_ string, end clock.Millis) bool { return now >= end })
	n.updateSize()
}
