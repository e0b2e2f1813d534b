package granter

import (
	"k8s.io/klog/v2"

	"yuccaspread/common/logger"
	"yuccaspread/daemon/scheduler"
)

// logBelief logs that the scheduler believes something else of an upstream, or of
// a daemon's links, than before.
func (r *runner) logBelief(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.UpstreamPaused:
		klog.InfoS("upstream paused", logger.KeyUpstream, e.Upstream, "shard", r.id, "reported_by", e.ID.Daemon, "ask", e.ID.Number,
			"pause_ms", e.Pause)
	case scheduler.LinksChanged:
		klog.InfoS("links of a daemon judged", "daemon", e.Daemon, "shard", r.id, "cut_off", e.CutOff, "confirmed", e.Confirmed,
			"failed_upstreams", e.Failed, "of_them_answered_others", e.Contradicted, "lasted_ms", e.Lasted)
	case scheduler.UpstreamEjected:
		klog.InfoS("upstream ejected as slow", logger.KeyUpstream, e.Upstream, "shard", r.id)
	}
}
