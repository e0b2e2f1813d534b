// Package classifier turns what a caller sent into a Request: whose it is,
// which route and tier it has, until when it makes sense and whether it may
// run more than once.
package classifier

import (
	"net/http"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Headers that callers may set besides the usual ones.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderDeadline = "X-Request-Deadline-Ms"
	HeaderClass    = "X-Request-Class"
	HeaderRequest  = "X-Request-Id"
)

// Request is one classified request. Filters after the classifier read it and
// never change it.
type Request struct {
	// ID is unique among all requests of all daemons.
	ID           string
	Organisation string
	// Key is the caller's Idempotency-Key or a minted one. It is never empty
	// for a request that is not idempotent.
	Key        string
	Route      string
	Pool       string
	Kind       inventory.PoolKind
	Tier       int
	Idempotent bool
	// Stream tells whether the caller asked for server-sent events.
	Stream bool
	// Arrived and Deadline are readings of this daemon's clock.
	Arrived  clock.Millis
	Deadline clock.Millis
	// PromptTokens is an estimate, MaxTokens the caller's bound or 0.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's guess of the output, 0 for none.
	ExpectedTokens int
	// ChargedTokens is what the request counts against limits of tokens when it
	// is admitted; 0 stands for those of the prompt.
	ChargedTokens int
	// PrefixHashes are the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	Fingerprint  uint64

	// Resumable tells that another upstream may go on with a stream.
	Resumable bool
	// MaxAttempts bounds the upstreams that the request may run on; 0 is no
	// bound.
	MaxAttempts int
	// Objective is the time to the answer or its first event, and Gap the pause
	// between events, that callers are promised; 0 is none.
	Objective clock.Millis
	Gap       clock.Millis
	// Patience is the time after which the caller leaves if nothing has come; 0
	// is until the deadline.
	Patience clock.Millis
	// Heard is when the last part of the answer went to the caller, 0 before any.
	Heard clock.Millis
	// LastEvent is the event after which the caller resumes a stream.
	LastEvent string

	Method string
	// Host is the host that the caller named; empty sends the upstream's.
	Host string
	// Path is the path with the query.
	Path   string
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Leaves returns when the caller leaves if it hears nothing until then, 0 where
// that is at the deadline.
func (r *Request) Leaves() clock.Millis {
	if r.Patience <= 0 {
		return 0
	}
	return max(r.Arrived, r.Heard) + r.Patience
}

// Repeatable tells whether the request may run again, or go on elsewhere,
// after it may have run.
func (r *Request) Repeatable() bool { return r.Idempotent || (r.Stream && r.Resumable) }

// Head is what the classifier reads besides the body.
type Head struct {
	ID      string
	Arrived clock.Millis
	Method  string
	Host    string
	Path    string
	Query   string
	Header  http.Header

	// The fields below are read by adapters that meet callers in another form
	// than ours; here they stand in the header or the body.

	// Credential is the bearer token, empty for none.
	Credential string
	// Span is the time that the caller waits, 0 where it does not say.
	Span clock.Millis
	// PromptTokens, MaxTokens and ExpectedTokens are 0 where the caller does
	// not say.
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int
	LastEvent      string
}
