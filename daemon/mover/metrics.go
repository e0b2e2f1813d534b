package mover

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	leaseHeld prometheus.Gauge
	epoch     prometheus.Gauge
	stops     prometheus.Counter
	stage     *prometheus.GaugeVec
	share     *prometheus.GaugeVec
	orders    *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		leaseHeld: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccaspread_moves_lease_held", Help: "1 while this daemon leads the moves.",
		}),
		epoch: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccaspread_moves_epoch", Help: "Fencing number of this daemon's last leadership.",
		}),
		stops: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_moves_stops_total", Help: "Versions that this daemon stopped on its own evidence.",
		}),
		stage: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "yuccaspread_moves_stage", Help: "Stage of a move, told by its leader.",
		}, []string{"move"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "yuccaspread_moves_share", Help: "Share of the new version in force at this daemon.",
		}, []string{"move"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccaspread_moves_orders_total", Help: "Orders to upstreams.",
		}, []string{"kind", "result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.leaseHeld, m.epoch, m.stops, m.stage, m.share, m.orders)
	}
	return m
}
