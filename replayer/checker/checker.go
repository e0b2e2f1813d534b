// Package checker compares replay results with the outcomes that are expected of
// each scenario. The expectations were stated before the results were measured.
package checker

import (
	"fmt"
	"strings"

	"yuccaspread/replayer/runner"
)

// Bounds of the expected outcomes.
const (
	maxFirstTokenP95MS = 860
	maxTokenGapP95MS   = 75
	// coveredTiers is the number of tiers, highest first, that the capacity covers
	// in a burst.
	coveredTiers = 2
	// minOnTimePercent is the least share of a covered tier's requests that end on
	// time in a burst, and of its first tokens that come as promised.
	minOnTimePercent = 99
	// lateFirstTokenPercent is the value of a whole answer whose first token came
	// later than promised, in percent of one whose first token was on time: the
	// users' sheets value them at 1.5 and 4.9.
	lateFirstTokenPercent = 30
)

// Kind is the kind of a missed outcome.
type Kind string

// The kinds of outcomes.
const (
	TierInversions Kind = "tier_inversions"
	CoveredTier    Kind = "covered_tier"
	TotalOnTime    Kind = "total_on_time"
	WastedPrefill  Kind = "wasted_prefill"
	Speed          Kind = "speed"
	Promises       Kind = "promises"
	Minimum        Kind = "minimum"
	Reading        Kind = "reading"
)

// Miss is one missed outcome.
type Miss struct {
	Kind   Kind   `json:"kind"`
	Detail string `json:"detail"`
}

// Check returns the outcomes that the first result, of the daemons' policy, misses
// by itself or compared with the others, of the baselines.
func Check(scenario string, results []runner.Result) (misses []Miss) {
	own, baselines := results[0], results[1:]
	addMiss := func(kind Kind, format string, args ...any) {
		misses = append(misses, Miss{kind, fmt.Sprintf(format, args...)})
	}
	if scenario == "minimum" {
		checkMinimum(own, addMiss)
		return misses
	}
	if own.TierInversions > 0 {
		addMiss(TierInversions, "%d tier inversions", own.TierInversions)
	}
	for _, other := range baselines {
		if !promisesFirstTokens(scenario) && other.OnTime() > own.OnTime() {
			addMiss(TotalOnTime, "%d requests on time, %s has %d", own.OnTime(), other.Policy, other.OnTime())
		}
		// Equal waste is a miss too, unless it is zero, as no less is possible then.
		if other.WastedPrefillTokens < own.WastedPrefillTokens ||
			(other.WastedPrefillTokens == own.WastedPrefillTokens && own.WastedPrefillTokens > 0) {
			addMiss(WastedPrefill, "%d tokens, %s wastes %d", own.WastedPrefillTokens, other.Policy, other.WastedPrefillTokens)
		}
	}
	switch scenario {
	case "promises":
		checkPromises(own, baselines, addMiss)
	case "kept_hot", "kept_warm", "kept_none":
		last := len(baselines) - 1
		checkPromises(own, baselines[:last], addMiss)
		checkKept(own, baselines[last], addMiss)
	case "burst":
		checkCoveredTiers(own, baselines, addMiss)
	case "steady":
		if own.FirstTokenP95MS > maxFirstTokenP95MS || own.TokenGapP95MS > maxTokenGapP95MS {
			addMiss(Speed, "first token %.0f ms, gap %.0f ms", own.FirstTokenP95MS, own.TokenGapP95MS)
		}
	}
	return misses
}

// promisesFirstTokens reports whether the requests of a scenario have a promised time to their first
// token. There a late request may be refused, so that others keep their promise.
func promisesFirstTokens(scenario string) bool {
	return scenario == "promises" || strings.HasPrefix(scenario, "kept_")
}

// Bounds of the minimum scenario, in hundredths, as the users' rules set them.
const (
	// minServedPercent is the part of the mean rate of service that each tier gets.
	minServedPercent = 25
	// maxInversionPercent is by how much more often a tier may be served than a more
	// important one.
	maxInversionPercent = 5
)

// checkMinimum requires that no tier is starved, and that none is served more often than
// a more important one.
func checkMinimum(own runner.Result, addMiss func(Kind, string, ...any)) {
	offered := 0
	for _, tier := range own.Tiers {
		offered += tier.Offered
	}
	mean := 100 * own.OnTime() / max(offered, 1)
	before := 100
	for rank, tier := range own.Tiers {
		served := 100 * tier.OnTime / max(tier.Offered, 1)
		if 100*served < minServedPercent*mean {
			addMiss(Minimum, "tier %d: %d %% served, %d %% of all", rank, served, mean)
		}
		if served > before+maxInversionPercent {
			addMiss(Minimum, "tier %d: %d %% served, %d %% of the tier before", rank, served, before)
		}
		before = served
	}
}

// checkPromises requires that covered tiers get their first tokens as promised, and
// that no other policy keeps more promises or gives a higher total value.
func checkPromises(own runner.Result, baselines []runner.Result, addMiss func(Kind, string, ...any)) {
	for rank, tier := range own.Tiers[:min(coveredTiers, len(own.Tiers))] {
		if tier.FirstTokenOnTime*100 < tier.Offered*minOnTimePercent {
			addMiss(CoveredTier, "tier %d: %d of %d first tokens as promised", rank, tier.FirstTokenOnTime, tier.Offered)
		}
	}
	for _, other := range baselines {
		if other.FirstTokenOnTime() > own.FirstTokenOnTime() || answerValue(other) > answerValue(own) {
			addMiss(Promises, "%d promises kept, value %d; %s keeps %d, value %d", own.FirstTokenOnTime(), answerValue(own), other.Policy, other.FirstTokenOnTime(), answerValue(other))
		}
	}
}

// keptTolerancePercent is by how much, at a single seed, weighing what upstreams still hold may cost
// promises or reading.
const keptTolerancePercent = 1

// checkKept requires that weighing what upstreams still hold costs neither promises nor reading, compared
// with the same scheduler that does not.
func checkKept(own, readAgain runner.Result, addMiss func(Kind, string, ...any)) {
	if 100*own.FirstTokenOnTime() < (100-keptTolerancePercent)*readAgain.FirstTokenOnTime() {
		addMiss(Promises, "%d promises kept, %s keeps %d", own.FirstTokenOnTime(), readAgain.Policy, readAgain.FirstTokenOnTime())
	}
	if 100*own.ReadTokens > (100+keptTolerancePercent)*readAgain.ReadTokens {
		addMiss(Reading, "%d prompt tokens read, %s reads %d", own.ReadTokens, readAgain.Policy, readAgain.ReadTokens)
	}
}

// answerValue returns the value of all answers, in hundredths of an answer whose
// first token was on time.
func answerValue(r runner.Result) int {
	return 100*r.FirstTokenOnTime() + lateFirstTokenPercent*(r.OnTime()-r.FirstTokenOnTime())
}

// checkCoveredTiers requires that covered tiers are on time, and no less often than
// under any baseline.
func checkCoveredTiers(own runner.Result, baselines []runner.Result, addMiss func(Kind, string, ...any)) {
	for rank, tier := range own.Tiers[:min(coveredTiers, len(own.Tiers))] {
		if tier.OnTime*100 < tier.Offered*minOnTimePercent {
			addMiss(CoveredTier, "tier %d: %d of %d requests on time", rank, tier.OnTime, tier.Offered)
		}
		for _, other := range baselines {
			if other.Tiers[rank].OnTime > tier.OnTime {
				addMiss(CoveredTier, "tier %d: %d requests on time, %s has %d", rank, tier.OnTime, other.Policy, other.Tiers[rank].OnTime)
			}
		}
	}
}
