package scheduler

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/hasher"
	"yuccaspread/daemon/reserver"
)

// Times of the watch over upstreams.
const (
	// firstPause is how long nothing goes to an upstream whose connection
	// broke; it doubles until a first token comes.
	firstPause   = clock.Second
	longestPause = 16 * clock.Second
	// watchEvery is the least time between two looks at one overdue prompt.
	watchEvery = 500 * clock.Millisecond
	// watchSlack is what any first token may take beyond expectation.
	watchSlack = 300.0
	// clippedRatio bounds what one sample teaches a generation.
	clippedRatio = 2.0
	// minGapTokens is the least output that tells the time between tokens.
	minGapTokens = 4
)

func (s *State) takeConfirm(m Confirm) {
	if a := s.asks[m.ID]; a != nil {
		a.confirmed = true
	}
}

// expireGrants takes back grants that were never used.
func (s *State) expireGrants() {
	for len(s.unconfirmed) > 0 {
		a := s.unconfirmed[0]
		done := a.confirmed || s.asks[a.ID] != a
		if !done && a.granted+s.grantLifetime() > s.now {
			return
		}
		s.unconfirmed = s.unconfirmed[1:]
		if !done {
			s.release(a)
		}
	}
}

func (s *State) takeFirstToken(m FirstToken) {
	a := s.asks[m.ID]
	if a == nil || a.upstream == nil || a.started != 0 {
		return
	}
	u := a.upstream
	a.confirmed = true
	a.started = s.now
	s.learnPrefill(a, m.CachedTokens)
	s.correctIndex(a, m.CachedTokens)
	s.stopReading(a)
	a.runningSum = u.sum(s.now)
	u.pausedUntil = 0
	u.pause = 0
}

// stopReading counts a prompt as read, or as never to be read.
func (s *State) stopReading(a *ask) {
	u := a.upstream
	u.reading--
	u.readingMS = max(u.readingMS-a.prefillMS, 0)
	u.readingSince = s.now
	if u.reading == 0 {
		u.readingMS = 0
	}
}

// learnPrefill measures from when the prompt had the upstream for itself.
func (s *State) learnPrefill(a *ask, cached int) {
	u := a.upstream
	tookMS := float64(s.now - max(a.granted, u.readingSince))
	fresh := float64(max(a.PromptTokens-cached, 1))
	kindMS := u.generation.Prefill.At(fresh)
	s.observe(u, (tookMS+1)/(kindMS+1))
	u.generation.Prefill.Add(fresh, min(tookMS, clippedRatio*kindMS))
	u.speed.Prefill.Add(fresh, tookMS)
}

// correctIndex follows what the response says of the cache.
func (s *State) correctIndex(a *ask, cached int) {
	hit := min(cached/hasher.BlockTokens, len(a.PrefixHashes))
	predicted := a.cached / hasher.BlockTokens
	if predicted > hit {
		// What an upstream evicted once, it may have evicted more of; its next
		// prompts tell. This prompt itself is cached there now.
		s.index.Remove(a.PrefixHashes[hit:], a.upstream.place)
	}
	s.index.Store(a.PrefixHashes, a.upstream.place)
}

func (s *State) takeEnd(m End) {
	a := s.asks[m.ID]
	if a == nil || a.upstream == nil {
		return
	}
	u := a.upstream
	switch m.Usage.Outcome {
	case reserver.Whole:
		s.learnGap(a, m.Usage.OutputTokens)
		s.lengths.Add(a.Route, a.Organisation, m.Usage.OutputTokens)
	case reserver.Died:
		u.pause = min(max(2*u.pause, firstPause), longestPause)
		u.pausedUntil = s.now + u.pause
	case reserver.Failed, reserver.NotSent, reserver.Cancelled:
	}
	s.release(a)
}

func (s *State) learnGap(a *ask, output int) {
	if a.started == 0 || output < minGapTokens {
		return
	}
	u := a.upstream
	span := float64(s.now - a.started)
	if span <= 0 {
		return
	}
	running := (u.sum(s.now) - a.runningSum) / span
	gapMS := span / float64(output-1)
	kindMS := u.generation.Gap.At(running)
	s.observe(u, gapMS/max(kindMS, 1))
	u.generation.Gap.Add(running, min(gapMS, clippedRatio*kindMS))
	u.speed.Gap.Add(running, gapMS)
}

// release frees the slot of a granted ask and forgets it.
func (s *State) release(a *ask) {
	u := a.upstream
	if a.started == 0 {
		s.stopReading(a)
	}
	u.count(s.now, -1)
	u.tokens -= a.PromptTokens + a.output
	delete(s.asks, a.ID)
	if !u.listed && u.running == 0 {
		s.dropUpstreams()
	}
}

// observe judges an upstream by a measured time over the expected one.
func (s *State) observe(u *upstream, ratio float64) {
	u.straggler.Observe(s.now, ratio)
	if !u.straggler.Slow() {
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
	}
}

// watchPrefill judges upstreams whose next first token is overdue.
func (s *State) watchPrefill() {
	for _, u := range s.upstreams {
		if u.reading == 0 || s.now-u.watched < watchEvery {
			continue
		}
		tookMS := float64(s.now - u.readingSince)
		if tookMS < u.readingMS+watchSlack {
			continue
		}
		u.watched = s.now
		s.observe(u, tookMS/max(u.readingMS, 1))
	}
}

func (s *State) takeAnnounce(m Announce) {
	u := s.upstream(m.Upstream)
	if u == nil || s.asks[m.Ask.ID] != nil {
		return
	}
	a := s.newAsk(m.Ask)
	a.confirmed = true
	a.prefillMS = u.speed.Prefill.At(float64(m.Ask.PromptTokens))
	s.remember(a)
	s.occupy(a, u)
	s.index.Store(a.PrefixHashes, u.place)
	if m.FirstToken {
		s.stopReading(a)
		a.started = s.now
		a.runningSum = u.sum(s.now)
	}
}
