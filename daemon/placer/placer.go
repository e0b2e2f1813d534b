package placer

import "yuccaspread/daemon/estimator"

// Work is the size of one request, in tokens. CachedTokens are the prompt tokens
// that are cached on the upstream, OutputTokens the expected output.
type Work struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// UncachedTokens returns the prompt tokens that need a prefill, at least 1.
func (w Work) UncachedTokens() int { return max(w.PromptTokens-w.CachedTokens, 1) }

// Load is the current load of an upstream.
type Load struct {
	// Running is the number of requests on it.
	Running int
	// PendingPrefillMS is the remaining prefill time of the prompts ahead.
	PendingPrefillMS float64
}

// Times holds the expected times of a request from now, in milliseconds.
type Times struct {
	PrefillMS    float64
	FirstTokenMS float64
	EndMS        float64
	// AddedDelayMS is the total delay that it causes for the requests that run
	// beside it.
	AddedDelayMS float64
}

// PredictTimes returns the expected times of the work on an upstream.
func PredictTimes(speed *estimator.Speed, load Load, work Work) (times Times) {
	gapMS := speed.TokenGap.At(float64(load.Running + 1))
	times.PrefillMS = speed.Prefill.At(float64(work.UncachedTokens()))
	times.FirstTokenMS = load.PendingPrefillMS + times.PrefillMS
	times.EndMS = times.FirstTokenMS + gapMS*float64(max(work.OutputTokens-1, 0))
	_, slope := speed.TokenGap.Fit()
	times.AddedDelayMS = slope * float64(load.Running) * float64(work.OutputTokens)
	return times
}

// targetFraction is the fraction of a target that the limits aim at, as a margin.
const targetFraction = 0.9

// MaxConcurrent returns the number of concurrent requests, in [1, slots], at which
// the time between tokens stays within its target, in milliseconds; 0 is no target.
func MaxConcurrent(gap *estimator.Line, targetMS float64, slots int) int {
	if targetMS <= 0 || !gap.Confident() {
		return slots
	}
	baseMS, slopeMS := gap.Fit()
	headroomMS := targetFraction*targetMS - baseMS
	if headroomMS < slopeMS {
		return 1
	}
	if headroomMS >= slopeMS*float64(slots) {
		return slots
	}
	return int(headroomMS / slopeMS)
}

// MeetsFirstTokenTarget reports whether the first token arrives within its target,
// in milliseconds; 0 is no target. An upstream without a pending prefill accepts any
// prompt. For a request that waited for longer than the target, only the pending
// prefill has to be short, so that short prompts can't starve a long one.
func MeetsFirstTokenTarget(load Load, times Times, targetMS, waitedMS float64) bool {
	if targetMS <= 0 || load.PendingPrefillMS <= 0 {
		return true
	}
	if waitedMS > targetMS {
		return load.PendingPrefillMS <= targetFraction*targetMS/2
	}
	return times.FirstTokenMS <= targetFraction*targetMS
}
