package forwarder

import (
	"context"
	"net/http"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/refuser"
)

// Attributor remembers which requests crash upstreams, by keys that they have in common.
type Attributor interface {
	// BlockedFor returns for how long a request with the keys is refused, 0 if it is not.
	// It is asked again before each send.
	BlockedFor(request string, keys []uint64) clock.Millis
	// UpstreamCrashed reports that an upstream crashed while a request with the keys was
	// running.
	UpstreamCrashed(upstream string, request uint64, keys []uint64)
	// RequestCompleted reports that a request with the keys was completed.
	RequestCompleted(keys []uint64)
}

// maxBlockedRetryAfter bounds the Retry-After of a request that crashes upstreams. Callers
// may learn sooner than after the whole time that it is served again.
const maxBlockedRetryAfter = 10 * clock.Second

// crashKeys returns the keys of a request: its shared parts and the request itself.
func (r *requestState) crashKeys() []uint64 {
	return append(slices.Clone(r.req.PromptParts), r.req.Fingerprint)
}

// refuseIfBlocked returns a refusal if requests like this one crash upstreams.
func (r *requestState) refuseIfBlocked() error {
	if r.Attributor == nil {
		return nil
	}
	blocked := r.Attributor.BlockedFor(r.req.ID, r.crashKeys())
	if blocked == 0 {
		return nil
	}
	refusal := refuser.New(http.StatusServiceUnavailable, "quarantined", "requests with this content crash the upstreams that run them")
	refusal.RetryAfter = min(blocked, maxBlockedRetryAfter)
	return refusal
}

// attribute reports an attempt that was completed, or during which the upstream crashed. A
// crash is known before the request is sent again; a request that is not is not held up.
func (r *requestState) attribute(ctx context.Context, upstream inventory.Upstream, end attemptEnd, err error) {
	if r.Attributor == nil {
		return
	}
	if end == completed && err == nil && r.status/100 == http.StatusOK/100 {
		r.Attributor.RequestCompleted(r.crashKeys())
	}
	if (end != unanswered && end != broken) || !r.connectionBroke {
		return
	}
	if allowed, _ := r.retryAllowed(end); allowed {
		r.checkCrash(ctx, upstream)
		return
	}
	go r.checkCrash(context.WithoutCancel(ctx), upstream)
}

// checkCrash reports a crash if the upstream is gone. A daemon without a path to any upstream can't tell.
func (r *requestState) checkCrash(ctx context.Context, upstream inventory.Upstream) {
	if r.Sender.HasCrashed(ctx, upstream.Address) && !r.isCutOff() {
		r.Attributor.UpstreamCrashed(upstream.Name, r.req.Fingerprint, r.crashKeys())
	}
}
