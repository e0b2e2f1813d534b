// Package refuser holds the refusals that callers get: problem documents
// that tell whether the request ran.
package refuser

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"yuccaspread/common/clock"
)

// Outcome tells a caller what became of a refused request.
type Outcome string

const (
	// NotRun means that no byte of the request has reached an upstream and
	// none ever will; the caller may send it again.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Refusal is the error that every filter of the request path returns.
type Refusal struct {
	// Status is the HTTP status, 400 to 599.
	Status int
	// Outcome is never empty.
	Outcome Outcome
	// Title is a short text that is the same for all refusals of its kind.
	Title string
	// Detail is about this request.
	Detail string
	// RetryAfter tells when another try makes sense; 0 leaves it out.
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

// Write sends the refusal as a problem document.
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
