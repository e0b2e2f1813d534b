package scheduler

// Weights of the trust in what is known of a cache.
const (
	trustWeight = 0.1
	// gapDoubt is what a loss of cache events leaves of the trust.
	gapDoubt = 0.8
)

// trust is the share of the predicted cache hits that responses confirm. The
// zero value trusts fully.
type trust struct {
	// doubted is 1 less the share, in [0, 1].
	doubted float64
}

// doubt notes that cache events were lost.
func (t *trust) doubt() { t.doubted = 1 - (1-t.doubted)*gapDoubt }

// learn takes in a response; predicted is above 0.
func (t *trust) learn(predicted, actual int) {
	missed := 1 - min(float64(actual)/float64(predicted), 1)
	t.doubted += trustWeight * (missed - t.doubted)
}

// cached returns the tokens of a prompt that are probably cached.
func (t *trust) cached(known, prompt int) int {
	return min(int(float64(known)*(1-t.doubted)), prompt)
}
