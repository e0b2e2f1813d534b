package scheduler

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
)

// Constants for measuring upstreams and for judging them by the measurements.
const (
	// minPause is how long an upstream gets no work after its connections broke.
	// The pause doubles, up to maxPause, until a first token arrives.
	minPause = clock.Second
	maxPause = 16 * clock.Second
	// overdueCheckInterval is the least time between two checks of an upstream
	// with an overdue first token.
	overdueCheckInterval = 500 * clock.Millisecond
	// firstTokenSlackMS is how much later than expected a first token may arrive
	// before it counts as overdue.
	firstTokenSlackMS = 300.0
	// speedLifetime is how long the measured speed of an idle upstream is valid.
	speedLifetime = 20 * clock.Second
	// lengthLifetime is how long the answer lengths of a route are valid without
	// a new answer.
	lengthLifetime = 1 * clock.Minute
	// prefillSlackMS is the usual variation of prefill times.
	prefillSlackMS = 100.0
	// maxSampleRatio bounds a sample for the speed of a hardware generation, as a
	// multiple of the expected time, so that a slow upstream doesn't distort it.
	maxSampleRatio = 2.0
	// minGapTokens is the least number of output tokens from which the time
	// between tokens is measured.
	minGapTokens = 4
)

func (s *State) handleConfirm(m Confirm) {
	if a := s.asks[m.ID]; a != nil {
		a.confirmed = true
	}
}

// expireGrants releases grants that were not confirmed within their lifetime.
func (s *State) expireGrants() {
	for len(s.unconfirmed) > 0 {
		a := s.unconfirmed[0]
		settled := a.confirmed || s.asks[a.ID] != a
		if !settled && a.grantedAt+s.grantLifetime() > s.now {
			return
		}
		s.unconfirmed = s.unconfirmed[1:]
		if !settled {
			s.release(a)
		}
	}
}

func (s *State) handleFirstToken(m FirstToken) {
	a := s.asks[m.ID]
	if a == nil || a.upstream == nil || a.firstTokenAt != 0 {
		return
	}
	s.recordAnswer(a)
	if a.discounted && !s.recount(a) {
		return
	}
	u := a.upstream
	a.confirmed = true
	a.firstTokenAt = s.now
	s.hearTold(u, m.Told)
	s.acceptRun(a)
	cached := m.CachedTokens
	switch {
	case cached == reserver.CachedUnknown:
		cached = s.checkKept(a)
	case a.cachedTokens > 0:
		u.cacheAccuracy.learn(a.cachedTokens, cached)
	}
	if !a.hung {
		s.learnPrefill(a, cached)
	}
	s.index.Store(a.PrefixHashes, u.bit)
	s.finishPrefill(a)
	a.runningIntegral = u.runningIntegralAt(s.now)
	u.pausedUntil = 0
	u.pause = 0
	u.pausedBy = ""
}

// finishPrefill removes an ask's prompt from the pending prefills of its
// upstream, because it was processed or the request ended.
func (s *State) finishPrefill(a *ask) {
	u := a.upstream
	u.pendingPrefills--
	u.pendingPrefillMS = max(u.pendingPrefillMS-a.prefillMS, 0)
	u.generationPendingMS = max(u.generationPendingMS-a.generationPrefillMS, 0)
	u.prefillStartedAt = s.now
	if u.pendingPrefills == 0 {
		u.pendingPrefillMS, u.generationPendingMS = 0, 0
	}
}

// learnPrefill updates the prefill speeds on a first token. The time counts from
// when the prompts ahead of this one were processed. Cold upstreams teach nothing.
func (s *State) learnPrefill(a *ask, cachedTokens int) {
	if a.onCold {
		return
	}
	u := a.upstream
	tookMS := float64(s.now - max(a.grantedAt, u.prefillStartedAt))
	uncachedTokens := float64(max(a.PromptTokens-cachedTokens, 1))
	generationMS := u.generationSpeed.Prefill.At(uncachedTokens)
	u.speed.Prefill.Add(uncachedTokens, tookMS)
	u.measuredAt = s.now
	a.slowdown = 1
	if u.generationSpeed.Prefill.Confident() {
		a.slowdown = (float64(s.now-a.grantedAt) + prefillSlackMS) / (a.generationAheadMS + generationMS + prefillSlackMS)
		tookMS = min(tookMS, maxSampleRatio*generationMS)
		s.recordSlowdown(u, a.slowdown)
	}
	u.generationSpeed.Prefill.Add(uncachedTokens, tookMS)
}

func (s *State) handleEnd(m End) {
	a := s.asks[m.ID]
	if a == nil || a.upstream == nil {
		return
	}
	u := a.upstream
	s.hearTold(u, m.Told)
	believed := s.judgeEnd(a, m.Usage.Outcome)
	if believed {
		u.recordOutcome(m.Usage.Outcome)
	}
	s.endBrittle(a, m.Usage)
	switch m.Usage.Outcome {
	case reserver.Completed:
		s.learnGap(a, m.Usage.OutputTokens)
		u.tentative = false
		s.learnLength(a, m.Usage.OutputTokens)
	case reserver.UpstreamDied:
		if believed {
			s.pauseWork(u, a)
		}
	case reserver.ConnectionBroken:
		if believed && u.consecutiveBreaks >= breaksBeforePause {
			s.pauseWork(u, a)
		}
	case reserver.NotSent:
		u.limit.allowance.Return()
		u.cold.allowance.Return()
	case reserver.Failed, reserver.Cancelled:
	}
	s.release(a)
}

// pauseWork keeps new requests from an upstream for twice the last pause, within its bounds,
// because of how an ask ended there. Attempts that were under way when a pause began tell nothing new.
func (s *State) pauseWork(u *upstream, a *ask) {
	if a.grantedAt <= u.pausedAt {
		return
	}
	last, wasPaused := u.pause, s.now < u.pausedUntil
	u.pause = min(max(2*last, minPause), maxPause)
	u.pausedUntil = s.now + u.pause
	u.pausedAt, u.pausedBy = s.now, a.ID.Daemon
	if !wasPaused || u.pause > last {
		s.emit(UpstreamPaused{Upstream: u.Name, ID: a.ID, Pause: u.pause})
	}
}

// learnLength records the output length of a completed answer, in tokens.
func (s *State) learnLength(a *ask, outputTokens int) {
	if s.lengthSeenAt == nil {
		s.lengthSeenAt = map[string]clock.Millis{}
	}
	s.lengthSeenAt[a.Route] = s.now
	s.lengths.Add(a.Route, a.Organisation, outputTokens)
}

// learnGap adds a sample to the token gaps from a completed answer, at the mean
// number of requests that ran on the upstream meanwhile.
func (s *State) learnGap(a *ask, outputTokens int) {
	if a.firstTokenAt == 0 || outputTokens < minGapTokens || a.onCold {
		return
	}
	u := a.upstream
	decodeMS := float64(s.now - a.firstTokenAt)
	if decodeMS <= 0 {
		return
	}
	running := (u.runningIntegralAt(s.now) - a.runningIntegral) / decodeMS
	gapMS := decodeMS / float64(outputTokens-1)
	generationMS := u.generationSpeed.TokenGap.At(running)
	u.speed.TokenGap.Add(running, gapMS)
	if u.generationSpeed.TokenGap.Confident() {
		slowdown := gapMS / max(generationMS, 1)
		a.slowdown = max(a.slowdown, slowdown)
		gapMS = min(gapMS, maxSampleRatio*generationMS)
		s.recordSlowdown(u, slowdown)
	}
	u.generationSpeed.TokenGap.Add(running, gapMS)
}

// finishProbe readmits an ejected upstream if the probe that ended was fast
// enough.
func (s *State) finishProbe(a *ask) {
	u := a.upstream
	if a.slowdown == 0 {
		u.straggler.AbortProbe(s.now)
		return
	}
	if u.straggler.ObserveProbe(s.now, a.slowdown) {
		s.speeds.Reset(u.Name, u.Generation)
	}
}

// release frees the slot of a granted ask and removes the ask.
func (s *State) release(a *ask) {
	if !a.discounted {
		s.freeSlot(a)
	}
	s.forget(a)
	if u := a.upstream; !u.listed && u.running == 0 {
		s.dropUpstreams()
	}
}

// freeSlot frees the slot of a granted ask.
func (s *State) freeSlot(a *ask) {
	u := a.upstream
	if a.firstTokenAt == 0 {
		s.finishPrefill(a)
	}
	if a.isProbe && u.straggler.Ejected() {
		s.finishProbe(a)
	}
	u.addRunning(s.now, -1)
	u.tokens -= a.PromptTokens + a.expectedOutput
}

// recordSlowdown records the ratio of a measured time to the expected one, and
// ejects a slow upstream unless too large a share of them is ejected already.
func (s *State) recordSlowdown(u *upstream, slowdown float64) {
	u.straggler.Observe(slowdown)
	if !u.straggler.ShouldEject() {
		return
	}
	listed, ejected := 0, 0
	for _, other := range s.upstreams {
		if other.listed {
			listed++
		}
		if other.straggler.Ejected() {
			ejected++
		}
	}
	if float64(ejected+1) <= s.limits.WithDefaults().EjectShare*float64(listed) {
		u.straggler.Eject(s.now)
		s.emit(UpstreamEjected{Upstream: u.Name})
	}
}

// checkUpstreams records a slowdown of upstreams whose next first token is
// overdue. It also resets the speed of upstreams that were idle for long, because
// the measurements may be outdated.
func (s *State) checkUpstreams() {
	for _, u := range s.upstreams {
		s.expireTold(u)
		if u.running == 0 && u.measuredAt != 0 && s.now-u.measuredAt >= speedLifetime {
			s.speeds.Reset(u.Name, u.Generation)
			u.measuredAt = s.now
			u.tentative = true
		}
		if u.pendingPrefills == 0 || s.now-u.overdueCheckedAt < overdueCheckInterval || !u.generationSpeed.Prefill.Confident() {
			continue
		}
		tookMS := float64(s.now - u.prefillStartedAt)
		if tookMS < u.pendingPrefillMS+firstTokenSlackMS {
			continue
		}
		u.overdueCheckedAt = s.now
		s.recordSlowdown(u, tookMS/max(u.pendingPrefillMS, 1))
	}
}

func (s *State) handleAnnounce(m Announce) {
	u := s.findUpstream(m.Upstream)
	if u == nil || s.asks[m.Ask.ID] != nil {
		return
	}
	a := s.newAsk(m.Ask)
	a.confirmed = true
	a.prefillMS = u.speed.Prefill.At(float64(m.Ask.PromptTokens))
	s.addAsk(a)
	s.occupySlot(a, u)
	a.firstTokenMS = a.prefillMS
	s.index.Store(a.PrefixHashes, u.bit)
	if m.FirstToken {
		s.finishPrefill(a)
		a.firstTokenAt = s.now
		a.runningIntegral = u.runningIntegralAt(s.now)
	}
}
