package reserver

import (
	"maps"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/sharder"
)

// scheduled names the stream and the shard over which a scheduler is known to know of an
// upstream's limit.
type scheduled struct {
	link  *link
	shard string
}

// Hear implements Slot. The scheduler is told of each answer of an upstream that has a limit,
// as far as the upstream, or the scheduler with its grant, says so.
func (res *reservation) Hear(notice noticer.Notice) {
	r := res.remote
	r.Noticer.Observe(r.Clock.Now(), res.request.ID, res.upstream.Name, notice)
	r.mu.Lock()
	l, limited := res.link, res.limited
	r.mu.Unlock()
	if l != nil && (notice.Limited || limited) {
		l.pushOrWait(&wire.ReserveUp{Message: &wire.ReserveUp_Notice{Notice: &wire.UpstreamNotice{
			Shard: res.shard, Upstream: res.upstream.Name, Limited: notice.Limited, Limit: notice.Limit,
		}}})
	}
}

// unknownLimits returns the limits of a shard's upstreams that its scheduler is not known to
// know. They go with each ask, so that a new scheduler knows them before it grants a slot.
func (r *Remote) unknownLimits(l *link, shard sharder.Shard) (notices []*wire.UpstreamNotice) {
	for _, u := range shard.Upstreams {
		limit, named := r.Noticer.LimitOf(u.Name)
		if !named {
			continue
		}
		r.mu.Lock()
		isKnown := r.knownLimits[u.Name] == scheduled{l, shard.ID}
		r.mu.Unlock()
		if !isKnown {
			notices = append(notices, &wire.UpstreamNotice{
				Shard: shard.ID, Upstream: u.Name, HeardMsAgo: int64(r.Clock.Now() - limit.HeardAt), Limited: true, Limit: limit.PerSecond,
			})
		}
	}
	return notices
}

// learnLimit takes what a scheduler tells of an upstream. It is called with mu held.
func (r *Remote) learnLimit(l *link, notice *wire.UpstreamNotice) {
	heardAt := r.Clock.Now() - clock.Millis(max(notice.GetHeardMsAgo(), 0))
	r.Noticer.Learn(heardAt, notice.GetUpstream(), noticer.Notice{Limited: notice.GetLimited(), Limit: notice.GetLimit()})
	r.recordKnownLimit(notice.GetUpstream(), notice.GetLimited(), scheduled{l, notice.GetShard()})
}

// recordKnownLimit records whether a scheduler knows of an upstream's limit, as its message
// shows. It is called with mu held.
func (r *Remote) recordKnownLimit(upstream string, limited bool, by scheduled) {
	if limited {
		r.knownLimits[upstream] = by
	} else {
		delete(r.knownLimits, upstream)
	}
}

// forgetGoneUpstreams drops what upstreams said that are no longer listed. It is called with
// mu held.
func (r *Remote) forgetGoneUpstreams() {
	config := r.Source.Current()
	if config == r.retainedConfig {
		return
	}
	r.retainedConfig = config
	isListed := func(upstream string) bool {
		_, found := inventory.Lookup(config.Upstreams, upstream)
		return found
	}
	r.Noticer.Retain(isListed)
	maps.DeleteFunc(r.knownLimits, func(upstream string, _ scheduled) bool { return !isListed(upstream) })
}
