package granter

import (
	"strconv"

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
	}
	if registerer != nil {
		registerer.MustRegister(m.waits, m.refusals, m.running, m.lowestTier)
	}
	return m
}

func (m *metrics) granted(o *outstanding, now clock.Millis) {
	m.waits.WithLabelValues(strconv.Itoa(o.ask.Tier)).Observe((now - o.asked).Duration().Seconds())
	m.running.WithLabelValues(o.upstream).Inc()
}

func (m *metrics) refused(o *outstanding, reason wire.RefusalReason) {
	m.refusals.WithLabelValues(strconv.Itoa(o.ask.Tier), reasonName(reason)).Inc()
}

func (m *metrics) forget(o *outstanding) {
	if o.upstream != "" {
		m.running.WithLabelValues(o.upstream).Dec()
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
	case wire.RefusalReason_REFUSAL_REASON_NOT_SCHEDULER, wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED:
		return "other"
	default:
		return "other"
	}
}
