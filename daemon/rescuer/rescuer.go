// Package rescuer keeps the panic of one request from ending others, or a connection without a word.
package rescuer

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/logger"
	"yuccaspread/daemon/refuser"
)

// Bounds of what is logged of a panic. The stack begins with the place of the panic.
const (
	maxReasonBytes = 256
	maxStackBytes  = 4 << 10
)

// Rescuer logs and counts the panics of requests. It is safe for concurrent use; a nil Rescuer only
// logs them.
type Rescuer struct {
	panics prometheus.Counter
}

// New returns a Rescuer whose metric is registered.
func New(registerer prometheus.Registerer) *Rescuer {
	r := &Rescuer{panics: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "yuccaspread_request_panics_total", Help: "Requests whose handling panicked, which is a fault of this program.",
	})}
	registerer.MustRegister(r.panics)
	return r
}

// Refuse records a panic and returns the refusal of the request. It is called by the deferred function
// that has recovered the reason, where the stack is still that of the panic.
func (r *Rescuer) Refuse(reason any, id, organisation string) *refuser.Refusal {
	stack := debug.Stack()
	text := fmt.Sprint(reason)
	klog.ErrorS(nil, "request panicked", logger.KeyRequest, id, logger.KeyOrganisation, organisation,
		"reason", text[:min(len(text), maxReasonBytes)], "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if r != nil {
		r.panics.Inc()
	}
	return refuser.NewUnknown(http.StatusBadGateway, "internal error", "this daemon failed; the request may have run")
}
