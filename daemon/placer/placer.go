package placer

import "yuccaspread/daemon/estimator"

// Work is one request as the cost model sees it, in tokens.
type Work struct {
	Prompt int
	Cached int
	Output int
}

// Fresh returns the tokens that have to be read.
func (w Work) Fresh() int { return max(w.Prompt-w.Cached, 1) }

// Load is the present use of an upstream.
type Load struct {
	// Running is the number of requests on it.
	Running int
	// PrefillMS is the time that the prompts before this one still take.
	PrefillMS float64
}

// Expected holds the expected times of a request from now, in milliseconds.
type Expected struct {
	PrefillMS    float64
	FirstTokenMS float64
	EndMS        float64
	// OthersMS is the time by which it delays those that run beside it, all
	// together.
	OthersMS float64
}

// Expect returns what to expect of the work on an upstream.
func Expect(speed *estimator.Speed, load Load, work Work) (e Expected) {
	gap := speed.Gap.At(float64(load.Running + 1))
	e.PrefillMS = speed.Prefill.At(float64(work.Fresh()))
	e.FirstTokenMS = load.PrefillMS + e.PrefillMS
	e.EndMS = e.FirstTokenMS + gap*float64(max(work.Output-1, 0))
	_, slope := speed.Gap.Fit()
	e.OthersMS = slope * float64(load.Running) * float64(work.Output)
	return e
}

// safety is the share of a target that limits aim at.
const safety = 0.9

// Sequences returns how many requests an upstream takes at once so that the
// time between tokens stays at its target, in milliseconds; 0 is no target.
func Sequences(gap *estimator.Line, targetMS float64, slots int) int {
	if targetMS <= 0 || !gap.Confident() {
		return slots
	}
	start, slope := gap.Fit()
	room := safety*targetMS - start
	if room < slope {
		return 1
	}
	if room >= slope*float64(slots) {
		return slots
	}
	return int(room / slope)
}

// PromptFits tells whether the first token stays at its target, in
// milliseconds; 0 is no target. An upstream that reads no prompt takes any.
// A request that waited for longer than the target only has to find little
// before it, so that short prompts don't keep a long one out for ever.
func PromptFits(load Load, e Expected, targetMS, waitedMS float64) bool {
	if targetMS <= 0 || load.PrefillMS <= 0 {
		return true
	}
	if waitedMS > targetMS {
		return load.PrefillMS <= safety*targetMS/2
	}
	return e.FirstTokenMS <= safety*targetMS
}
