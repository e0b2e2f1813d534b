// Package runner replays traces against a scheduling policy on a virtual clock, and
// flight records of daemons against the scheduler.
package runner

import (
	"math"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/replayer/parser"
)

// Result is the outcome of a trace under a policy.
type Result struct {
	Policy string       `json:"policy"`
	Tiers  []TierResult `json:"tiers"`
	// ReadTokens is the number of prompt tokens that engines read up to a first token, without those
	// that they still held.
	ReadTokens int64 `json:"read_tokens"`
	// WastedPrefillTokens counts the prompt tokens computed in attempts that were
	// cancelled or failed.
	WastedPrefillTokens int64 `json:"wasted_prefill_tokens"`
	// ExposedPrefillTokens is the expected number of prompt tokens lost with the
	// failed upstreams if each upstream of the shard is equally likely to fail.
	ExposedPrefillTokens int64 `json:"exposed_prefill_tokens"`
	// TierInversions counts requests that were shed although a lower tier got a
	// slot that they might have had while they waited.
	TierInversions   int   `json:"tier_inversions"`
	CrossRegionBytes int64 `json:"cross_region_bytes"`
	// FirstTokenP95MS covers the first tokens of all attempts, TokenGapP95MS the
	// requests on time.
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	TokenGapP95MS   float64 `json:"token_gap_p95_ms"`
	// ReadPrefillTokens counts all computed prompt tokens.
	ReadPrefillTokens int64 `json:"read_prefill_tokens"`

	// OnTimeAt holds the arrival times of the requests on time, by tier.
	OnTimeAt [][]clock.Millis `json:"-"`
}

// TierResult counts the requests of a tier; each is on time, late or shed.
type TierResult struct {
	Tier    int `json:"tier"`
	Offered int `json:"offered"`
	OnTime  int `json:"on_time"`
	// FirstTokenOnTime counts those on time whose first token came as promised.
	FirstTokenOnTime int `json:"prompt,omitempty"`
	// Late counts those that were sent to an upstream and not on time, Shed those
	// that were never sent.
	Late int `json:"late"`
	Shed int `json:"shed"`
}

// OnTime returns the number of requests on time in all tiers.
func (r Result) OnTime() (total int) {
	for _, t := range r.Tiers {
		total += t.OnTime
	}
	return total
}

// FirstTokenOnTime returns the number of requests in all tiers that are on time and
// whose first token came as promised.
func (r Result) FirstTokenOnTime() (total int) {
	for _, t := range r.Tiers {
		total += t.FirstTokenOnTime
	}
	return total
}

// tierResult returns the result of a tier and adds missing tiers up to it.
func (r *Result) tierResult(rank int) *TierResult {
	for len(r.Tiers) <= rank {
		r.Tiers = append(r.Tiers, TierResult{Tier: len(r.Tiers)})
		r.OnTimeAt = append(r.OnTimeAt, nil)
	}
	return &r.Tiers[rank]
}

// p95 sorts the values and returns their 95th percentile, rounded to one decimal,
// or 0 without values.
func p95(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	index := int(math.Ceil(0.95*float64(len(values)))) - 1
	return math.Round(values[index]*10) / 10
}

// bytesPerToken is the mean length of a token on the wire.
const bytesPerToken = 4

// crossRegionBytes returns the volume that a request sends between regions.
func crossRegionBytes(r *parser.Request, region string) int64 {
	if r.Region == region {
		return 0
	}
	return int64(r.PromptTokens+r.OutputTokens) * bytesPerToken
}
