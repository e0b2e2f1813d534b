package scheduler

import (
	"cmp"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/detector"
	"yuccaspread/daemon/estimator"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/placer"
	"yuccaspread/daemon/reserver"
)

// upstream is the state of one upstream of the shard.
type upstream struct {
	inventory.Upstream
	// bit is its bit in masks, in [0, placer.MaxUpstreams).
	bit int
	// listed is set while the latest Upstreams message contains it.
	listed bool
	// version comes from the list and from load reports, draining and foreign from load
	// reports.
	version  string
	draining bool
	foreign  foreignLoad
	down     bool
	// pausedUntil is when it gets work again after its connections broke, pausedAt when
	// the last pause began, pause its length and pausedBy the daemon that caused it.
	pausedUntil clock.Millis
	pausedAt    clock.Millis
	pause       clock.Millis
	pausedBy    string
	answers     answers

	// consecutiveBreaks counts the broken connections since the last
	// completed answer.
	consecutiveBreaks int
	// failureRate is the moving share of requests that failed here, in [0, 1].
	failureRate float64

	cacheAccuracy   cacheAccuracy
	speed           *estimator.Speed
	generationSpeed *estimator.Speed
	straggler       detector.Straggler

	// saysLeaving is set once it has said in an answer that it is about to stop.
	saysLeaving bool
	// limit is the rate that it accepts by its own word; addedAt is when this scheduler
	// got the upstream.
	limit   namedLimit
	addedAt clock.Millis
	// evacuated is set while its failure domain is evacuated.
	evacuated bool
	cold      coldState
	brittle   brittleness
	// keeper estimates which parts of prompts it still holds.
	keeper keeper.Keeper

	running int
	// tokens is the sum of the prompt and expected output tokens of the running
	// requests.
	tokens      int
	tokenBudget tokenBudget
	// pendingPrefills is the number of prompts without a first token, and
	// pendingPrefillMS their expected prefill time in total.
	pendingPrefills  int
	pendingPrefillMS float64
	// generationPendingMS is the same by the speed of its hardware generation.
	generationPendingMS float64
	// prefillStartedAt is when the prefill of the current prompt started.
	prefillStartedAt clock.Millis
	overdueCheckedAt clock.Millis
	// measuredAt is when its speed was last measured or reset, 0 before.
	measuredAt clock.Millis
	// tentative limits an upstream whose speed was reset to one request at a time,
	// until one of them is completed. A request that has not ended within
	// trialTimeout no longer blocks the next one. lastGrantAt is when the last
	// request was granted.
	tentative   bool
	lastGrantAt clock.Millis

	// runningIntegral is the integral of running and foreign requests over time
	// until integralAt, in request-milliseconds.
	runningIntegral float64
	integralAt      clock.Millis
}

// mask returns the upstream's bit.
func (u *upstream) mask() uint64 { return 1 << u.bit }

// inService reports whether the upstream is listed, not about to leave and not evacuated.
func (u *upstream) inService() bool {
	return u.listed && !u.Leaving && !u.draining && !u.saysLeaving && !u.evacuated
}

// unmeasured reports whether its speed rests on no valid measurement, so that no
// deadline may be judged by it.
func (u *upstream) unmeasured() bool {
	return u.tentative || u.measuredAt == 0
}

const (
	// breaksBeforePause is the number of consecutive broken connections after which
	// an upstream is paused: one or two happen with healthy upstreams too.
	breaksBeforePause = 3
	// failureWeight is the weight of the newest request in the failure rate.
	failureWeight = 0.1
	// maxFailureRate bounds the failure rate in the cost of an upstream, so that one
	// that always fails can still be chosen.
	maxFailureRate = 0.9
)

// recordOutcome updates the failure counts when a request ended.
func (u *upstream) recordOutcome(outcome reserver.Outcome) {
	failure := 0.0
	switch outcome {
	case reserver.Completed:
		u.consecutiveBreaks = 0
	case reserver.Failed:
		failure = 1
	case reserver.UpstreamDied, reserver.ConnectionBroken:
		failure = 1
		u.consecutiveBreaks++
	case reserver.NotSent, reserver.Cancelled:
		return
	}
	u.failureRate += failureWeight * (failure - u.failureRate)
}

// expectedAttempts returns the expected number of attempts until a request
// succeeds here.
func (u *upstream) expectedAttempts() float64 { return 1 / (1 - min(u.failureRate, maxFailureRate)) }

// trialTimeout is how long a request on a tentative upstream blocks the next one.
const trialTimeout = 1 * clock.Second

// trialPending reports whether a recent request on a tentative upstream has to
// end before the next one.
func (u *upstream) trialPending(now clock.Millis) bool {
	return u.tentative && u.running > 0 && now-u.lastGrantAt < trialTimeout
}

// acceptsWork reports whether the upstream may get work now.
func (u *upstream) acceptsWork(now clock.Millis) bool {
	return u.inService() && !u.down && now >= u.pausedUntil
}

// load returns the load of the upstream at now.
func (u *upstream) load(now clock.Millis) placer.Load {
	leftMS := 0.0
	if u.pendingPrefills > 0 {
		firstMS := u.pendingPrefillMS / float64(u.pendingPrefills)
		leftMS = u.pendingPrefillMS - min(float64(now-u.prefillStartedAt), firstMS)
	}
	return placer.Load{Running: u.running + u.foreign.count, PendingPrefillMS: leftMS}
}

// addRunning changes the number of running requests by delta.
func (u *upstream) addRunning(now clock.Millis, delta int) {
	u.integrateRunning(now)
	u.running += delta
	u.foreign.recordRunning(now, u.running)
}

// integrateRunning brings the integral of running requests up to now, before their number changes.
func (u *upstream) integrateRunning(now clock.Millis) {
	u.runningIntegral = u.runningIntegralAt(now)
	u.integralAt = now
}

// runningIntegralAt returns the integral of running requests until now.
func (u *upstream) runningIntegralAt(now clock.Millis) float64 {
	return u.runningIntegral + float64(u.running+u.foreign.count)*float64(now-u.integralAt)
}

// findUpstream returns the upstream of a name, or nil.
func (s *State) findUpstream(name string) *upstream {
	i, found := slices.BinarySearchFunc(s.upstreams, name, func(u *upstream, name string) int {
		return cmp.Compare(u.Name, name)
	})
	if !found {
		return nil
	}
	return s.upstreams[i]
}

func (s *State) handleUpstreams(m Upstreams) {
	for _, u := range s.upstreams {
		u.listed = false
	}
	for _, entry := range m.List {
		u := s.findUpstream(entry.Name)
		if u == nil {
			u = s.addUpstream(entry)
		}
		if u == nil {
			continue
		}
		if entry.Version != u.Version {
			u.version = entry.Version
		}
		s.hearCold(u, entry)
		u.Upstream = entry
		u.Slots = max(entry.Slots, 1)
		u.listed = true
	}
	s.markEvacuated()
	s.dropUpstreams()
}

// addUpstream adds an upstream, and returns nil if all bits of the mask are taken.
func (s *State) addUpstream(entry inventory.Upstream) *upstream {
	used := uint64(0)
	for _, u := range s.upstreams {
		used |= u.mask()
	}
	for bit := range placer.MaxUpstreams {
		if used&(1<<bit) != 0 {
			continue
		}
		u := &upstream{Upstream: entry, version: entry.Version, bit: bit, integralAt: s.now, addedAt: s.now}
		u.cold.until = s.now + entry.ColdLeftMS
		u.speed = s.speeds.Upstream(entry.Name, entry.Generation)
		u.generationSpeed = s.speeds.Generation(entry.Generation)
		s.upstreams = append(s.upstreams, u)
		slices.SortFunc(s.upstreams, func(a, b *upstream) int { return cmp.Compare(a.Name, b.Name) })
		return u
	}
	return nil
}

// dropUpstreams removes the upstreams that are neither listed nor in use.
func (s *State) dropUpstreams() {
	s.upstreams = slices.DeleteFunc(s.upstreams, func(u *upstream) bool {
		if u.listed || u.running > 0 {
			return false
		}
		s.index.Forget(u.bit)
		s.speeds.Forget(u.Name)
		return true
	})
}

func (s *State) handleLoad(m Load) {
	u := s.findUpstream(m.Upstream)
	if u == nil {
		return
	}
	u.version = m.Version
	u.draining = m.Leaving
	u.integrateRunning(s.now)
	u.foreign.handleReport(m)
	u.tokenBudget.handleReport(s.now, m, u.tokens, u.Slots)
}

func (s *State) handleHealth(m Health) {
	u := s.findUpstream(m.Upstream)
	if u == nil {
		return
	}
	if !m.Up && !u.down {
		// Its cache is lost when it goes down.
		s.index.Forget(u.bit)
		u.keeper.Forget()
	}
	if m.Up && u.down {
		s.presumeCold(u)
	}
	u.down = !m.Up
	u.pausedUntil = 0
}

func (s *State) handleCacheChange(m CacheChange) {
	u := s.findUpstream(m.Upstream)
	if u == nil {
		return
	}
	if m.Gap {
		u.cacheAccuracy.recordGap()
	}
	s.index.Store(m.Stored, u.bit)
	s.index.Remove(m.Removed, u.bit)
}
