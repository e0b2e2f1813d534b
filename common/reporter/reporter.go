// Package reporter holds the form in which daemons tell operators where a request would go now, and
// why: the question, and the answer with what the scheduler of each shard says.
package reporter

import "yuccaspread/common/clock"

// Question describes a request. Only Route is needed.
type Question struct {
	Route        string `json:"route"`
	Organisation string `json:"organisation,omitempty"`
	// Pool is one of the route's pools; empty stands for the first one.
	Pool         string `json:"pool,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	// Parts are the parts that the prompt shares with others, in order.
	Parts []Part `json:"parts,omitempty"`
	// TimeoutMS is the time until the caller's deadline; 0 stands for that of the route or its tier.
	TimeoutMS clock.Millis `json:"timeout_ms,omitempty"`
	// Excluded names upstreams on which earlier attempts have failed.
	Excluded []string `json:"excluded,omitempty"`
}

// Part is a part of a prompt.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Answer tells where the request would go now, as the asked daemon and the schedulers believe.
type Answer struct {
	Daemon   string `json:"daemon"`
	Region   string `json:"region"`
	Revision int64  `json:"revision"`

	Route        string       `json:"route"`
	Organisation string       `json:"organisation,omitempty"`
	Pool         string       `json:"pool"`
	Tier         int          `json:"tier"`
	Homes        []string     `json:"homes,omitempty"`
	DeadlineMS   clock.Millis `json:"deadline_ms"`
	ObjectiveMS  clock.Millis `json:"objective_ms,omitempty"`

	// Upstream is the one that the request would go to now, empty if it would wait or be refused;
	// Outcome says which in a sentence.
	Upstream string       `json:"upstream,omitempty"`
	Verdict  Verdict      `json:"verdict"`
	Outcome  string       `json:"outcome"`
	RetryMS  clock.Millis `json:"retry_after_ms,omitempty"`
	// Shards are those that would be asked, in this order; the first one that does not refuse decides.
	Shards []Shard `json:"shards"`
}

// Shard is what the scheduler of one shard says.
type Shard struct {
	Shard     string `json:"shard"`
	Region    string `json:"region"`
	Scheduler string `json:"scheduler,omitempty"`
	// Error is set if its scheduler could not be asked.
	Error string `json:"error,omitempty"`
	*Explanation
}

// Verdict is what would become of an ask.
type Verdict string

// The verdicts.
const (
	VerdictGrant  Verdict = "grant"
	VerdictWait   Verdict = "wait"
	VerdictRefuse Verdict = "refuse"
)

// Obstacle is why an upstream would not get an ask now.
type Obstacle string

// The obstacles, in the order in which they are looked for.
const (
	ObstacleNone      Obstacle = ""
	ObstacleGone      Obstacle = "not listed"
	ObstacleLeaving   Obstacle = "leaving"
	ObstacleEvacuated Obstacle = "evacuated"
	ObstacleExcluded  Obstacle = "excluded by the ask"
	ObstacleVersion   Obstacle = "version may not serve it"
	ObstacleDown      Obstacle = "down"
	ObstaclePaused    Obstacle = "paused after broken connections"
	ObstacleTrial     Obstacle = "tried with one request at a time"
	ObstacleCold      Obstacle = "cold"
	ObstacleLimit     Obstacle = "limit that it names"
	ObstacleBrittle   Obstacle = "brittle and without room"
	ObstacleEjected   Obstacle = "ejected as a straggler"
	ObstacleDeadline  Obstacle = "would miss the deadline"
	ObstacleFull      Obstacle = "no room"
)

// Candidate is one upstream with the terms on which it is weighed. Times are in milliseconds.
type Candidate struct {
	Upstream      string   `json:"upstream"`
	FailureDomain string   `json:"failure_domain,omitempty"`
	Version       string   `json:"version,omitempty"`
	Obstacle      Obstacle `json:"obstacle,omitempty"`
	// Chosen is set for the one that would get the ask now.
	Chosen bool `json:"chosen,omitempty"`
	// Score is the cost by which upstreams are compared, the least first.
	Score float64 `json:"score"`
	// PrefillMS, FirstTokenMS and EndMS are expected from now, AddedDelayMS is the delay of the
	// requests beside it.
	PrefillMS    float64 `json:"prefill_ms"`
	FirstTokenMS float64 `json:"first_token_ms"`
	EndMS        float64 `json:"end_ms"`
	AddedDelayMS float64 `json:"added_delay_ms"`
	// Running are its requests by this scheduler, Foreign those of others, Slots how many it runs at
	// once.
	Running int `json:"running"`
	Foreign int `json:"foreign,omitempty"`
	Slots   int `json:"slots"`
	// Tokens are those of the running requests, and MemoryTokens its memory, 0 for unknown.
	Tokens       int `json:"tokens,omitempty"`
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// KeptTokens are the tokens of the prompt that it is expected to hold, last used KeptAgeMS ago.
	KeptTokens int          `json:"kept_tokens,omitempty"`
	KeptAgeMS  clock.Millis `json:"kept_age_ms,omitempty"`
	// FailureRate is the moving share of requests that failed there.
	FailureRate float64 `json:"failure_rate,omitempty"`
	// MeasuredAgeMS is the age of the last measurement of its speed, -1 if there is none.
	MeasuredAgeMS clock.Millis `json:"measured_age_ms"`
}

// Explanation is what would become of an ask that came now, and why.
type Explanation struct {
	Verdict Verdict `json:"verdict"`
	// Reason and RetryAfter are those of a refusal.
	Reason     string       `json:"reason,omitempty"`
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty"`
	// Waiting is the number of asks in its lane, and WaitMS the expected wait behind them.
	Waiting int     `json:"waiting"`
	WaitMS  float64 `json:"wait_ms"`
	// ExpectedOutput is the number of output tokens that its end is judged by.
	ExpectedOutput int         `json:"expected_output_tokens"`
	Candidates     []Candidate `json:"candidates"`
}
