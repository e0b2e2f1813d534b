// Package refuser defines the error responses that callers get: problem
// documents that tell whether the request may have run.
package refuser

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"yuccaspread/common/clock"
)

// Outcome tells a caller whether a refused request may have run.
type Outcome string

const (
	// NotRun means that no byte of the request has reached an upstream and
	// none ever will; the caller may send it again.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Refusal is the error that every handler of the request path returns.
type Refusal struct {
	// Status is the HTTP status, 400 to 599.
	Status int
	// Outcome is never empty.
	Outcome Outcome
	// Title is a short text, the same for all refusals of a kind.
	Title string
	// Detail describes what is specific to this request.
	Detail string
	// RetryAfter is the time after which a retry makes sense; 0 omits it.
	RetryAfter clock.Millis
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", r.Status, r.Title, r.Outcome, r.Detail)
}

// New returns a refusal of a request that did not run.
func New(status int, title, detail string) *Refusal {
	return &Refusal{Status: status, Outcome: NotRun, Title: title, Detail: detail}
}

// NewUnknown returns a refusal of a request that may have run.
func NewUnknown(status int, title, detail string) *Refusal {
	return &Refusal{Status: status, Outcome: Unknown, Title: title, Detail: detail}
}

// Write sends the refusal as a problem document. The Retry-After header is
// rounded up to seconds.
func (r *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(struct {
		Title      string       `json:"title"`
		Status     int          `json:"status"`
		Detail     string       `json:"detail"`
		Outcome    Outcome      `json:"outcome"`
		RetryAfter clock.Millis `json:"retry_after_ms,omitempty"`
	}{r.Title, r.Status, r.Detail, r.Outcome, r.RetryAfter})
}
