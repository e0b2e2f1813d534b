package granter

import (
	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
)

// Labels of the metrics.
const (
	labelTier     = "tier"
	labelReason   = "reason"
	labelUpstream = "upstream"
	labelShard    = "shard"
)

type metrics struct {
	waits      *prometheus.HistogramVec
	refusals   *prometheus.CounterVec
	running    *prometheus.GaugeVec
	lowestTier *prometheus.GaugeVec
	failures   prometheus.Counter
	coldGrants prometheus.Counter
	// sharedGrants counts the grants on upstreams that others use too.
	sharedGrants prometheus.Counter
	// brittleRefusals counts the requests that brittle upstreams refused.
	brittleRefusals prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "yuccaspread_scheduler_wait_seconds", Help: "Time from an ask to its grant; its count is the number of grants.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 9),
		}, []string{labelTier}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccaspread_scheduler_refusals_total", Help: "Refused asks.",
		}, []string{labelTier, labelReason}),
		running: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "yuccaspread_scheduler_running", Help: "Granted slots in use.",
		}, []string{labelUpstream}),
		lowestTier: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "yuccaspread_scheduler_lowest_tier", Help: "Rank of the lowest tier that the shard admits.",
		}, []string{labelShard}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_scheduler_failures_total", Help: "Schedulers of shards that failed and were started anew.",
		}),
		coldGrants: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_scheduler_cold_grants_total", Help: "Slots granted on upstreams that were cold.",
		}),
		sharedGrants: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_scheduler_shared_grants_total", Help: "Slots granted on upstreams that had requests of other schedulers too.",
		}),
		brittleRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_scheduler_brittle_refusals_total", Help: "Requests refused by upstreams that crash when they refuse too many.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.waits, m.refusals, m.running, m.lowestTier, m.failures, m.coldGrants, m.sharedGrants, m.brittleRefusals)
	}
	return m
}

func (m *metrics) recordGrant(tier string, state *askState, now clock.Millis) {
	m.waits.WithLabelValues(tier).Observe((now - state.askedAt).Duration().Seconds())
	m.running.WithLabelValues(state.upstream).Inc()
}

func (m *metrics) recordRefusal(tier string, reason wire.RefusalReason) {
	m.refusals.WithLabelValues(tier, reasonName(reason)).Inc()
}

// recordRemoval counts the end of an ask or grant.
func (m *metrics) recordRemoval(state *askState) {
	if state.upstream != "" {
		m.running.WithLabelValues(state.upstream).Dec()
	}
}

func reasonName(reason wire.RefusalReason) string {
	switch reason {
	case wire.RefusalReason_REFUSAL_REASON_DEADLINE:
		return "deadline"
	case wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL:
		return "queue_full"
	case wire.RefusalReason_REFUSAL_REASON_NO_UPSTREAM:
		return "no_upstream"
	case wire.RefusalReason_REFUSAL_REASON_OBJECTIVE:
		return "objective"
	case wire.RefusalReason_REFUSAL_REASON_NO_PATH:
		return "no_path"
	case wire.RefusalReason_REFUSAL_REASON_NOT_SCHEDULER, wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED:
		return "other"
	default:
		return "other"
	}
}
