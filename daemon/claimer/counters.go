package claimer

import (
	"errors"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// counters counts claims by outcome. The zero value is ready to use.
type counters struct {
	once   sync.Once
	claims *prometheus.CounterVec
}

func (c *counters) countClaim(registerer prometheus.Registerer, err error) {
	c.once.Do(func() {
		c.claims = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccaspread_claims_total", Help: "Claims by their end: claimed, conflict, expired or doubtful.",
		}, []string{"end"})
		if registerer != nil {
			registerer.MustRegister(c.claims)
		}
	})
	c.claims.WithLabelValues(endLabel(err)).Inc()
}

// endLabel returns the value of the label "end" for an error of Claim.
func endLabel(err error) string {
	switch {
	case err == nil:
		return "claimed"
	case errors.Is(err, ErrTaken):
		return "conflict"
	case errors.Is(err, ErrNotClaimed):
		return "expired"
	default:
		return "doubtful"
	}
}
