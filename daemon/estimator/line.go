// Package estimator learns what requests cost: how fast each upstream reads
// prompts and generates tokens, and how long the answers of a route are.
package estimator

// Line estimates a straight line y = A + B x from noisy samples of which the
// newest count most. Neither A nor B is ever negative.
type Line struct {
	// A and B are the line before any sample.
	A, B float64
	// Span is a typical x; the first estimate counts like samples at 0 and at
	// Span. It is above 0.
	Span float64

	samples         float64
	n, x, y, xx, xy float64
}

// Weights of the samples.
const (
	// lineDecay is the weight that a sample keeps when a new one comes.
	lineDecay = 0.96
	// priorWeight is how many samples the first estimate counts for.
	priorWeight = 1.0
	// confidentSamples is the weight from which Confident reports true.
	confidentSamples = 5.0
)

// Add takes in a sample.
func (l *Line) Add(x, y float64) {
	if l.n == 0 {
		l.seed()
	}
	l.samples = l.samples*lineDecay + 1
	l.n = l.n*lineDecay + 1
	l.x = l.x*lineDecay + x
	l.y = l.y*lineDecay + y
	l.xx = l.xx*lineDecay + x*x
	l.xy = l.xy*lineDecay + x*y
}

// seed counts the first estimate as two samples.
func (l *Line) seed() {
	l.n = 2 * priorWeight
	l.x = priorWeight * l.Span
	l.xx = priorWeight * l.Span * l.Span
	l.y = priorWeight * (2*l.A + l.B*l.Span)
	l.xy = priorWeight * l.Span * (l.A + l.B*l.Span)
}

// Confident tells whether enough samples came lately.
func (l *Line) Confident() bool { return l.samples >= confidentSamples }

// Fit returns the line.
func (l *Line) Fit() (a, b float64) {
	if l.n == 0 {
		return l.A, l.B
	}
	mean := l.y / l.n
	spread := l.xx - l.x*l.x/l.n
	if spread <= 0 {
		return mean, 0
	}
	b = max((l.xy-l.x*l.y/l.n)/spread, 0)
	a = mean - b*l.x/l.n
	if a < 0 {
		// Through the origin, as the best line without a negative start.
		return 0, max(l.xy/l.xx, 0)
	}
	return a, b
}

// At returns y at x.
func (l *Line) At(x float64) float64 {
	a, b := l.Fit()
	return a + b*x
}
