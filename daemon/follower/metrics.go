package follower

import (
	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
)

type metrics struct {
	revision prometheus.Gauge
	failures prometheus.Counter
	// evacuated is the number of evacuated failure domains.
	evacuated prometheus.Gauge
}

// init creates the metrics. confirmedAge returns the age of the last confirmation of a
// table, era the era of its known rows.
func (m *metrics) init(registerer prometheus.Registerer, tables []string, confirmedAge func(table string) clock.Millis, era func(table string) int64) {
	m.revision = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "yuccaspread_followed_revision", Help: "Revision of the followed configuration that is in force.",
	})
	m.failures = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "yuccaspread_register_failures_total", Help: "Calls to the followed register that failed.",
	})
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "yuccaspread_evacuated_failure_domains", Help: "Failure domains to whose upstreams nothing new is sent.",
	})
	if registerer == nil {
		return
	}
	registerer.MustRegister(m.revision, m.failures, m.evacuated)
	for _, table := range tables {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "yuccaspread_register_confirmed_age_seconds", ConstLabels: prometheus.Labels{"table": table},
			Help: "Age of the last confirmation, by the register or a peer, that the known rows are current.",
		}, func() float64 { return confirmedAge(table).Duration().Seconds() }))
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "yuccaspread_register_era", ConstLabels: prometheus.Labels{"table": table},
			Help: "Era of the known rows, which rises when the register is restored from a copy.",
		}, func() float64 { return float64(era(table)) }))
	}
}
