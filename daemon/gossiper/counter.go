package gossiper

import "github.com/prometheus/client_golang/prometheus"

//nolint:gochecknoglobals // A description never changes.
var membersDesc = prometheus.NewDesc(
	"yuccaspread_members", "Daemons that this one knows, by state.", []string{"state"}, nil,
)

// membersCollector collects the number of members in each state.
type membersCollector struct{ gossiper *Gossiper }

// Describe implements prometheus.Collector.
func (membersCollector) Describe(out chan<- *prometheus.Desc) { out <- membersDesc }

// Collect implements prometheus.Collector.
func (c membersCollector) Collect(out chan<- prometheus.Metric) {
	counts := map[State]int{Alive: 0, Suspect: 0, Leaving: 0, Dead: 0}
	for _, m := range c.gossiper.AllMembers() {
		counts[m.State]++
	}
	for state, count := range counts {
		out <- prometheus.MustNewConstMetric(membersDesc, prometheus.GaugeValue, float64(count), state.String())
	}
}
