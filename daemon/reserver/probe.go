package reserver

import (
	"context"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// Limits by which the dead connection of a sound scheduler is told from a scheduler that is silent.
const (
	// watchInterval is the time between two looks at the links.
	watchInterval = 50 * clock.Millisecond
	// firstHeartbeatDelay is how long asks wait on a quiet link before it carries a heartbeat.
	firstHeartbeatDelay = 50 * clock.Millisecond
	// A heartbeat may take twice the time of the one before, within these bounds, before the scheduler is
	// probed over a new connection.
	minAnswerTime = 100 * clock.Millisecond
	maxAnswerTime = 300 * clock.Millisecond
	// probeGrace is how long a scheduler that has answered on a new connection may take to be heard on the
	// old one too: one that was stopped for a moment answers on both.
	probeGrace = 100 * clock.Millisecond
	// probeInterval is the time between two probes over new connections for one link.
	probeInterval = 1 * clock.Second
)

// Prober asks a daemon for a sign of life over a new connection. It returns an error if it gets none
// before ctx ends.
type Prober func(ctx context.Context, to gossiper.Member) error

// watchLinks sends heartbeats where something is waited for or a slot was freed, and closes the links to silent
// schedulers and those on dead connections.
func (r *Remote) watchLinks() {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.watchedAt > pauseThreshold {
		r.resumedAt = now
	}
	r.watchedAt = now
	for _, l := range r.links {
		l.hasWaiting = false
	}
	for _, res := range r.reservations {
		if res.stage == stageWaiting && res.link != nil {
			res.link.hasWaiting = true
		}
	}
	for _, l := range r.links {
		if l.connected && l.ctx.Err() == nil {
			l.watch(now)
		}
	}
}

// watch looks at one link. It is called with Remote.mu held.
func (l *link) watch(now clock.Millis) {
	r := l.remote
	heard := clock.Millis(l.lastHeard.Load())
	l.trackWaiting(now)
	if l.waitingSince > 0 && now-max(l.waitingSince, heard, r.resumedAt) > askSilenceLimit {
		klog.InfoS("scheduler sent nothing while requests wait for it; closing its stream", "scheduler", l.peer.Name,
			"heard_ms_ago", now-heard, "heartbeat_ms_ago", l.heartbeatAge(now), "probes", l.probes, "probe_error", l.probeError)
		// Until it answers again, asks don't wait for its stream.
		r.unreachable[l.peer.Name] = true
		l.cancel()
		return
	}
	sentAt := clock.Millis(l.heartbeatAt.Load())
	if sentAt > 0 && heard >= sentAt {
		l.answerTime = heard - sentAt
		l.heartbeatAt.Store(0)
		sentAt = 0
	}
	switch {
	case sentAt == 0 && l.needsHeartbeat(now, heard):
		l.sendHeartbeat(now)
	case sentAt > 0 && now-max(sentAt, r.resumedAt) >= l.answerLimit():
		l.startProbe(now)
	}
}

// trackWaiting notes since when asks wait on the link. It is called with Remote.mu held.
func (l *link) trackWaiting(now clock.Millis) {
	switch {
	case !l.hasWaiting:
		l.waitingSince = 0
	case l.waitingSince == 0:
		l.waitingSince = now
	}
}

// needsHeartbeat reports whether asks wait, or a slot was freed, and nothing shows that the connection still
// carries it. It is called with Remote.mu held.
func (l *link) needsHeartbeat(now, heard clock.Millis) bool {
	if l.waitingSince >= heard && l.waitingSince > 0 && now-l.waitingSince >= firstHeartbeatDelay {
		return true
	}
	isUsed := l.waitingSince > 0 || clock.Millis(l.freedAt.Load()) >= heard
	return isUsed && now-max(heard, l.remote.resumedAt) >= probeSilenceLimit
}

// sendHeartbeat sends a heartbeat unless another one is not answered yet.
func (l *link) sendHeartbeat(now clock.Millis) {
	if l.heartbeatAt.CompareAndSwap(0, int64(now)) {
		l.outgoing.TryPush(heartbeatMessage())
	}
}

// heartbeatAge returns for how long a heartbeat has waited for its answer, 0 for none. It is called with
// Remote.mu held.
func (l *link) heartbeatAge(now clock.Millis) clock.Millis {
	if sentAt := clock.Millis(l.heartbeatAt.Load()); sentAt > 0 {
		return now - sentAt
	}
	return 0
}

// answerLimit returns how long a heartbeat may take before the scheduler is probed. It is called with Remote.mu
// held.
func (l *link) answerLimit() clock.Millis {
	if l.waitingSince == 0 && l.freedAt.Load() < l.lastHeard.Load() {
		return maxAnswerTime
	}
	return min(max(2*l.answerTime, minAnswerTime), maxAnswerTime)
}

// startProbe probes the scheduler over a new connection. A link on which nothing was ever heard is left to the
// limits of silence: its scheduler may be too busy to read it, and another link would not change that. The link to
// this process has no connection. It is called with Remote.mu held.
func (l *link) startProbe(now clock.Millis) {
	r := l.remote
	probedLately := l.probes > 0 && now-l.probedAt < probeInterval
	if r.Probe == nil || !l.hasSpoken.Load() || probedLately || l.peer.Name == r.View.Self().Name {
		return
	}
	l.probes++
	l.probedAt, l.probeError = now, "no answer yet"
	go l.probe(clock.Millis(l.lastHeard.Load()), now)
}

// probe replaces the link if its scheduler answers over a new connection, and the link stays silent. heard is when
// the link last carried a message.
func (l *link) probe(heard, startedAt clock.Millis) {
	r := l.remote
	ctx, cancel := context.WithTimeout(l.ctx, askSilenceLimit.Duration())
	defer cancel()
	err := r.Probe(ctx, l.peer)
	answeredAt := r.Clock.Now()
	if err == nil {
		l.awaitGrace(ctx)
	}
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	l.probeError = ""
	if err != nil {
		l.probeError = err.Error()
		return
	}
	if l.ctx.Err() != nil || clock.Millis(l.lastHeard.Load()) != heard {
		return
	}
	klog.InfoS("connection to a scheduler is dead, the scheduler is sound; opening its stream anew", "scheduler", l.peer.Name,
		"heard_ms_ago", now-heard, "heartbeat_ms_ago", l.heartbeatAge(now), "probe_took_ms", answeredAt-startedAt,
		"answered_ms_ago", now-answeredAt, "requests_wait", l.hasWaiting)
	l.isDead = true
	l.cancel()
	// What ended one connection may have ended others.
	for _, other := range r.links {
		if other.connected && other != l {
			other.sendHeartbeat(now)
		}
	}
}

// awaitGrace waits for probeGrace, and anew where this process did not run meanwhile: what has arrived has to be
// read first.
func (l *link) awaitGrace(ctx context.Context) {
	for {
		startedAt := l.remote.Clock.Now()
		if !clock.Sleep(ctx, probeGrace) || l.remote.Clock.Now()-startedAt < 2*probeGrace {
			return
		}
	}
}

// awaitReplacement waits until another link may be opened, and reports whether l was closed since its connection
// is dead.
func (r *Remote) awaitReplacement(ctx context.Context, l *link) bool {
	r.mu.Lock()
	isDead := l.isDead
	r.mu.Unlock()
	if !isDead {
		return false
	}
	select {
	case <-l.replaceable:
	case <-ctx.Done():
	}
	return true
}
