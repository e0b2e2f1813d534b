// Package classifier authenticates a caller's request and determines its route, pool,
// tier, deadline and whether it may run more than once. The result is a Request.
package classifier

import (
	"math"
	"net/http"
	"strings"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Names of request headers that are specific to this API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Request-Deadline-Ms"
	HeaderClass          = "X-Request-Class"
	HeaderRequestID      = "X-Request-Id"
)

// MaxCount bounds the numbers that a caller names. Larger ones count as this one, so that sums of them, and
// deadlines, don't overflow.
const MaxCount = math.MaxInt32

// Request is one classified request. Except for LastWriteAt, it does not change after its
// classification.
type Request struct {
	// ID is unique among all requests of all daemons.
	ID           string
	Organisation string
	// Key is the caller's Idempotency-Key or a generated one. It is never empty
	// for a request that is not idempotent.
	Key   string
	Route string
	Pool  string
	Kind  inventory.PoolKind
	// Tier is the number of the tier and TierPosition its position, see inventory.TierOrder.
	Tier         int
	TierPosition int
	Idempotent   bool
	// Stream reports whether the caller asked for server-sent events.
	Stream bool
	// Arrived and Deadline are readings of this daemon's clock, and DeadlineBy is the limit that set the deadline.
	Arrived    clock.Millis
	Deadline   clock.Millis
	DeadlineBy DeadlineSource
	// Revision is that of the configuration by which the request was classified.
	Revision int64
	// PromptTokens is an estimate; MaxTokens is the caller's limit of the output, 0
	// for none.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the output, 0 for none.
	ExpectedTokens int
	// ChargedTokens is the number of tokens that count against token limits when
	// the request is admitted; 0 stands for PromptTokens.
	ChargedTokens int
	// PrefixHashes are the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	Fingerprint  uint64
	// PromptParts are the hashes of the parts that the prompt shares with those of other
	// requests, where the caller names them, and PartTokens their lengths.
	PromptParts []uint64
	PartTokens  []int

	// Resumable reports whether another upstream can continue a stream.
	Resumable bool
	// MaxAttempts is the number of upstreams that the request may run on; 0 leaves
	// the bound to the forwarder.
	MaxAttempts int
	// DelegatedRuns is the number of runs that another daemon allows that has passed the request
	// on, 0 for a request that comes from its caller.
	DelegatedRuns int
	// LatencyObjective is the promised time to the answer or its first event, and EventGap the
	// promised pause between events; 0 means no promise.
	LatencyObjective clock.Millis
	EventGap         clock.Millis
	// Patience is the time without data after which the caller disconnects; 0 means
	// that it waits until the deadline.
	Patience clock.Millis
	// LastWriteAt is when data was last written to the caller, 0 before that.
	LastWriteAt clock.Millis
	// LastEventID is the id of the event after which the caller resumes a stream.
	LastEventID string
	// Homes are the regions in which the request may run, by the configuration that it arrived
	// under.
	Homes inventory.Homes

	Method string
	// Host is the host that the caller named; if it is empty, the upstream's address
	// is sent.
	Host string
	// Path is the path with the query.
	Path   string
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// DeadlineSource is the limit that set the deadline of a request. Logs and metrics show it.
type DeadlineSource string

// Sources of deadlines.
const (
	DeadlineByCaller DeadlineSource = "caller"
	// DeadlineByDaemon stands for the time that was left at the daemon that has passed the request on.
	DeadlineByDaemon DeadlineSource = "daemon"
	// DeadlineByRoute stands for the route's timeout where that is the shorter one.
	DeadlineByRoute DeadlineSource = "route"
	DeadlineByTier  DeadlineSource = "tier"
	// DeadlineByDefault stands for the time that holds where neither the caller nor the tier names one.
	DeadlineByDefault DeadlineSource = "default"
)

// AllowedTime returns the time from the arrival to the deadline.
func (r *Request) AllowedTime() clock.Millis { return r.Deadline - r.Arrived }

// PatienceEnd returns the time at which the caller disconnects if it gets no data until
// then, or 0 if it waits until the deadline.
func (r *Request) PatienceEnd() clock.Millis {
	if r.Patience <= 0 {
		return 0
	}
	return max(r.Arrived, r.LastWriteAt) + r.Patience
}

// Repeatable reports whether the request may run again, or continue on another
// upstream, after it may have run.
func (r *Request) Repeatable() bool { return r.Idempotent || (r.Stream && r.Resumable) }

// TargetOf returns the path with the query of a request as its caller wrote them.
func TargetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (h Head) target() string {
	switch {
	case h.Target != "":
		return h.Target
	case h.Query != "":
		return h.Path + "?" + h.Query
	default:
		return h.Path
	}
}

// Head is the input of the classifier besides the body.
type Head struct {
	ID      string
	Arrived clock.Millis
	Method  string
	Host    string
	// Path and Query choose the route.
	Path  string
	Query string
	// Target is the path with the query as the caller wrote them, which upstreams get
	// unchanged; empty stands for Path with Query.
	Target string
	Header http.Header

	// The fields below are set by adapters for callers that use another API. For
	// this API, Classify reads them from Header or the body.

	// Credential is the bearer token, empty for none.
	Credential string
	// Timeout is the time to the deadline that the caller names, 0 for none.
	Timeout clock.Millis
	// PromptTokens, MaxTokens and ExpectedTokens are 0 if the caller does not name
	// them.
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int
	LastEventID    string
	// PromptParts are the parts that the prompt shares with those of other requests, in order.
	PromptParts []PromptPart
}

// PromptPart is a part of a prompt, as a caller names it.
type PromptPart struct {
	ID     string
	Tokens int
}
