package granter

import (
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/scheduler"
)

// broadcastNotice tells all daemons with a session that an upstream says something else of
// itself. Those that lose this scheduler use it, and tell the next one.
func (r *runner) broadcastNotice(e scheduler.NoticeChanged) {
	klog.InfoS("scheduler learned what an upstream says of itself", logger.KeyUpstream, e.Upstream, "shard", r.id, "limited", e.Limited,
		"limit_per_s", e.Limit, "leaving", e.Leaving, "brittle", e.Brittle, "max_refusals_per_s", e.MaxRefusals,
		"heard_ms_ago", r.granter.Clock.Now()-e.HeardAt)
	if e.Limited || e.Leaving || e.Brittle {
		r.notices[e.Upstream] = e
	} else {
		delete(r.notices, e.Upstream)
	}
	r.granter.mu.Lock()
	sessions := slices.Collect(maps.Values(r.granter.sessions))
	r.granter.mu.Unlock()
	for _, s := range sessions {
		s.deliver(noticeMessage(r.id, e, r.granter.Clock.Now()))
	}
}

// sendNotices tells a daemon with a new session what upstreams say of themselves.
func (r *runner) sendNotices(s *Session) {
	for _, e := range r.notices {
		s.deliver(noticeMessage(r.id, e, r.granter.Clock.Now()))
	}
}

// forgetNotices forgets the upstreams that are not in the list, sorted by name.
func (r *runner) forgetNotices(upstreams []inventory.Upstream) {
	maps.DeleteFunc(r.notices, func(name string, _ scheduler.NoticeChanged) bool {
		_, found := inventory.Lookup(upstreams, name)
		return !found
	})
}

func noticeMessage(shard string, e scheduler.NoticeChanged, now clock.Millis) *wire.ReserveDown {
	return &wire.ReserveDown{Message: &wire.ReserveDown_Notice{Notice: &wire.UpstreamNotice{
		Shard: shard, Upstream: e.Upstream, HeardMsAgo: int64(max(now-e.HeardAt, 0)), Limited: e.Limited, Limit: e.Limit, Leaving: e.Leaving,
		Brittle: e.Brittle, MaxRefusals: int32(e.MaxRefusals),
	}}}
}

// tellWords tells a daemon with a new session what this one knows of upstreams, whoever schedules them. One
// that has just started knows nothing of them. What finds no room is left out.
func (s *Session) tellWords() {
	if s.granter.Noticer == nil || s.daemon == s.granter.View.Self().Name {
		return
	}
	now := s.granter.Clock.Now()
	for upstream, word := range s.granter.Noticer.Words() {
		notice := scheduler.NoticeChanged{
			Upstream: upstream, HeardAt: word.HeardAt, Limited: word.Limited, Limit: word.Limit, Leaving: word.Leaving,
			Brittle: word.Brittle, MaxRefusals: word.MaxRefusals,
		}
		if !s.outgoing.TryPush(noticeMessage("", notice, now)) {
			return
		}
	}
}
