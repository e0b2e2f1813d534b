package reserver

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
)

// Labels of the metrics.
const (
	labelTier   = "tier"
	labelFrom   = "from"
	labelReason = "reason"
)

type metrics struct {
	waits            *prometheus.HistogramVec
	refusals         *prometheus.CounterVec
	crossRegionBytes *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "yuccaspread_reservation_seconds", Help: "Time that a request waited for its slot, by who gave it.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 9),
		}, []string{labelTier, labelFrom}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccaspread_reservation_refusals_total", Help: "Requests that got no slot.",
		}, []string{labelTier, labelReason}),
		crossRegionBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccaspread_cross_region_bytes_total", Help: "Estimated volume of requests sent to other regions.",
		}, []string{labelTier}),
	}
	if registerer != nil {
		registerer.MustRegister(m.waits, m.refusals, m.crossRegionBytes)
	}
	return m
}

func (m *metrics) recordReservation(req *classifier.Request, isLocal bool, waited clock.Millis) {
	from := "scheduler"
	if isLocal {
		from = "local_share"
	}
	m.waits.WithLabelValues(inventory.TierLabel(req.TierPosition), from).Observe(waited.Duration().Seconds())
}

func (m *metrics) recordRefusal(req *classifier.Request, err error) {
	reason := "caller_left"
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		reason = refusal.Title
	}
	m.refusals.WithLabelValues(inventory.TierLabel(req.TierPosition), reason).Inc()
}

func (m *metrics) recordCrossRegion(req *classifier.Request, bytes int64) {
	m.crossRegionBytes.WithLabelValues(inventory.TierLabel(req.TierPosition)).Add(float64(bytes))
}
