package forwarder

import (
	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
)

// metrics holds the forwarder's metrics; init creates them.
type metrics struct {
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	// unconfirmedEnds counts attempts whose upstream did not close the connection before the
	// request went on at another one.
	unconfirmedEnds prometheus.Counter
	// endWaits measures how long requests wait for the end of their last attempt.
	endWaits prometheus.Histogram
	// delegated counts the requests that were passed on to another daemon, and those that could not be.
	delegated *prometheus.CounterVec
	// wentBack counts the streams that went back to the upstream that they were given up at.
	wentBack prometheus.Counter
	// cuts counts the answers that had begun and were not whole, by what ended them and, for a deadline, by
	// the limit that had set it.
	cuts *prometheus.CounterVec
}

func (m *metrics) init(registerer prometheus.Registerer) {
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccaspread_forwarded_requests_total", Help: "Forwarded requests by tier and outcome.",
	}, []string{"tier", "outcome"})
	m.attempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccaspread_forward_attempts_failed_total", Help: "Attempts that were not whole, by how they ended.",
	}, []string{"end"})
	m.durations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "yuccaspread_forwarded_seconds", Help: "Time from the arrival of a request to the end of its answer.",
		Buckets: prometheus.ExponentialBuckets(0.01, 2.5, 9),
	}, []string{"tier"})
	m.unconfirmedEnds = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "yuccaspread_forward_unconfirmed_ends_total", Help: "Attempts whose upstream may still have worked on the request when another one began.",
	})
	m.endWaits = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "yuccaspread_forward_end_wait_seconds", Help: "Time for which a request waited until its last upstream had stopped, or could be presumed to have stopped.",
		Buckets: prometheus.ExponentialBuckets(0.001, 4, 6),
	})
	m.delegated = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccaspread_forward_delegated_total", Help: "Requests passed on to another daemon, as this one reached no upstream, by what became of them there.",
	}, []string{"outcome"})
	m.wentBack = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "yuccaspread_forward_went_back_total", Help: "Streams that went back to the upstream that they were given up at, as no other one went on.",
	})
	m.cuts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccaspread_forward_cuts_total", Help: "Answers that had begun and were not whole, by what ended them.",
	}, []string{"cut_by", "deadline_by"})
	if registerer != nil {
		registerer.MustRegister(m.requests, m.attempts, m.durations, m.unconfirmedEnds, m.endWaits, m.delegated, m.wentBack, m.cuts)
	}
}

func (m *metrics) countCut(cause cutCause, by classifier.DeadlineSource) {
	if cause != cutByDeadline {
		by = ""
	}
	m.cuts.WithLabelValues(string(cause), string(by)).Inc()
}

func (m *metrics) countRequest(tier, outcome string, took clock.Millis) {
	m.requests.WithLabelValues(tier, outcome).Inc()
	m.durations.WithLabelValues(tier).Observe(took.Duration().Seconds())
}

func (m *metrics) countFailedAttempt(e attemptEnd) { m.attempts.WithLabelValues(e.String()).Inc() }
