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

// broadcastLimit tells all daemons with a session of a change of the limit that an upstream
// names. Those that lose this scheduler use it, and tell the next one.
func (r *runner) broadcastLimit(e scheduler.LimitChanged) {
	klog.InfoS("limit of an upstream changed", logger.KeyUpstream, e.Upstream, "shard", r.id, "limited", e.Limited, "limit_per_s", e.Limit,
		"heard_ms_ago", r.granter.Clock.Now()-e.HeardAt)
	if e.Limited {
		r.limits[e.Upstream] = e
	} else {
		delete(r.limits, e.Upstream)
	}
	r.granter.mu.Lock()
	sessions := slices.Collect(maps.Values(r.granter.sessions))
	r.granter.mu.Unlock()
	for _, s := range sessions {
		s.deliver(limitMessage(r.id, e, r.granter.Clock.Now()))
	}
}

// sendLimits tells a daemon with a new session of the limits that upstreams name.
func (r *runner) sendLimits(s *Session) {
	for _, e := range r.limits {
		s.deliver(limitMessage(r.id, e, r.granter.Clock.Now()))
	}
}

// forgetLimits forgets the limits of upstreams that are not in the list, sorted by name.
func (r *runner) forgetLimits(upstreams []inventory.Upstream) {
	maps.DeleteFunc(r.limits, func(name string, _ scheduler.LimitChanged) bool {
		_, found := inventory.Lookup(upstreams, name)
		return !found
	})
}

func limitMessage(shard string, e scheduler.LimitChanged, now clock.Millis) *wire.ReserveDown {
	return &wire.ReserveDown{Message: &wire.ReserveDown_Notice{Notice: &wire.UpstreamNotice{
		Shard: shard, Upstream: e.Upstream, HeardMsAgo: int64(max(now-e.HeardAt, 0)), Limited: e.Limited, Limit: e.Limit,
	}}}
}
