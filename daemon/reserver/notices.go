package reserver

import (
	"context"
	"maps"
	"slices"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/sharder"
)

// scheduled names the stream and the shard over which a scheduler is known to know what an
// upstream says of itself, and what that is.
type scheduled struct {
	link                      *link
	shard                     string
	limited, leaving, brittle bool
}

// Hear implements Slot. The scheduler is told of each answer in which an upstream says
// something of itself, and of those that end what the scheduler knows of.
func (res *reservation) Hear(notice noticer.Notice) {
	r := res.remote
	r.Noticer.Observe(r.Clock.Now(), res.request.ID, res.upstream.Name, notice)
	r.mu.Lock()
	l, isKnown := res.link, res.limited || res.brittle
	res.told, res.toldAt = notice.Load, r.Clock.Now()
	r.mu.Unlock()
	if l != nil && (notice.Limited || notice.Leaving || notice.Brittle || isKnown) {
		l.pushOrWait(&wire.ReserveUp{Message: &wire.ReserveUp_Notice{Notice: &wire.UpstreamNotice{
			Shard: res.shard, Upstream: res.upstream.Name, Limited: notice.Limited, Limit: notice.Limit, Leaving: notice.Leaving,
			Brittle: notice.Brittle, MaxRefusals: int32(notice.MaxRefusals),
		}}})
	}
}

// unknownNotices returns what the upstreams of a shard say of themselves, as far as its
// scheduler is not known to know it. It goes with each ask, so that a new scheduler knows it
// before it grants a slot.
func (r *Remote) unknownNotices(l *link, shard sharder.Shard) (notices []*wire.UpstreamNotice) {
	for _, u := range shard.Upstreams {
		word, found := r.Noticer.WordOf(u.Name)
		if !found {
			continue
		}
		r.mu.Lock()
		isKnown := r.scheduledNotices[u.Name] == scheduled{l, shard.ID, word.Limited, word.Leaving, word.Brittle}
		r.mu.Unlock()
		if !isKnown {
			notices = append(notices, &wire.UpstreamNotice{
				Shard: shard.ID, Upstream: u.Name, HeardMsAgo: int64(r.Clock.Now() - word.HeardAt),
				Limited: word.Limited, Limit: word.Limit, Leaving: word.Leaving,
				Brittle: word.Brittle, MaxRefusals: int32(word.MaxRefusals),
			})
		}
	}
	return notices
}

// avoidedUpstreams returns the upstreams of a shard that must get nothing from this daemon.
func (r *Remote) avoidedUpstreams(shard sharder.Shard) (names []string) {
	for _, u := range shard.Upstreams {
		if r.Noticer.Avoids(r.Clock.Now(), u.Name) {
			names = append(names, u.Name)
		}
	}
	return names
}

// awaitPause is called when no upstream of a pool serves a request. It waits for the end of the
// first pause that an upstream has asked for, and reports whether that is in time; else it
// returns the time until then, 0 if none pauses.
func (r *Remote) awaitPause(ctx context.Context, w want) (ended bool, left clock.Millis) {
	now := r.Clock.Now()
	var end clock.Millis
	config := r.Source.Current()
	for _, u := range config.Upstreams {
		if u.Pool != w.request.Pool || u.Leaving || slices.Contains(w.excluded, u.Name) || !allowsUpstream(config, w.request, u) {
			continue
		}
		if pauseEnd := r.Noticer.PauseEnd(u.Name); pauseEnd > now && (end == 0 || pauseEnd < end) {
			end = pauseEnd
		}
	}
	if end == 0 {
		return false, 0
	}
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) < (end-now).Duration() {
		return false, end - now
	}
	return clock.Sleep(ctx, end-now), end - now
}

// learnNotice takes what a scheduler, or another daemon, tells of an upstream. It is called with mu held.
func (r *Remote) learnNotice(l *link, notice *wire.UpstreamNotice) {
	heardAt := r.Clock.Now() - clock.Millis(max(notice.GetHeardMsAgo(), 0))
	r.Noticer.Learn(notice.GetUpstream(), noticer.Word{
		Limited: notice.GetLimited(), Limit: notice.GetLimit(), Leaving: notice.GetLeaving(),
		Brittle: notice.GetBrittle(), MaxRefusals: int(notice.GetMaxRefusals()), HeardAt: heardAt,
	})
	if notice.GetShard() == "" {
		return
	}
	r.scheduledNotices[notice.GetUpstream()] = scheduled{l, notice.GetShard(), notice.GetLimited(), notice.GetLeaving(), notice.GetBrittle()}
}

// checkScheduled forgets what a scheduler knows of an upstream if its grant shows that it does
// not. It is called with mu held.
func (r *Remote) checkScheduled(res *reservation) {
	if known := r.scheduledNotices[res.upstream.Name]; known.limited != res.limited || known.brittle != res.brittle {
		delete(r.scheduledNotices, res.upstream.Name)
	}
}

// retainInterval is the time between two looks for words of upstreams that are gone.
const retainInterval = 10 * clock.Second

// forgetGoneUpstreams drops what upstreams said that are no longer listed. It is called with
// mu held.
func (r *Remote) forgetGoneUpstreams(now clock.Millis) {
	config := r.Source.Current()
	if config == r.retainedConfig && now-r.retainedAt < retainInterval {
		return
	}
	r.retainedConfig, r.retainedAt = config, now
	isListed := func(upstream string) bool {
		_, found := inventory.Lookup(config.Upstreams, upstream)
		return found
	}
	r.Noticer.Retain(now, isListed)
	maps.DeleteFunc(r.scheduledNotices, func(upstream string, _ scheduled) bool { return !isListed(upstream) })
}
