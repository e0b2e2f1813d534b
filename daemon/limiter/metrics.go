package limiter

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	refusals      prometheus.Counter
	ownPartLoans  prometheus.Counter
	organisations prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		refusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_limit_refusals_total", Help: "Requests beyond the limits of their organisation.",
		}),
		ownPartLoans: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_limit_own_part_total", Help: "Questions that this daemon answered out of its own part, since the home did not.",
		}),
		organisations: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccaspread_limit_organisations", Help: "Organisations of which this daemon keeps a balance.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.refusals, m.ownPartLoans, m.organisations)
	}
	return m
}
