package granter

import (
	"k8s.io/klog/v2"

	"yuccaspread/common/logger"
	"yuccaspread/daemon/scheduler"
)

// logBelief logs that the scheduler believes something else of an upstream than before.
func (r *runner) logBelief(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.UpstreamPaused:
		klog.InfoS("upstream paused", logger.KeyUpstream, e.Upstream, "shard", r.id, "reported_by", e.ID.Daemon, "ask", e.ID.Number,
			"pause_ms", e.Pause)
	case scheduler.UpstreamEjected:
		klog.InfoS("upstream ejected as slow", logger.KeyUpstream, e.Upstream, "shard", r.id)
	}
}
