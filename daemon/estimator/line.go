// Package estimator estimates the cost of requests from measurements: how fast each
// upstream processes prompts and generates tokens, and how long the answers of a
// route are.
package estimator

// Line fits a straight line y = intercept + slope x to noisy samples by least squares
// with exponentially decaying weights. Neither the intercept nor the slope is ever
// negative.
type Line struct {
	// Intercept and Slope are the line before any sample: the prior.
	Intercept, Slope float64
	// TypicalX is a typical x, above 0. The prior counts like one sample at 0 and
	// one at TypicalX.
	TypicalX float64

	sampleWeight                         float64
	sumWeights, sumX, sumY, sumXX, sumXY float64
	// lastSlope is the slope of the last time at which the samples could tell one.
	lastSlope float64
}

// Weights of samples.
const (
	// lineDecay is the factor by which a new sample multiplies the weights of earlier
	// ones.
	lineDecay = 0.96
	// priorWeight is the weight of each of the two samples of the prior.
	priorWeight = 1.0
	// confidentSamples is the total sample weight from which Confident is true.
	confidentSamples = 5.0
	// minVariance is the least variance of x, as a share of the mean of its square, from
	// which on samples tell a slope. Below it the variance may be rounding.
	minVariance = 1e-9
)

// Add adds a sample.
func (l *Line) Add(x, y float64) {
	if l.sumWeights == 0 {
		l.applyPrior()
	}
	l.sampleWeight = l.sampleWeight*lineDecay + 1
	l.sumWeights = l.sumWeights*lineDecay + 1
	l.sumX = l.sumX*lineDecay + x
	l.sumY = l.sumY*lineDecay + y
	l.sumXX = l.sumXX*lineDecay + x*x
	l.sumXY = l.sumXY*lineDecay + x*y
	if slope, known := l.sampledSlope(); known {
		l.lastSlope = slope
	}
}

// sampledSlope returns the slope that the samples tell; known is false if they are all at one x.
func (l *Line) sampledSlope() (slope float64, known bool) {
	variance := l.sumXX - l.sumX*l.sumX/l.sumWeights
	if variance <= minVariance*l.sumXX {
		return 0, false
	}
	return max((l.sumXY-l.sumX*l.sumY/l.sumWeights)/variance, 0), true
}

// applyPrior adds the prior as two samples.
func (l *Line) applyPrior() {
	l.sumWeights = 2 * priorWeight
	l.sumX = priorWeight * l.TypicalX
	l.sumXX = priorWeight * l.TypicalX * l.TypicalX
	l.sumY = priorWeight * (2*l.Intercept + l.Slope*l.TypicalX)
	l.sumXY = priorWeight * l.TypicalX * (l.Intercept + l.Slope*l.TypicalX)
}

// Confident reports whether the decayed weight of the samples, without the prior,
// suffices for a judgement.
func (l *Line) Confident() bool { return l.sampleWeight >= confidentSamples }

// Fit returns the fitted line.
func (l *Line) Fit() (intercept, slope float64) {
	if l.sumWeights == 0 {
		return l.Intercept, l.Slope
	}
	slope = l.lastSlope
	intercept = (l.sumY - slope*l.sumX) / l.sumWeights
	if intercept < 0 {
		// The best line without a negative intercept runs through the origin.
		return 0, max(l.sumXY/l.sumXX, 0)
	}
	return intercept, slope
}

// At returns the fitted y at x.
func (l *Line) At(x float64) float64 {
	intercept, slope := l.Fit()
	return intercept + slope*x
}
