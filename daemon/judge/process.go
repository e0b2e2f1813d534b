package judge

import "math"

// Constants of the sequential test.
const (
	// startHorizon is the number of windows over which the weight of a change
	// that begins later is spread; it halves with each further horizon.
	startHorizon = 8192
	// controlShare is the least size of the old version's group against the
	// new one's for a comparison over the same time.
	controlShare = 1.0 / 3
	// tolerance is how many times the old rate a good version may show when
	// both run at the same time, historyTolerance when the old one ran before.
	tolerance        = 1.5
	historyTolerance = 2.5
	// priorRate and priorCount stand in while the old version's history is short.
	priorRate  = 0.05
	priorCount = 20
)

// ratios are the alternatives: how many times the tolerated rate a bad
// version shows.
//
//nolint:gochecknoglobals // A constant list.
var ratios = [...]float64{2, 6, 20}

// group is a number of requests and how many of them showed the event.
type group struct{ requests, events int }

// process is the evidence of one test in one cell: for each alternative the
// sum, over all windows in which the badness may have begun, of the likelihood
// ratio since then, weighted by a prior that sums to at most 1. Under a rate of
// at most tolerance times the old one its expectation is at most 1 at any time,
// so that it reaches 1/e with probability at most e, however often one looks.
type process struct {
	sums [len(ratios)]float64
	// windows counts the windows seen.
	windows int
}

// startWeight is the prior that the badness begins with this window.
func startWeight(window int) float64 {
	if window == 0 {
		return 0.5
	}
	halvings := (window-1)/startHorizon + 1
	return 0.5 * math.Exp2(-float64(halvings)) / startHorizon
}

// gains are the logarithms of a window's likelihood ratios, by alternative.
type gains [len(ratios)]float64

// add adds the gains of an independent group of requests.
func (g *gains) add(other gains) {
	for i := range g {
		g[i] += other[i]
	}
}

// observe adds a window.
func (p *process) observe(g gains) {
	weight := startWeight(p.windows)
	p.windows++
	for i := range p.sums {
		p.sums[i] = (p.sums[i] + weight) * math.Exp(g[i])
	}
}

// value is the mean over the alternatives.
func (p *process) value() (mean float64) {
	for _, s := range p.sums {
		mean += s / float64(len(p.sums))
	}
	return mean
}

// compare returns the gains of one group: against the old version over the same
// time where that ran enough, else against its history.
func compare(fresh, control, history group) (g gains) {
	if fresh.requests == 0 {
		return g
	}
	paired := float64(control.requests) >= controlShare*float64(fresh.requests)
	for i, ratio := range ratios {
		if paired {
			g[i] = pairedGain(fresh, control, ratio)
			continue
		}
		g[i] = historyGain(fresh, history, ratio)
	}
	return g
}

// pairedGain is the logarithm of the likelihood ratio of which version the
// window's events fell on, given their number. Drawing without replacement
// spreads less than the binomial law used here, so the error rate holds.
func pairedGain(fresh, control group, ratio float64) float64 {
	n, m := float64(fresh.requests)*tolerance, float64(control.requests)
	null := n / (n + m)
	alternative := ratio * n / (ratio*n + m)
	return float64(fresh.events)*math.Log(alternative/null) +
		float64(control.events)*math.Log((1-alternative)/(1-null))
}

// historyGain is the same against the rate that the old version had before,
// for windows in which it ran too little.
func historyGain(fresh, history group, ratio float64) float64 {
	rate := (float64(history.events) + priorRate*priorCount) / (float64(history.requests) + priorCount)
	expected := min(rate*historyTolerance, 1) * float64(fresh.requests)
	return float64(fresh.events)*math.Log(ratio) - (ratio-1)*expected
}
