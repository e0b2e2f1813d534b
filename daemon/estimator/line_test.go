package estimator_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"yuccaspread/daemon/estimator"
)

// TestSlopeIsKeptWhereSamplesCannotTellIt guards against a slope that is rounding: all samples come at
// one x, so that the variance that is left is that of the last bits.
func TestSlopeIsKeptWhereSamplesCannotTellIt(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		line := estimator.Line{Intercept: 1, Slope: 1, TypicalX: 4}
		for range 200 {
			x := float64(1 + random.IntN(8))
			line.Add(x, 20+5*x)
		}
		for range 3000 {
			x := 6.0
			if random.IntN(2) == 0 {
				x = math.Nextafter(x, 7)
			}
			line.Add(x, 50*(1+1e-15*random.NormFloat64()))
		}
		intercept, slope := line.Fit()
		if math.Abs(slope-5) > 0.5 || math.Abs(line.At(6)-50) > 0.5 || intercept < 0 {
			t.Errorf("seed %d: %v + %v x, want 20 + 5 x", seed, intercept, slope)
		}
		// Samples at other places count again.
		for range 300 {
			x := float64(1 + random.IntN(8))
			line.Add(x, 10+2*x)
		}
		if _, slope = line.Fit(); math.Abs(slope-2) > 0.2 {
			t.Errorf("seed %d: slope %v after samples that tell one, want 2", seed, slope)
		}
	}
}
