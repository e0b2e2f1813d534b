// Package scheduler assigns the slots of a shard's upstreams to waiting
// requests. It is a deterministic state machine without input or output of its
// own: it takes typed messages with a clock reading and returns typed effects.
package scheduler

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/reserver"
)

// AskID identifies an ask by the asking daemon and its number at that daemon.
type AskID struct {
	Daemon string `json:"daemon"`
	Number uint64 `json:"number"`
}

// Message is one of the message types of this package.
type Message interface{ message() }

// Ask requests a slot for one request.
type Ask struct {
	ID           AskID  `json:"id"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Tier is the number of the tier, see inventory.TierOrder.
	Tier     int          `json:"tier"`
	Deadline clock.Millis `json:"deadline_ms"`
	// Objective is when the first part of the answer is due, 0 for no objective.
	Objective clock.Millis `json:"objective_ms,omitempty"`
	// Patience is when the caller leaves if no part of the answer has arrived, 0 for
	// the deadline.
	Patience     clock.Millis `json:"patience_ms,omitempty"`
	PromptTokens int          `json:"prompt_tokens"`
	// MaxTokens is the caller's limit on output tokens, 0 for none.
	MaxTokens    int      `json:"max_tokens"`
	Idempotent   bool     `json:"idempotent"`
	PrefixHashes []uint64 `json:"prefix_hashes,omitempty"`
	// Parts are the parts that the prompt shares with others, where upstreams tell nothing of what
	// they hold.
	Parts       []keeper.Part `json:"parts,omitempty"`
	Fingerprint uint64        `json:"fingerprint"`
	// ObjectiveOnly is set if the ask is refused at once where it would miss its objective,
	// because it can be made elsewhere.
	ObjectiveOnly bool `json:"objective_only,omitempty"`
	// Stream is set if the first token is reported as it comes, not with the whole answer.
	Stream bool `json:"stream,omitempty"`
	// Excluded names upstreams on which earlier attempts failed.
	Excluded []string `json:"excluded,omitempty"`
	// Avoided names upstreams that must get nothing from the asking daemon.
	Avoided []string `json:"avoided,omitempty"`
}

// Cancel withdraws a waiting ask, or returns a grant that was not used.
type Cancel struct {
	ID AskID `json:"id"`
}

// Confirm reports that the ingress starts to send a granted request. A grant
// that is neither confirmed nor ended before it expires goes to another ask.
type Confirm struct {
	ID AskID `json:"id"`
}

// FirstToken reports the first token of a granted request. CachedTokens is reserver.CachedUnknown if
// the upstream does not tell it.
type FirstToken struct {
	ID           AskID `json:"id"`
	CachedTokens int   `json:"cached_tokens"`
	Told         Told  `json:"told,omitzero"`
}

// End reports that a granted request no longer uses its slot.
type End struct {
	ID    AskID          `json:"id"`
	Usage reserver.Usage `json:"usage"`
	Told  Told           `json:"told,omitzero"`
}

// Told is what an upstream told of its load with the answer to a request, Age before now. The zero
// value is that of one that told nothing.
type Told struct {
	Age clock.Millis `json:"age_ms,omitempty"`
	// Running and Waiting are the requests on it, and Slots those that it runs at once, above 0.
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	Slots   int `json:"slots,omitempty"`
}

// Announce tells a new scheduler of a grant that an earlier one gave.
type Announce struct {
	Ask        Ask    `json:"ask"`
	Upstream   string `json:"upstream"`
	FirstToken bool   `json:"first_token"`
}

// DaemonGone ends all asks and grants of a daemon.
type DaemonGone struct {
	Daemon string `json:"daemon"`
}

// Upstreams replaces the list of the shard's upstreams; running requests on
// upstreams that are no longer listed are tracked until they end.
type Upstreams struct {
	List []inventory.Upstream `json:"list"`
}

// Rules replaces the rules in force.
type Rules struct {
	Tiers []inventory.Tier `json:"tiers"`
	// TierOffsets are those of organisations, without repeats.
	TierOffsets []int            `json:"tier_offsets,omitempty"`
	Weights     map[string]int   `json:"weights"`
	Limits      inventory.Limits `json:"limits"`
	// Cold holds, by pool, what its upstreams take while they are cold.
	Cold map[string]inventory.ColdLimit `json:"cold,omitempty"`
	// Memory holds, by pool, the memory of each of its upstreams in tokens.
	Memory map[string]int `json:"memory,omitempty"`
	// Evacuated names the failure domains whose upstreams get nothing new.
	Evacuated []string `json:"evacuated,omitempty"`
}

// Load is a load report of an upstream, taken at Time, which may be old.
type Load struct {
	Upstream string       `json:"upstream"`
	Time     clock.Millis `json:"time_ms"`
	Running  int          `json:"running"`
	Waiting  int          `json:"waiting"`
	Version  string       `json:"version"`
	Leaving  bool         `json:"leaving"`
}

// CacheChange is a batch of cache events, which may be late or incomplete.
type CacheChange struct {
	Upstream string `json:"upstream"`
	// Gap is set if events before these were lost.
	Gap     bool     `json:"gap"`
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

// Health reports whether an upstream answers at all.
type Health struct {
	Upstream string `json:"upstream"`
	Up       bool   `json:"up"`
}

// Notice is what an upstream said of itself in an answer at HeardAt: the rate of requests, per
// second, that it accepts from all daemons together, where Limited is unset if it named none,
// and whether it is about to stop.
type Notice struct {
	Upstream string       `json:"upstream"`
	HeardAt  clock.Millis `json:"heard_ms"`
	Limited  bool         `json:"limited"`
	Limit    float64      `json:"limit"`
	Leaving  bool         `json:"leaving,omitempty"`
	// Brittle is set if it crashes when it has to refuse more than MaxRefusals requests in a second.
	Brittle     bool `json:"brittle,omitempty"`
	MaxRefusals int  `json:"max_refusals,omitempty"`
}

// Fleet reports whether this daemon may be on the smaller side of a partition, and another
// scheduler on the other side use the same upstreams.
type Fleet struct {
	Divided bool `json:"divided"`
	// Part is the share of the fleet that this daemon can see, where other parts may be alive, in
	// (0, 1); 0 for all.
	Part float64 `json:"part,omitempty"`
}

// Shares replaces the shares of traffic by version for a move; versions that
// are not named get the rest. A share of 0 stops a version.
type Shares struct {
	Shares map[string]float64 `json:"shares"`
	// Routes restricts a version to these routes; no entry means all routes.
	Routes map[string][]string `json:"routes,omitempty"`
	// NonIdempotent lists the versions that get non-idempotent requests too.
	NonIdempotent []string `json:"non_idempotent,omitempty"`
}

// RegionTier reports the lowest tier, which has the highest rank, that another
// scheduler of the region still admits.
type RegionTier struct {
	Scheduler string `json:"scheduler"`
	Lowest    int    `json:"lowest"`
}

// Tick advances the clock without another event.
type Tick struct{}

func (Ask) message()         {}
func (Cancel) message()      {}
func (Confirm) message()     {}
func (FirstToken) message()  {}
func (End) message()         {}
func (Announce) message()    {}
func (DaemonGone) message()  {}
func (Upstreams) message()   {}
func (Rules) message()       {}
func (Load) message()        {}
func (CacheChange) message() {}
func (Health) message()      {}
func (Notice) message()      {}
func (Fleet) message()       {}
func (Shares) message()      {}
func (RegionTier) message()  {}
func (Tick) message()        {}

// Effect is one of the effect types of this package.
type Effect interface{ effect() }

// Grant assigns a slot to an ask.
type Grant struct {
	ID       AskID  `json:"id"`
	Upstream string `json:"upstream"`
	Version  string `json:"version"`
	// Expires is when the grant ends unless it is confirmed before.
	Expires clock.Millis `json:"expires_ms"`
	// Limited is set if the upstream names a limit, as far as is known here.
	Limited bool `json:"limited,omitempty"`
	// Cold is set if the upstream is cold, as far as is known here.
	Cold bool `json:"cold,omitempty"`
	// Brittle is set if the upstream says that it is brittle, as far as is known here.
	Brittle bool `json:"brittle,omitempty"`
	// Foreign is the estimated number of requests on the upstream that this scheduler did not grant.
	Foreign int `json:"foreign,omitempty"`
	// Running are the requests on the upstream by this scheduler, FirstTokenMS the expected time to
	// the first token and KeptTokens the tokens of the prompt that it is expected to hold.
	Running      int     `json:"running,omitempty"`
	FirstTokenMS float64 `json:"first_token_ms,omitempty"`
	KeptTokens   int     `json:"kept_tokens,omitempty"`
}

// Reason is the cause of a refusal.
type Reason int

// The reasons.
const (
	// ReasonDeadline means that the deadline can no longer be met.
	ReasonDeadline Reason = iota
	// ReasonQueueFull means that the queue is full of asks that are at least as
	// important.
	ReasonQueueFull
	// ReasonNoUpstream means that no upstream serves the ask.
	ReasonNoUpstream
	// ReasonObjective means that the ask would miss its objective and can be made elsewhere.
	ReasonObjective
	// ReasonNoPath means that the daemon of the ask is taken to have no path to the upstreams.
	ReasonNoPath
)

// Refuse refuses an ask on arrival or after it waited.
type Refuse struct {
	ID         AskID        `json:"id"`
	Reason     Reason       `json:"reason"`
	RetryAfter clock.Millis `json:"retry_after_ms"`
	// Waiting is the number of asks that still wait in its lane, and Wait the
	// expected wait behind them.
	Waiting int          `json:"waiting,omitempty"`
	Wait    clock.Millis `json:"wait_ms,omitempty"`
}

// Withdraw asks for the cancellation of a request that hangs at a daemon without a path to its
// upstream. Its slot goes to another ask.
type Withdraw struct {
	ID AskID `json:"id"`
}

// LowestTier reports the lowest tier that this scheduler admits, on change and
// repeatedly while it admits fewer than all.
type LowestTier struct {
	// Lowest is AllTiers if no tier is shed.
	Lowest int `json:"lowest"`
}

// NoticeChanged reports that an upstream has named a limit, another one, or, if Limited is unset,
// none any more, that it is about to stop, or that it is or is no longer brittle.
type NoticeChanged Notice

// UpstreamPaused reports that an upstream gets no work for the time of a pause, or for a longer one
// than before, because of how a request ended there.
type UpstreamPaused struct {
	Upstream string `json:"upstream"`
	// ID is the ask whose end was reported.
	ID    AskID        `json:"id"`
	Pause clock.Millis `json:"pause_ms"`
}

// UpstreamEjected reports that an upstream gets nothing but probes because it is slow.
type UpstreamEjected struct {
	Upstream string `json:"upstream"`
}

// LinksChanged reports that a daemon is taken to have no path to the shard's upstreams, or, if CutOff is
// unset, that it has got an answer again.
type LinksChanged struct {
	Daemon string `json:"daemon"`
	CutOff bool   `json:"cut_off"`
	// Confirmed is set once other daemons have got answers where this one failed.
	Confirmed bool `json:"confirmed"`
	// Failed is the number of upstreams at which it failed without an answer between, and Contradicted
	// that of those which answered other daemons meanwhile.
	Failed       int `json:"failed"`
	Contradicted int `json:"contradicted"`
	// Lasted is how long it was taken to be cut off.
	Lasted clock.Millis `json:"lasted_ms,omitempty"`
}

func (LinksChanged) effect()    {}
func (NoticeChanged) effect()   {}
func (Grant) effect()           {}
func (Refuse) effect()          {}
func (Withdraw) effect()        {}
func (LowestTier) effect()      {}
func (UpstreamPaused) effect()  {}
func (UpstreamEjected) effect() {}
