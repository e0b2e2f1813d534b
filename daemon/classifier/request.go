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
	// PrefixHashes are the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	Fingerprint  uint64

	Method string
	// Path is the path with the query.
	Path   string
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Head is what the classifier reads besides the body.
type Head struct {
	ID      string
	Arrived clock.Millis
	Method  string
	Path    string
	Query   string
	Header  http.Header
}
