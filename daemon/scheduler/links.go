package scheduler

import (
	"cmp"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
)

// A failure that a daemon reports is evidence about one pair, the daemon and the upstream. It is
// believed of the upstream, unless the upstream answered another daemon meanwhile. A daemon whose
// attempts fail without an answer between has lost its own links if one of the upstreams answered another
// daemon meanwhile, or if several upstreams fail: that two of them die at once is no rare event.
const (
	// minFailures is the number of failures, one of them contradicted, from which on a daemon's links are
	// doubted: a single packet may be lost.
	minFailures = 2
	// minFailedUpstreams is the number of upstreams whose failures are doubted without that, or all if they
	// are fewer, at least minFailures.
	minFailedUpstreams = 3
	// minContradicted is the number of those that have answered other daemons meanwhile from which on
	// a daemon's asks are refused instead of held: fewer may have been restarted.
	minContradicted = 2
	// trialInterval is the least time between two asks of a daemon without a path that get a slot. It
	// is the time for which a failed upstream is paused.
	trialInterval = minPause
	// maxTrials is the number of slots that such a daemon may use at once: a trial that hangs until a
	// dial times out must not keep the next one from noticing that the links are back.
	maxTrials = 2
	// trialShare is the part of the shard's slots, 1 in trialShare, that all such daemons may use together,
	// or minTrialSlots if that is more.
	trialShare    = 8
	minTrialSlots = 2
	// hangTime is how much later than expected a first token may come, as the timeout of a dial, before
	// the attempt counts as failed where the upstream has answered a later one of another daemon.
	hangTime = 1 * clock.Second
	// hangFactor is the factor by which a first token may take longer than expected beside that, unless its
	// daemon is known to have no path.
	hangFactor = 3
	// hangCheckInterval is the time between two searches for attempts that hang.
	hangCheckInterval = 250 * clock.Millisecond
)

// links is what a daemon's attempts tell of its links to the upstreams of the shard since it last got
// an answer from any.
type links struct {
	daemon   string
	failures []linkFailure
	// attempts counts all failures.
	attempts int
	// cutOff is set while the daemon is taken to have no path to the upstreams. Its asks don't wait in the
	// queue then, and get slots for trials only.
	cutOff bool
	// confirmed is set once other daemons have got answers where this one failed.
	confirmed bool
	// cutOffAt is when cutOff was set.
	cutOffAt clock.Millis
	// held are its asks that wait outside of the queue. It is empty unless cutOff is set.
	held []*ask
	// trials are its asks that were let through, in the queue or granted.
	trials      []*ask
	nextTrialAt clock.Millis
}

// linkFailure is the last failure of a daemon's attempts at one upstream.
type linkFailure struct {
	upstream string
	at       clock.Millis
	// contradicted is set if the upstream answered another daemon meanwhile.
	contradicted bool
}

// answer is the last answer that an upstream gave to a daemon.
type answer struct {
	daemon string
	at     clock.Millis
	// grantedAt is when the newest of the answered asks got its slot.
	grantedAt clock.Millis
}

// answers are the last answer of an upstream and the last one to another daemon than that one's.
type answers struct{ last, other answer }

func (r *answers) record(daemon string, now, grantedAt clock.Millis) {
	if r.last.daemon != daemon {
		r.last, r.other = answer{daemon: daemon}, r.last
	}
	r.last.at, r.last.grantedAt = now, max(r.last.grantedAt, grantedAt)
}

// exceptTo returns the last answer to another daemon.
func (r *answers) exceptTo(daemon string) answer {
	if r.last.daemon == daemon {
		return r.other
	}
	return r.last
}

// linksOf returns the links of a daemon, or nil if nothing failed there since its last answer.
func (s *State) linksOf(daemon string) *links {
	if i, found := s.searchLinks(daemon); found {
		return s.links[i]
	}
	return nil
}

func (s *State) searchLinks(daemon string) (i int, found bool) {
	return slices.BinarySearchFunc(s.links, daemon, func(l *links, daemon string) int { return cmp.Compare(l.daemon, daemon) })
}

// judgeEnd records what the end of an attempt tells of its daemon's links, and reports whether its
// outcome is to be believed of the upstream.
func (s *State) judgeEnd(a *ask, outcome reserver.Outcome) (believed bool) {
	switch outcome {
	case reserver.Completed, reserver.Failed:
		s.recordAnswer(a)
	case reserver.UpstreamDied:
		// What was not answered before the upstream answered another daemon tells nothing of it.
		return s.recordFailure(a, a.upstream.answers.exceptTo(a.ID.Daemon).at > a.grantedAt)
	case reserver.ConnectionBroken:
		return s.recordFailure(a, false)
	case reserver.Cancelled:
		if s.hangs(a) {
			s.recordHang(a)
		}
	case reserver.NotSent:
	}
	return true
}

// recordAnswer records that an upstream has answered an ask.
func (s *State) recordAnswer(a *ask) {
	u := a.upstream
	u.answers.record(a.ID.Daemon, s.now, a.grantedAt)
	s.restoreLinks(a.ID.Daemon)
	for _, l := range s.links {
		if l.confirmed {
			continue
		}
		for i := range l.failures {
			if f := &l.failures[i]; f.upstream == u.Name && !f.contradicted {
				f.contradicted = true
				s.judgeLinks(l)
			}
		}
	}
}

// recordFailure records that an attempt failed, and reports whether that is to be believed of the
// upstream. contradicted is set if the upstream is known to have worked meanwhile.
func (s *State) recordFailure(a *ask, contradicted bool) (believed bool) {
	if a.hung {
		return false
	}
	a.hung = a.firstTokenAt == 0
	i, found := s.searchLinks(a.ID.Daemon)
	if !found {
		s.links = slices.Insert(s.links, i, &links{daemon: a.ID.Daemon})
	}
	l := s.links[i]
	l.attempts++
	j := slices.IndexFunc(l.failures, func(f linkFailure) bool { return f.upstream == a.upstream.Name })
	if j < 0 {
		j = len(l.failures)
		l.failures = append(l.failures, linkFailure{upstream: a.upstream.Name})
	}
	l.failures[j].at = s.now
	l.failures[j].contradicted = l.failures[j].contradicted || contradicted
	s.judgeLinks(l)
	return !l.cutOff && !l.failures[j].contradicted
}

// judgeLinks decides by a daemon's failures whether it is cut off.
func (s *State) judgeLinks(l *links) {
	contradicted := l.countContradicted()
	cutOff := l.cutOff || len(l.failures) >= max(minFailures, min(minFailedUpstreams, s.countUsable())) || (contradicted > 0 && l.attempts >= minFailures)
	confirmed := l.confirmed || (cutOff && contradicted >= min(minContradicted, s.countUsable()))
	if cutOff == l.cutOff && confirmed == l.confirmed {
		return
	}
	if !l.cutOff {
		l.cutOffAt = s.now
		s.takeBackPauses(l.daemon)
	}
	l.cutOff, l.confirmed = cutOff, confirmed
	s.emit(LinksChanged{Daemon: l.daemon, CutOff: true, Confirmed: confirmed, Failed: len(l.failures), Contradicted: contradicted})
	s.holdWaiting(l)
	if confirmed {
		s.refuseHeld(l)
	}
}

func (l *links) countContradicted() (count int) {
	for _, f := range l.failures {
		if f.contradicted {
			count++
		}
	}
	return count
}

// countUsable returns the number of upstreams that may get requests once they have room.
func (s *State) countUsable() (count int) {
	for _, u := range s.upstreams {
		if u.inService() && !u.down {
			count++
		}
	}
	return count
}

// takeBackPauses ends the pauses that a daemon's reports caused.
func (s *State) takeBackPauses(daemon string) {
	for _, u := range s.upstreams {
		if u.pausedBy == daemon {
			u.pausedUntil, u.pause, u.pausedBy, u.consecutiveBreaks = 0, 0, "", 0
		}
	}
}

// restoreLinks forgets the failures of a daemon that got an answer. What failed there just before and
// answered nobody since is the upstream's own fault.
func (s *State) restoreLinks(daemon string) {
	i, found := s.searchLinks(daemon)
	if !found {
		return
	}
	l := s.links[i]
	s.links = slices.Delete(s.links, i, i+1)
	if !l.cutOff {
		return
	}
	s.emit(LinksChanged{Daemon: daemon, Failed: len(l.failures), Contradicted: l.countContradicted(), Lasted: s.now - l.cutOffAt})
	for _, f := range l.failures {
		u := s.findUpstream(f.upstream)
		if end := f.at + minPause; u != nil && !f.contradicted && u.answers.last.at < f.at && end > max(s.now, u.pausedUntil) {
			u.pause, u.pausedAt, u.pausedUntil, u.pausedBy = max(u.pause, minPause), s.now, end, daemon
			s.emit(UpstreamPaused{Upstream: u.Name, ID: AskID{Daemon: daemon}, Pause: end - s.now})
		}
	}
	for _, a := range l.held {
		a.held = false
		s.enqueueOrRefuse(a)
	}
}

// hold keeps an ask of a daemon that is cut off outside of the queue, where it would count as waiting
// before others. Once the daemon is known to have no path, its caller is better told to try elsewhere.
func (s *State) hold(l *links, a *ask) {
	switch {
	case l.confirmed && !s.trialDue(l) && l.outrankedTrial(a) == nil:
		s.refuse(a, ReasonNoPath)
	case len(l.held) >= s.queue.Capacity:
		s.refuse(a, ReasonQueueFull)
	default:
		a.held = true
		l.held = append(l.held, a)
	}
}

// unhold removes an ask from those that are held.
func (s *State) unhold(a *ask) {
	a.held = false
	if l := s.linksOf(a.ID.Daemon); l != nil {
		l.held = slices.DeleteFunc(l.held, func(other *ask) bool { return other == a })
	}
}

// holdWaiting takes the waiting asks of a daemon from the queue.
func (s *State) holdWaiting(l *links) {
	for _, a := range s.asksOf(l.daemon) {
		if a.upstream == nil && !a.held && a.trialOf == nil {
			s.queue.Remove(&a.entry)
			a.held = true
			l.held = append(l.held, a)
		}
	}
}

func (s *State) refuseHeld(l *links) {
	held := l.held
	l.held = nil
	for _, a := range held {
		a.held = false
		s.refuse(a, ReasonNoPath)
	}
}

// asksOf returns all asks of a daemon by number.
func (s *State) asksOf(daemon string) (asks []*ask) {
	for id, a := range s.asks {
		if id.Daemon == daemon {
			asks = append(asks, a)
		}
	}
	slices.SortFunc(asks, func(a, b *ask) int { return cmp.Compare(a.ID.Number, b.ID.Number) })
	return asks
}

// trialDue reports whether an ask of a daemon that is cut off may try whether its links are back.
func (s *State) trialDue(l *links) bool {
	if len(l.trials) >= maxTrials || s.now < l.nextTrialAt {
		return false
	}
	trials, slots := 0, 0
	for _, other := range s.links {
		trials += len(other.trials)
	}
	for _, u := range s.upstreams {
		slots += u.Slots
	}
	return trials < max(slots/trialShare, minTrialSlots)
}

// releaseTrials lets held asks through that are due as trials, those of the highest tier first, and refuses those
// that waited too long.
func (s *State) releaseTrials() {
	for _, l := range s.links {
		for len(l.held) > 0 {
			i := l.nextHeld(s.now)
			a := l.held[i]
			overdue := a.latestStart < s.now
			if !overdue {
				s.replaceTrial(l, a)
			}
			if !overdue && !s.trialDue(l) {
				break
			}
			l.held = slices.Delete(l.held, i, i+1)
			a.held = false
			if overdue {
				s.refuse(a, ReasonNoPath)
				continue
			}
			a.trialOf = l
			l.trials = append(l.trials, a)
			l.nextTrialAt = s.now + trialInterval
			s.enqueueOrRefuse(a)
		}
	}
}

// nextHeld returns the index of a held ask that is overdue or else of the first one of the highest tier.
func (l *links) nextHeld(now clock.Millis) (next int) {
	for i, a := range l.held {
		if a.latestStart < now {
			return i
		}
		if a.Tier < l.held[next].Tier {
			next = i
		}
	}
	return next
}

// outrankedTrial returns a trial that still waits in the queue although a has a higher tier, or nil.
func (l *links) outrankedTrial(a *ask) *ask {
	for _, trial := range l.trials {
		if trial.upstream == nil && trial.Tier > a.Tier {
			return trial
		}
	}
	return nil
}

// replaceTrial takes a trial of a lower tier than a from the queue, in which it may wait behind the asks of
// other daemons for as long as these keep the shard busy.
func (s *State) replaceTrial(l *links, a *ask) {
	trial := l.outrankedTrial(a)
	if trial == nil {
		return
	}
	s.queue.Remove(&trial.entry)
	trial.endTrial()
	l.nextTrialAt = s.now
	if l.confirmed {
		s.refuse(trial, ReasonNoPath)
		return
	}
	trial.held = true
	l.held = append(l.held, trial)
}

// endTrial counts a trial as ended.
func (a *ask) endTrial() {
	if a.trialOf != nil {
		a.trialOf.trials = slices.DeleteFunc(a.trialOf.trials, func(trial *ask) bool { return trial == a })
		a.trialOf = nil
	}
}

// hangs reports whether an ask has got no answer for long, while its upstream answered a later one of another
// daemon, or its own daemon is known to have no path. An answer that is reported once it is whole tells
// nothing while it runs.
func (s *State) hangs(a *ask) bool {
	if a.upstream == nil || !a.Stream || a.firstTokenAt != 0 || a.hung {
		return false
	}
	lateMS := float64(s.now - a.grantedAt - hangTime)
	if lateMS < 0 {
		return false
	}
	if l := s.linksOf(a.ID.Daemon); l != nil && l.confirmed {
		return lateMS >= a.firstTokenMS
	}
	return lateMS >= hangFactor*a.firstTokenMS && a.upstream.answers.exceptTo(a.ID.Daemon).grantedAt > a.grantedAt
}

// recordHang records that an ask hangs.
func (s *State) recordHang(a *ask) {
	s.recordFailure(a, a.upstream.answers.exceptTo(a.ID.Daemon).grantedAt > a.grantedAt)
}

// checkHangs records the attempts that hang as failed, and frees the slots of those of daemons without a path.
func (s *State) checkHangs() {
	if s.now < s.nextHangCheck {
		return
	}
	s.nextHangCheck = s.now + hangCheckInterval
	var hanging []*ask
	for _, a := range s.asks {
		if s.hangs(a) || (a.hung && a.firstTokenAt == 0 && !a.discounted) {
			hanging = append(hanging, a)
		}
	}
	slices.SortFunc(hanging, func(a, b *ask) int {
		return cmp.Or(cmp.Compare(a.ID.Daemon, b.ID.Daemon), cmp.Compare(a.ID.Number, b.ID.Number))
	})
	for _, a := range hanging {
		s.recordHang(a)
	}
	for _, a := range hanging {
		if l := s.linksOf(a.ID.Daemon); l != nil && l.cutOff {
			s.discount(a)
		}
	}
}

// discount frees the slot of an ask that hangs at a daemon without a path: either it never reached its
// upstream, or the upstream has had the time to finish it. The ask stays until its daemon reports its end.
func (s *State) discount(a *ask) {
	s.linger(a)
	s.freeSlot(a)
	a.discounted = true
	a.endTrial()
	s.emit(Withdraw{ID: a.ID})
}

// recount occupies the slot of a discounted ask again, which has got an answer after all. It returns false if
// the upstream is gone.
func (s *State) recount(a *ask) bool {
	u := a.upstream
	if s.findUpstream(u.Name) != u {
		return false
	}
	a.discounted = false
	u.addRunning(s.now, 1)
	u.tokens += a.PromptTokens + a.expectedOutput
	u.pendingPrefills++
	return true
}
