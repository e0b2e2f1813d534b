package scheduler

import (
	"math"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/hasher"
	"yuccaspread/daemon/estimator"
	"yuccaspread/daemon/placer"
)

// maxSkips bounds the asks that one dispatch skips because no upstream that may
// serve them has room.
const maxSkips = 32

// evaluation is the result of matching an ask against all upstreams.
type evaluation struct {
	// eligible is the mask of the upstreams that may serve the ask, with room or
	// without.
	eligible uint64
	// meetsDeadline is set if one of them would meet the deadline when idle, and
	// minTotalMS is the least time that an idle one takes to the end of the answer.
	meetsDeadline bool
	minTotalMS    float64
	// minFirstTokenMS is the least time to the first token.
	minFirstTokenMS float64
	// best is the cheapest upstream with room that meets the deadline, or nil.
	best      *upstream
	bestWork  placer.Work
	bestTimes placer.Times
}

// conservativeWaiting is the number of waiting asks of a tier from which on
// deadlines are judged by the conservative output length, so that slots go to
// asks that will almost surely meet them.
const conservativeWaiting = 16

// outputEstimate returns the output tokens that the deadline is judged by.
func (s *State) outputEstimate(a *ask) int {
	if s.waitingInTier(a.Tier) >= conservativeWaiting {
		return a.conservativeOutput
	}
	return a.expectedOutput
}

// evaluate matches an ask against all upstreams.
func (s *State) evaluate(a *ask) evaluation { return s.evaluateExcept(a, 0) }

// evaluateExcept matches an ask against all upstreams, but never chooses a reserved
// one as best.
func (s *State) evaluateExcept(a *ask, reserved uint64) (eval evaluation) {
	eval.minTotalMS, eval.minFirstTokenMS = math.Inf(1), math.Inf(1)
	leftMS := float64(a.Deadline - s.now)
	underserved := s.shares.underservedVersion(s, a)
	depths := s.index.Match(a.PrefixHashes, s.upstreamMask())
	bestMS := math.Inf(1)
	for _, u := range s.upstreams {
		if !s.mayServe(u, a) {
			continue
		}
		eval.eligible |= u.mask()
		w := s.weigh(u, a, &depths)
		eval.minTotalMS = min(eval.minTotalMS, w.idleMS)
		eval.minFirstTokenMS = min(eval.minFirstTokenMS, min(w.times.PrefillMS, w.idleMS))
		eval.meetsDeadline = eval.meetsDeadline || w.idleMS <= leftMS
		if reserved&u.mask() != 0 || w.loadedMS > leftMS || !s.hasRoom(u, a, w.load, w.times) {
			continue
		}
		score := w.score
		if underserved != "" && u.version == underserved {
			score -= math.MaxInt32
		}
		if score < bestMS {
			bestMS = score
			eval.best, eval.bestWork, eval.bestTimes = u, w.work, w.times
		}
	}
	return eval
}

// weighing is how an ask and an upstream suit each other.
type weighing struct {
	work  placer.Work
	load  placer.Load
	times placer.Times
	// idleMS and loadedMS are the times by which the deadline is judged.
	idleMS, loadedMS float64
	// score is the cost by which upstreams are compared.
	score float64
}

// weigh puts all that counts for an upstream on one scale, milliseconds of requests: the time to the
// end of the answer there, by its queue and by what it has to read of the prompt, and the delay for
// those beside, as often as an attempt has to be made. depths are the blocks of the prompt that
// upstreams hold.
func (s *State) weigh(u *upstream, a *ask, depths *placer.Depths) (w weighing) {
	w.work = placer.Work{PromptTokens: a.PromptTokens, OutputTokens: s.outputEstimate(a)}
	w.work.CachedTokens = max(
		u.cacheAccuracy.expectedHits(int(depths[u.bit])*hasher.BlockTokens, a.PromptTokens), s.keptTokens(u, a),
	)
	w.load = u.load(s.now)
	w.times = placer.PredictTimes(u.speed, w.load, w.work)
	w.idleMS, w.loadedMS = s.deadlineTimes(u, a, w.work, w.load, w.times)
	w.score = (w.times.EndMS + w.times.AddedDelayMS) * u.expectedAttempts()
	return w
}

// deadlineTimes returns the times, in milliseconds, that the deadline of an ask
// is judged by: on the idle upstream, and on the upstream under its current load.
// Only measured values may lead to a refusal: a refused ask yields no measurement,
// so a default estimate that is too high would refuse all later asks as well.
func (s *State) deadlineTimes(u *upstream, a *ask, work placer.Work, load placer.Load, times placer.Times) (idleMS, loadedMS float64) {
	switch {
	case u.unmeasured():
		idleMS = estimator.DefaultPrefillMS(work.UncachedTokens())
		return idleMS, idleMS
	case s.lengthUnknown(a.Route):
		return times.PrefillMS, times.FirstTokenMS
	default:
		return times.EndMS - load.PendingPrefillMS, times.EndMS
	}
}

// lengthUnknown reports whether no answer of the route ended lately, so that the
// expected length must not decide about a deadline.
func (s *State) lengthUnknown(route string) bool {
	seenAt, known := s.lengthSeenAt[route]
	return !known || s.now-seenAt >= lengthLifetime
}

// upstreamMask returns the mask of all upstreams.
func (s *State) upstreamMask() (mask uint64) {
	for _, u := range s.upstreams {
		mask |= u.mask()
	}
	return mask
}

// mayServe reports whether an upstream may serve the ask once it has room.
func (s *State) mayServe(u *upstream, a *ask) bool {
	return u.inService() && !a.excludes(u) && s.shares.permits(u.version, a)
}

// excludes reports whether an ask must not get an upstream by its own word.
func (a *ask) excludes(u *upstream) bool {
	return slices.Contains(a.Excluded, u.Name) || slices.Contains(a.Avoided, u.Name)
}

// hasRoom reports whether an upstream has room for the ask now.
func (s *State) hasRoom(u *upstream, a *ask, load placer.Load, times placer.Times) bool {
	if !u.acceptsWork(s.now) {
		return false
	}
	if u.trialPending(s.now) || !s.withinLimit(u) {
		return false
	}
	if u.straggler.Ejected() {
		return a.Idempotent && u.straggler.ProbeDue(s.now)
	}
	return load.Running < placer.MaxConcurrent(&u.speed.TokenGap, s.tokenGapTargetMS, u.Slots) &&
		placer.MeetsFirstTokenTarget(load, times, s.firstTokenTargetMS, float64(s.now-a.arrivedAt)) &&
		u.tokenBudget.fits(u.tokens, a.PromptTokens+a.expectedOutput) &&
		s.shares.hasRoom(u.version)
}

// dispatch grants slots to waiting asks in queue order. The upstreams that may
// serve an ask without room for it are reserved against later lanes, but not
// against asks of its own lane.
func (s *State) dispatch() {
	s.dispatchStarved()
	defer s.queue.RestoreSkipped()
	var reserved, reservedInLane uint64
	lane := 0
	for skips := 0; skips < maxSkips; {
		e, found := s.queue.Head()
		if !found || e.Value.Tier > s.region.admissionFloor(s.now) {
			return
		}
		if e.Tier > lane {
			reserved, reservedInLane, lane = reserved|reservedInLane, 0, e.Tier
		}
		if !s.anyFree(reserved) {
			return
		}
		eval := s.evaluateExcept(e.Value, reserved)
		switch {
		case eval.best != nil:
			s.grant(e.Value, eval)
		case eval.eligible != 0 && !eval.meetsDeadline:
			s.shed(e)
		default:
			reservedInLane |= eval.eligible
			s.queue.Skip(e)
			skips++
		}
	}
}

// anyFree reports whether an upstream that is not reserved has a free slot or is
// due for a probe.
func (s *State) anyFree(reserved uint64) bool {
	for _, u := range s.upstreams {
		if reserved&u.mask() != 0 || !u.acceptsWork(s.now) || !s.withinLimit(u) {
			continue
		}
		limit := placer.MaxConcurrent(&u.speed.TokenGap, s.tokenGapTargetMS, u.Slots)
		if u.running+u.foreign.count < limit || u.straggler.ProbeDue(s.now) {
			return true
		}
	}
	return false
}

// grant takes an ask from the queue and assigns it to the best upstream.
func (s *State) grant(a *ask, eval evaluation) {
	u := eval.best
	s.queue.Serve(&a.entry)
	a.cachedTokens = eval.bestWork.CachedTokens
	a.prefillMS = eval.bestTimes.PrefillMS
	a.firstTokenMS = eval.bestTimes.FirstTokenMS
	a.isProbe = u.straggler.Ejected()
	if a.isProbe {
		u.straggler.StartProbe(s.now)
	}
	s.occupySlot(a, u)
	if u.limit.named {
		u.limit.allowance.Take()
	}
	s.takeCold(u)
	s.takeBrittle(u)
	s.recordService(a)
	s.shares.recordGrant(a)
	s.pace.recordGrant(s.now, a.entry.Tier)
	s.index.Store(a.PrefixHashes, u.bit)
	u.keeper.Use(s.now, a.Parts, a.PromptTokens+a.expectedOutput)
	s.unconfirmed = append(s.unconfirmed, a)
	s.emit(Grant{
		ID: a.ID, Upstream: u.Name, Version: u.version, Expires: a.grantedAt + s.grantLifetime(), Limited: u.limit.named, Cold: a.onCold,
		Brittle: u.brittle.named,
		Foreign: u.foreign.count, Running: u.running, FirstTokenMS: eval.bestTimes.FirstTokenMS, KeptTokens: a.cachedTokens,
	})
}

// occupySlot counts an ask as running on an upstream.
func (s *State) occupySlot(a *ask, u *upstream) {
	a.upstream = u
	a.version = u.version
	a.grantedAt = s.now
	a.onCold = s.isCold(u)
	u.lastGrantAt = s.now
	if u.pendingPrefills == 0 {
		u.prefillStartedAt = s.now
	}
	u.addRunning(s.now, 1)
	a.occupiedAtGrant = s.occupied(u)
	u.tokens += a.PromptTokens + a.expectedOutput
	u.pendingPrefills++
	u.pendingPrefillMS += a.prefillMS
	a.generationPrefillMS = u.generationSpeed.Prefill.At(float64(max(a.PromptTokens-a.cachedTokens, 1)))
	a.generationAheadMS = u.generationPendingMS
	u.generationPendingMS += a.generationPrefillMS
}

func (s *State) grantLifetime() clock.Millis {
	if s.GrantLifetime > 0 {
		return s.GrantLifetime
	}
	return defaultGrantLifetime
}
