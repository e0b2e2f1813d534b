// Package inventory defines the configuration that operators edit: the
// inventory (regions, pools, upstreams, organisations, operators) and the rules
// (tiers, routes, moves, limits). It validates configurations and computes,
// applies and inverts changes. A Config is one revision of the whole.
package inventory

import "yuccaspread/common/clock"

// Config is a whole configuration. It is never modified once it is in force;
// Apply returns a new one.
type Config struct {
	// Revision is 0 for the empty configuration and grows by one with each
	// accepted change.
	Revision int64 `json:"revision" toml:"-"`

	Regions       []Region       `json:"regions,omitempty" toml:"regions,omitempty"`
	Pools         []Pool         `json:"pools,omitempty" toml:"pools,omitempty"`
	Upstreams     []Upstream     `json:"upstreams,omitempty" toml:"upstreams,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty" toml:"organisations,omitempty"`
	Operators     []Operator     `json:"operators,omitempty" toml:"operators,omitempty"`
	Tiers         []Tier         `json:"tiers,omitempty" toml:"tiers,omitempty"`
	Routes        []Route        `json:"routes,omitempty" toml:"routes,omitempty"`
	Moves         []Move         `json:"moves,omitempty" toml:"moves,omitempty"`
	Limits        Limits         `json:"limits" toml:"limits"`
}

// Region is a group of failure domains that are close to each other.
type Region struct {
	Name string `json:"name" toml:"name"`
	// FailureDomains are the names of the region's failure domains: the VMs of
	// one fail together.
	FailureDomains []string `json:"failure_domains,omitempty" toml:"failure_domains"`
	// Nearest lists other regions, the nearest first.
	Nearest []string `json:"nearest,omitempty" toml:"nearest"`
	// Evacuated are the failure domains of the region whose upstreams get no new requests.
	Evacuated []string `json:"evacuated,omitempty" toml:"evacuated,omitempty"`
}

// PoolKind selects the adapter through which a pool's upstreams are called.
type PoolKind string

// The kinds of pool.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string   `json:"name" toml:"name"`
	Kind PoolKind `json:"kind" toml:"kind"`
	// Model is the name by which callers ask for the pool; empty for services.
	Model string `json:"model,omitempty" toml:"model,omitempty"`
	// Version is the version that the pool serves outside of moves.
	Version string `json:"version,omitempty" toml:"version,omitempty"`
	// MemoryTokens is the memory of each upstream for running and kept prompts, in tokens; 0 means
	// that it is unknown.
	MemoryTokens int `json:"memory_tokens,omitempty" toml:"memory_tokens,omitempty"`
	// Cold is what its upstreams take just after they have started.
	Cold ColdLimit `json:"cold,omitzero" toml:"cold,omitempty"`
}

// Upstream is one backend process.
type Upstream struct {
	Name string `json:"name" toml:"name"`
	// Address is an IP address and a port.
	Address       string `json:"address" toml:"address"`
	Pool          string `json:"pool" toml:"pool"`
	Region        string `json:"region" toml:"region"`
	FailureDomain string `json:"failure_domain,omitempty" toml:"failure_domain"`
	// Generation names the hardware generation.
	Generation string `json:"generation,omitempty" toml:"generation,omitempty"`
	// Slots is the number of concurrent requests that the upstream is guaranteed
	// to accept, above 0.
	Slots int `json:"slots" toml:"slots"`
	// ChecksFencing is set if the upstream refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty" toml:"checks_fencing,omitempty"`
	// Resumes is set if the upstream can resume a stream at an offset.
	Resumes bool `json:"resumes,omitempty" toml:"resumes,omitempty"`
	// Leaving keeps new requests away from the upstream.
	Leaving bool `json:"leaving,omitempty" toml:"leaving,omitempty"`
	// Version is the version of the upstream's software; empty if the inventory
	// does not know it and only the upstream's load reports name it.
	Version string `json:"version,omitempty" toml:"version,omitempty"`
	// Instance identifies one run of the process. Requests ask for this instance,
	// so that another process that took over the address refuses them; empty
	// accepts any instance.
	Instance string `json:"instance,omitempty" toml:"instance,omitempty"`
	// ColdLeftMS is how long the upstream stays cold by its own word, as of when it said so, in
	// milliseconds. It is 0 in pools without a ColdLimit.
	ColdLeftMS clock.Millis `json:"cold_left_ms,omitempty" toml:"-"`
}

// Organisation is a customer whose callers send requests.
type Organisation struct {
	Name string `json:"name" toml:"name"`
	// TokenSHA256 is the hexadecimal SHA-256 of the bearer token.
	TokenSHA256 string `json:"token_sha256" toml:"token_sha256"`
	// Weight is the organisation's weight against others in the same tier; 0
	// means 1.
	Weight int `json:"weight,omitempty" toml:"weight,omitempty"`
	// RatePerSecond limits the requests per second; 0 means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty" toml:"rate_per_second,omitempty"`
	// Burst is the number of requests that may arrive at once; 0 means the
	// number that RatePerSecond allows in a second.
	Burst int `json:"burst,omitempty" toml:"burst,omitempty"`
	// Concurrency limits the requests in progress; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty" toml:"concurrency,omitempty"`
	// TokensPerSecond limits the prompt and output tokens per second; 0 means no
	// limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty" toml:"tokens_per_second,omitempty"`
	// TokenBurst is the number of tokens that may be used at once; 0 means the
	// number that TokensPerSecond allows in a second.
	TokenBurst float64 `json:"token_burst,omitempty" toml:"token_burst,omitempty"`
	// TokensInAdvance charges the maximum output of a request together with its
	// prompt when the request is admitted, instead of the actual output.
	TokensInAdvance bool `json:"tokens_in_advance,omitempty" toml:"tokens_in_advance,omitempty"`
	// PlainTokens is the number of tokens charged for a request that names none.
	PlainTokens int `json:"plain_tokens,omitempty" toml:"plain_tokens,omitempty"`
	// TierOffset is added to the rank of the route's tier, so that the requests
	// of one organisation can be ranked below those of others.
	TierOffset int `json:"tier_offset,omitempty" toml:"tier_offset,omitempty"`
	// MoreTokenSHA256 are the hashes of further bearer tokens.
	MoreTokenSHA256 []string `json:"more_token_sha256,omitempty" toml:"more_token_sha256,omitempty"`
	// HomeRegions are the regions in which the organisation's requests may run; empty means all.
	HomeRegions []string `json:"home_regions,omitempty" toml:"home_regions,omitempty"`
}

// Role determines what an operator may do.
type Role string

// The roles; each may also do what the roles before it may.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
	RoleAdmin    Role = "admin"
)

// Operator is a person or program that uses the administration API.
type Operator struct {
	Name        string `json:"name" toml:"name"`
	TokenSHA256 string `json:"token_sha256" toml:"token_sha256"`
	Role        Role   `json:"role" toml:"role"`
	// Organisations limits the operator to these entries; empty means all.
	Organisations []string `json:"organisations,omitempty" toml:"organisations,omitempty"`
}

// Tier is a priority class of requests.
type Tier struct {
	Name string `json:"name" toml:"name"`
	// Rank is 0 for the most important tier; ranks are unique and have no gaps.
	Rank int `json:"rank" toml:"rank"`
	// DeadlineMS is the deadline of requests that name none, in milliseconds
	// after their arrival.
	DeadlineMS clock.Millis `json:"deadline_ms" toml:"deadline_ms"`
	// FirstTokenMS is the target time to the first token, in milliseconds.
	FirstTokenMS clock.Millis `json:"first_token_ms,omitempty" toml:"first_token_ms,omitempty"`
	// TokenGapMS is the target time between tokens, in milliseconds.
	TokenGapMS clock.Millis `json:"token_gap_ms,omitempty" toml:"token_gap_ms,omitempty"`
	// CrossRegionBytesPerHour limits the paid traffic between regions; 0 means
	// that requests of the tier stay in their region.
	CrossRegionBytesPerHour int64 `json:"cross_region_bytes_per_hour,omitempty" toml:"cross_region_bytes_per_hour,omitempty"`
}

// Route assigns requests to a pool and a tier. Among the routes that match a
// request the first in the order of names applies.
type Route struct {
	Name string `json:"name" toml:"name"`
	// Path is the path of the request; a path that ends in "/" also matches all
	// paths below it.
	Path string `json:"path" toml:"path"`
	// Method is the HTTP method; empty means POST.
	Method string `json:"method,omitempty" toml:"method,omitempty"`
	// Model matches the model that the body names; empty matches any.
	Model string `json:"model,omitempty" toml:"model,omitempty"`
	// Class matches the header X-Request-Class; empty matches any.
	Class string `json:"class,omitempty" toml:"class,omitempty"`
	Pool  string `json:"pool" toml:"pool"`
	Tier  string `json:"tier" toml:"tier"`
	// Idempotent allows retries; without it a request runs at most once.
	Idempotent bool `json:"idempotent,omitempty" toml:"idempotent,omitempty"`
	// MintKey generates a key for a non-idempotent request without one.
	MintKey bool `json:"mint_key,omitempty" toml:"mint_key,omitempty"`

	// Host matches the host that the request names. Among the routes of a host
	// the one whose Path is the longest prefix of the request's path applies,
	// whatever the method; such a path begins and ends with "/".
	Host string `json:"host,omitempty" toml:"host,omitempty"`
	// Split divides the requests of a route with a host among pools by weight;
	// empty sends all to Pool.
	Split []PoolShare `json:"split,omitempty" toml:"split,omitempty"`
	// Anonymous admits requests that belong to no organisation.
	Anonymous bool `json:"anonymous,omitempty" toml:"anonymous,omitempty"`
	// Stream is set if the answers are streams of events. Resumable is set if
	// another upstream may continue such a stream after the last event received.
	Stream    bool `json:"stream,omitempty" toml:"stream,omitempty"`
	Resumable bool `json:"resumable,omitempty" toml:"resumable,omitempty"`
	// MaxAttempts limits the upstreams that one request may run on; 0 means that
	// the route sets no limit.
	MaxAttempts int `json:"max_attempts,omitempty" toml:"max_attempts,omitempty"`
	// TimeoutMS is the longest time for which a request is kept, in milliseconds;
	// 0 means that only its deadline counts.
	TimeoutMS clock.Millis `json:"timeout_ms,omitempty" toml:"timeout_ms,omitempty"`
	// ObjectiveMS is the latency objective for the answer, or for the first event
	// of a stream, in milliseconds; 0 means none.
	ObjectiveMS clock.Millis `json:"objective_ms,omitempty" toml:"objective_ms,omitempty"`
	// GapMS is the objective for the longest pause between events of a stream, in
	// milliseconds; 0 means none.
	GapMS clock.Millis `json:"gap_ms,omitempty" toml:"gap_ms,omitempty"`
	// PatienceMS is how long callers wait for the first event of a stream before
	// they disconnect, in milliseconds; 0 means until the deadline.
	PatienceMS clock.Millis `json:"patience_ms,omitempty" toml:"patience_ms,omitempty"`
	// HomeRegions are the regions in which requests of the route may run; empty means all.
	HomeRegions []string `json:"home_regions,omitempty" toml:"home_regions,omitempty"`
}

// PoolShare is one pool's share of the requests of a route.
type PoolShare struct {
	Pool string `json:"pool" toml:"pool"`
	// Weight is the pool's share relative to the sum of the route's weights, at
	// least 0.
	Weight int `json:"weight" toml:"weight"`
}

// MoveState is the state of a move that operators request.
type MoveState string

// The states of a move that operators can request.
const (
	MoveRun   MoveState = "run"
	MovePause MoveState = "pause"
	MoveUndo  MoveState = "undo"
)

// ReleaseOrder asks to bring a pool to a version within a time, while upstreams of both run.
type ReleaseOrder struct {
	Pool    string
	Version string
	// Duration is above 0.
	Duration clock.Millis
}

// Move replaces a version of a pool's software by another, step by step, until
// a due time.
type Move struct {
	Name string `json:"name" toml:"name"`
	Pool string `json:"pool" toml:"pool"`
	From string `json:"from" toml:"from"`
	To   string `json:"to" toml:"to"`
	// Regions limits the move to these regions; empty means all regions of the
	// pool.
	Regions []string `json:"regions,omitempty" toml:"regions,omitempty"`
	// Due is the time by which the new version has all traffic, in
	// milliseconds since the Unix epoch.
	Due clock.Millis `json:"due_ms" toml:"due_ms"`
	// FirstShare is the share of traffic that the new version gets before there
	// is any evidence about it, in (0, 0.2].
	FirstShare float64 `json:"first_share" toml:"first_share"`
	// SoakMS is how long the old version stays loaded after the move has
	// finished, in milliseconds.
	SoakMS clock.Millis `json:"soak_ms" toml:"soak_ms"`
	// UndoWithoutEvidence rolls the move back if there is no evidence when it is
	// due; otherwise the move finishes.
	UndoWithoutEvidence bool      `json:"undo_without_evidence,omitempty" toml:"undo_without_evidence,omitempty"`
	State               MoveState `json:"state" toml:"state"`
}

// Limits are the rules that apply to the whole configuration. A zero field
// stands for the default that WithDefaults fills in.
type Limits struct {
	// KeyRetentionMS is how long the key of a non-idempotent request is kept, in
	// milliseconds.
	KeyRetentionMS clock.Millis `json:"key_retention_ms,omitempty" toml:"key_retention_ms,omitempty"`
	// QuarantineMS is how long a request that crashes upstreams is
	// quarantined, that is refused, in milliseconds.
	QuarantineMS clock.Millis `json:"conviction_ms,omitempty" toml:"conviction_ms,omitempty"`
	// AddressLifetimeMS is how long callers may cache an answer with addresses,
	// in milliseconds.
	AddressLifetimeMS clock.Millis `json:"address_lifetime_ms,omitempty" toml:"address_lifetime_ms,omitempty"`
	// RetryShare limits retries to a share of first attempts, in [0, 1].
	RetryShare float64 `json:"retry_share,omitempty" toml:"retry_share,omitempty"`
	// EjectShare limits ejected stragglers to a share of a pool, in [0, 0.5].
	EjectShare float64 `json:"eject_share,omitempty" toml:"eject_share,omitempty"`
	// KindFloor is the share of the mean rate of service that each kind of request and
	// each organisation gets at least at a scheduler, in [0, 1). 0 keeps the order
	// strictly by tier.
	KindFloor float64 `json:"kind_floor,omitempty" toml:"kind_floor,omitempty"`
	// CheapKindShare is the share of the slots' time up to which a kind of request is
	// served as often as more important ones, in [0, 1). It needs a KindFloor.
	CheapKindShare float64 `json:"cheap_kind_share,omitempty" toml:"cheap_kind_share,omitempty"`
	// QueuePerShard is the maximum number of requests that wait at one scheduler.
	QueuePerShard int `json:"queue_per_shard,omitempty" toml:"queue_per_shard,omitempty"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `json:"body_bytes,omitempty" toml:"body_bytes,omitempty"`
	// StoredAnswerBytes is the maximum size of one answer that is stored for
	// repeated requests.
	StoredAnswerBytes int64 `json:"stored_answer_bytes,omitempty" toml:"stored_answer_bytes,omitempty"`
}

// Defaults of Limits.
const (
	DefaultKeyRetention    = 24 * clock.Hour
	DefaultQuarantine      = 10 * clock.Minute
	DefaultAddressLifetime = 10 * clock.Second
	DefaultRetryShare      = 0.1
	DefaultEjectShare      = 0.3
	DefaultQueuePerShard   = 10_000
	DefaultBodyBytes       = 4 << 20
	DefaultStoredAnswer    = 1 << 20
)

// WithDefaults returns the limits with every zero field set to its default.
func (l Limits) WithDefaults() Limits {
	l.KeyRetentionMS = orDefault(l.KeyRetentionMS, DefaultKeyRetention)
	l.QuarantineMS = orDefault(l.QuarantineMS, DefaultQuarantine)
	l.AddressLifetimeMS = orDefault(l.AddressLifetimeMS, DefaultAddressLifetime)
	l.RetryShare = orDefault(l.RetryShare, DefaultRetryShare)
	l.EjectShare = orDefault(l.EjectShare, DefaultEjectShare)
	l.QueuePerShard = orDefault(l.QueuePerShard, DefaultQueuePerShard)
	l.BodyBytes = orDefault(l.BodyBytes, DefaultBodyBytes)
	l.StoredAnswerBytes = orDefault(l.StoredAnswerBytes, DefaultStoredAnswer)
	return l
}

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}
