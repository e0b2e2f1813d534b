package reserver

import (
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

// follow moves entries whose shard has another scheduler now, announces slots
// that no scheduler knows of, and closes streams that are silent or idle.
func (r *Remote) follow() {
	assignment := r.Assigner.Current()
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		r.move(e, assignment)
		e.tellConfirmed(now)
	}
	for _, l := range r.links {
		if l.up && r.isUseless(l, now) {
			l.cancel()
		}
	}
	for name := range r.failed {
		if !slices.ContainsFunc(assignment.Members, func(m gossiper.Member) bool { return m.Name == name }) {
			delete(r.failed, name)
		}
	}
}

func (r *Remote) move(e *entry, assignment *sharder.Assignment) {
	scheduler, found := assignment.Scheduler(e.shard)
	if !found {
		return
	}
	if l := e.link; l != nil && l.peer.Name != scheduler.Name {
		l.post(cancelAsk(e.number))
		e.lose()
	}
	if e.stage != held || e.link != nil || e.expired() {
		return
	}
	if l := r.linkLocked(scheduler); l.up {
		e.link = l
		l.post(e.announce())
	}
}

// isUseless tells whether a link is silent, or idle for long.
func (r *Remote) isUseless(l *link, now clock.Millis) bool {
	if now-clock.Millis(l.heard.Load()) > silenceLimit {
		return true
	}
	if now-clock.Millis(l.used.Load()) <= idleLimit {
		return false
	}
	for _, e := range r.entries {
		if e.link == l {
			return false
		}
	}
	return true
}

// shards returns a region's shards of the request's pool in the order in
// which to ask them. Requests with the same prefix meet at the same shard,
// unless the one next in rank has fewer that wait.
func (r *Remote) shards(region string, req *classifier.Request) []sharder.Shard {
	all := r.Assigner.Current().Layout.Of(region, req.Pool)
	if len(all) < 2 {
		return all
	}
	key := req.Fingerprint
	if len(req.PrefixHashes) > 0 {
		key = req.PrefixHashes[0]
	}
	order := sharder.Ranked(all, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.load[order[0].ID] > r.load[order[1].ID] {
		order[0], order[1] = order[1], order[0]
	}
	return order
}
