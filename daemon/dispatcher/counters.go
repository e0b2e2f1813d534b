package dispatcher

import (
	"errors"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
)

// counters count requests by outcome and the retries. The zero value is ready to use.
type counters struct {
	once         sync.Once
	requests     *prometheus.CounterVec
	retries      prometheus.Counter
	wastedTokens prometheus.Counter
}

func (c *counters) init(registerer prometheus.Registerer) {
	c.once.Do(func() {
		c.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccaspread_requests_total", Help: "Requests by tier and outcome: whole, not_run, unknown or cut.",
		}, []string{"tier", "outcome"})
		c.retries = prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_retries_total", Help: "Attempts that failed after they were sent and may be followed by another.",
		})
		c.wastedTokens = prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccaspread_wasted_prefill_tokens_total", Help: "Prompt tokens of attempts that were sent and brought nothing.",
		})
		if registerer != nil {
			registerer.MustRegister(c.requests, c.retries, c.wastedTokens)
		}
	})
}

func (c *counters) countRequest(registerer prometheus.Registerer, req *classifier.Request, err error) {
	c.init(registerer)
	outcome := "whole"
	var refusal *refuser.Refusal
	switch {
	case errors.As(err, &refusal):
		outcome = string(refusal.Outcome)
	case err != nil:
		outcome = "cut"
	}
	c.requests.WithLabelValues(inventory.TierLabel(req.TierPosition), outcome).Inc()
}

func (c *counters) countWasted(registerer prometheus.Registerer, req *classifier.Request) {
	c.init(registerer)
	c.retries.Inc()
	c.wastedTokens.Add(float64(req.PromptTokens))
}
