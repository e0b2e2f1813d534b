package judge

import "math"

// Parameters of the sequential test.
const (
	// startHorizon is the number of windows over which the prior weight of a
	// change that begins after the first window is spread evenly. The weight
	// halves with each further horizon.
	startHorizon = 8192
	// controlShare is the minimum size of the old version's group, relative to the
	// new version's, for a comparison within the same window.
	controlShare = 1.0 / 3
	// tolerance is how many times the old version's event rate a good version may
	// have when both run in the same window, historyTolerance when the old one ran
	// before.
	tolerance        = 1.5
	historyTolerance = 2.5
	// priorRate and priorCount are the event rate and the number of requests that
	// are added to the old version's history, for when it is short.
	priorRate  = 0.05
	priorCount = 20
)

// ratios are the alternative hypotheses: how many times the tolerated event rate
// a bad version has.
//
//nolint:gochecknoglobals // A constant list.
var ratios = [...]float64{2, 6, 20}

// group is a number of requests and how many of them had the event.
type group struct{ requests, events int }

// eProcess is the evidence of one test in one cell. For each alternative it is
// the sum, over all windows in which the regression may have begun, of the
// likelihood ratio since then, weighted by a prior that sums to at most 1. Under
// a rate of at most tolerance times the old one, its expectation is at most 1 at
// any time. It therefore reaches 1/e with a probability of at most e, however
// often it is evaluated.
type eProcess struct {
	sums [len(ratios)]float64
	// windows is the number of observed windows.
	windows int
}

// startWeight returns the prior weight of a regression that begins with the
// window.
func startWeight(window int) float64 {
	if window == 0 {
		return 0.5
	}
	halvings := (window-1)/startHorizon + 1
	return 0.5 * math.Exp2(-float64(halvings)) / startHorizon
}

// logRatios are the logarithms of a window's likelihood ratios, by alternative.
type logRatios [len(ratios)]float64

// add adds the logarithms of an independent group of requests.
func (g *logRatios) add(other logRatios) {
	for i := range g {
		g[i] += other[i]
	}
}

// observe adds a window.
func (p *eProcess) observe(g logRatios) {
	weight := startWeight(p.windows)
	p.windows++
	for i := range p.sums {
		p.sums[i] = (p.sums[i] + weight) * math.Exp(g[i])
	}
}

// value returns the mean over the alternatives.
func (p *eProcess) value() (mean float64) {
	for _, s := range p.sums {
		mean += s / float64(len(p.sums))
	}
	return mean
}

// logRatiosOf compares the new version's group with the old version in the same
// window if that had enough requests, else with the old version's history.
func logRatiosOf(newGroup, control, history group) (g logRatios) {
	if newGroup.requests == 0 {
		return g
	}
	paired := float64(control.requests) >= controlShare*float64(newGroup.requests)
	for i, ratio := range ratios {
		if paired {
			g[i] = pairedLogRatio(newGroup, control, ratio)
			continue
		}
		g[i] = historyLogRatio(newGroup, history, ratio)
	}
	return g
}

// pairedLogRatio returns the logarithm of the likelihood ratio of how the events
// of a window split between the versions, given their number. The exact law,
// drawing without replacement, has a smaller variance than the binomial law used
// here, so the error rate holds.
func pairedLogRatio(newGroup, control group, ratio float64) float64 {
	n, m := float64(newGroup.requests)*tolerance, float64(control.requests)
	null := n / (n + m)
	alternative := ratio * n / (ratio*n + m)
	return float64(newGroup.events)*math.Log(alternative/null) +
		float64(control.events)*math.Log((1-alternative)/(1-null))
}

// historyLogRatio returns the logarithm of the likelihood ratio against the rate
// that the old version had before, for windows in which it had too few requests.
func historyLogRatio(newGroup, history group, ratio float64) float64 {
	rate := (float64(history.events) + priorRate*priorCount) / (float64(history.requests) + priorCount)
	expected := min(rate*historyTolerance, 1) * float64(newGroup.requests)
	return float64(newGroup.events)*math.Log(ratio) - (ratio-1)*expected
}
