package reserver

import (
	"slices"

	"k8s.io/klog/v2"

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
	asked := map[*link]bool{}
	for _, e := range r.entries {
		r.move(e, assignment)
		e.tellConfirmed(now)
		asked[e.link] = asked[e.link] || e.stage == waiting
	}
	paused := now-r.followed > longestFollow
	r.followed = now
	for _, l := range r.links {
		switch {
		case !l.up:
		case l.fellSilent(now, asked[l], paused):
			klog.InfoS("scheduler is silent", "scheduler", l.peer.Name, "heard_ms_ago", now-clock.Millis(l.heard.Load()))
			// Until it answers again asks need not wait for it.
			r.failed[l.peer.Name] = true
			l.cancel()
		case r.isUseless(l, now):
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

// fellSilent probes a scheduler for which asks wait, and tells whether it has said
// nothing for too long since they do. After a pause of this process nothing is
// known. The lock is held.
func (l *link) fellSilent(now clock.Millis, asked, paused bool) bool {
	if !asked || paused {
		l.askedSince = 0
		return false
	}
	if l.askedSince == 0 {
		l.askedSince = now
	}
	silence := now - max(l.askedSince, clock.Millis(l.heard.Load()))
	if silence >= probePause {
		l.post(heartbeat())
	}
	return silence > askSilence
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
