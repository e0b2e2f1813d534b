// Package reserver obtains slots on upstreams for the dispatcher. It asks the
// scheduler of a shard over a stream, falls back to a local share of the slots
// while no scheduler can be reached, and uses other regions within a budget.
package reserver

import (
	"context"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/noticer"
)

// Outcome is the result of an attempt that used a slot.
type Outcome int

const (
	// Completed means that the upstream sent its complete answer.
	Completed Outcome = iota
	// Failed means that the upstream answered with an error.
	Failed
	// NotSent means that no byte of the request was sent.
	NotSent
	// Cancelled means that the caller left or the slot was withdrawn.
	Cancelled
	// UpstreamDied means that the upstream can't be reached or sends nothing any more.
	UpstreamDied
	// ConnectionBroken means that the connection of this request broke. The upstream may
	// be healthy, and is avoided only where this happens repeatedly.
	ConnectionBroken
)

// Usage describes a finished attempt: its outcome and its output.
type Usage struct {
	Outcome      Outcome `json:"outcome"`
	OutputTokens int     `json:"output_tokens"`
	// NotRun is set where the upstream stated that it did not run the request, or
	// never got it.
	NotRun bool `json:"not_run,omitempty"`
}

// CachedUnknown is the number of cached tokens where an upstream does not tell it.
const CachedUnknown = -1

// Slot is the right to send one request to one upstream.
type Slot interface {
	// Upstream returns the upstream to send to.
	Upstream() inventory.Upstream
	// Confirm is called right before the request is sent. It reports whether
	// the slot is still valid; where it has expired or was withdrawn, the
	// request must not be sent.
	Confirm() bool
	// Hear reports what the upstream said of itself in its answer.
	Hear(notice noticer.Notice)
	// FirstToken reports the first token and how much of the prompt was cached, CachedUnknown if
	// the upstream does not tell it.
	FirstToken(cachedTokens int)
	// End releases the slot; only the first call has an effect.
	End(usage Usage)
	// Withdrawn returns a channel that is closed when the scheduler has freed the slot, as
	// the request hangs at a daemon without a path to its upstream.
	Withdrawn() <-chan struct{}
}

// Terms are the terms on which a scheduler chose an upstream. The zero value is that of a slot of
// the local share.
type Terms struct {
	Known            bool
	Shard, Scheduler string
	// Running are the requests on the upstream with this one, FirstToken is the expected time to the
	// first token, and KeptTokens are the tokens of the prompt that it was expected to hold.
	Running    int
	FirstToken clock.Millis
	KeptTokens int
}

// TermsOf returns the terms on which a slot's upstream was chosen.
func TermsOf(slot Slot) (terms Terms) {
	if chosen, told := slot.(interface{ Terms() Terms }); told {
		terms = chosen.Terms()
	}
	return terms
}

// Reserver provides slots.
type Reserver interface {
	// Reserve waits for a slot on an upstream that is not excluded. The error is
	// a *refuser.Refusal or the context's error.
	Reserve(ctx context.Context, req *classifier.Request, excluded []string) (slot Slot, err error)
}
