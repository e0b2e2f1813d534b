package reserver

import (
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

// reconcile moves reservations to the current scheduler of their shard, announces
// slots that no scheduler knows of, and closes streams that are silent or idle.
func (r *Remote) reconcile() {
	assignment := r.Assigner.Current()
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, res := range r.reservations {
		r.reassign(res, assignment)
		if now-res.movedAt >= handoverTime {
			res.leaveFormer()
		}
		res.reportSent(now)
	}
	r.forgetGoneUpstreams(now)
	for _, l := range r.links {
		if l.connected && r.shouldClose(l, now) {
			l.cancel()
		}
	}
	for name := range r.unreachable {
		if !slices.ContainsFunc(assignment.Members, func(m gossiper.Member) bool { return m.Name == name }) {
			delete(r.unreachable, name)
		}
	}
}

// handoverTime is how long a scheduler still counts a held slot that has moved to another one: it may not
// know of that yet, and would grant the slot again while the request runs.
const handoverTime = 1 * clock.Second

// moveFrom records that a held slot moves from the scheduler at the end of a stream to another one. It is called
// with Remote.mu held.
func (res *reservation) moveFrom(l *link, now clock.Millis) {
	res.leaveFormer()
	res.formerLink, res.movedAt = l, now
}

// leaveFormer frees a slot that has moved at the scheduler that still counts it. It is called with Remote.mu held.
func (res *reservation) leaveFormer() {
	if former := res.takeFormer(); former != nil {
		former.pushOrClose(cancelMessage(res.askID))
	}
}

// takeFormer returns the stream to the scheduler that still counts a slot that has moved, nil for none, and forgets
// it. It is called with Remote.mu held.
func (res *reservation) takeFormer() (former *link) {
	former = res.formerLink
	res.formerLink = nil
	if former == res.link {
		return nil
	}
	return former
}

// reassign detaches a reservation from a stream to another daemon than the
// scheduler of its shard, and announces a held slot to that scheduler. It is
// called with mu held.
func (r *Remote) reassign(res *reservation, assignment *sharder.Assignment) {
	scheduler, found := assignment.Scheduler(res.shard)
	if !found {
		return
	}
	if l := res.link; l != nil && l.peer.Name != scheduler.Name {
		if res.stage == stageHeld {
			res.moveFrom(l, r.Clock.Now())
		} else {
			l.pushOrClose(cancelMessage(res.askID))
		}
		res.detachLink()
	}
	if res.stage != stageHeld || res.link != nil || res.isExpired() {
		return
	}
	if l := r.linkToLocked(scheduler); l.connected {
		res.link = l
		l.pushOrClose(res.announceMessage())
	}
}

// shouldClose reports whether a link was silent for longer than silenceLimit, or
// unused for longer than idleLimit. It is called with mu held.
func (r *Remote) shouldClose(l *link, now clock.Millis) bool {
	if now-clock.Millis(l.lastHeard.Load()) > silenceLimit {
		return true
	}
	if now-clock.Millis(l.lastUsed.Load()) <= idleLimit {
		return false
	}
	for _, res := range r.reservations {
		if res.link == l {
			return false
		}
	}
	return true
}

// rankedShards returns a region's shards of the request's pool in the order in
// which to ask them, none if the request must not run in the region. Requests with the same prefix prefer the same shard, unless
// fewer asks wait at the second shard in the order.
func (r *Remote) rankedShards(region string, req *classifier.Request) []sharder.Shard {
	if !allowsRegion(r.Source.Current(), req, region) {
		return nil
	}
	shards := r.Assigner.Current().Layout.ShardsOf(region, req.Pool)
	if len(shards) < 2 {
		return shards
	}
	key := req.Fingerprint
	switch {
	case len(req.PrefixHashes) > 0:
		key = req.PrefixHashes[0]
	case r.KeptPrompts && len(req.PromptParts) > 0 && req.PartTokens[0] >= req.PromptTokens/2:
		// What is shared is worth more than an even spread.
		key = req.PromptParts[0]
	}
	ranked := sharder.RankShards(shards, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waitingByShard[ranked[0].ID] > r.waitingByShard[ranked[1].ID] {
		ranked[0], ranked[1] = ranked[1], ranked[0]
	}
	return ranked
}
