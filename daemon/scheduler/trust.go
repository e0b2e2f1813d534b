package scheduler

const (
	// accuracyWeight is the weight of the newest response in the error rate.
	accuracyWeight = 0.1
	// gapRetention is the factor applied to the accuracy when cache events were lost.
	gapRetention = 0.8
)

// cacheAccuracy tracks the share of the predicted cache hits that responses
// confirm. The zero value means all of them.
type cacheAccuracy struct {
	// errorRate is 1 minus the share, in [0, 1].
	errorRate float64
}

// recordGap records that cache events were lost.
func (c *cacheAccuracy) recordGap() { c.errorRate = 1 - (1-c.errorRate)*gapRetention }

// learn records the cached tokens of a response; predicted is above 0.
func (c *cacheAccuracy) learn(predicted, actual int) {
	missed := 1 - min(float64(actual)/float64(predicted), 1)
	c.errorRate += accuracyWeight * (missed - c.errorRate)
}

// expectedHits returns the number of prompt tokens that are probably cached.
func (c *cacheAccuracy) expectedHits(predicted, prompt int) int {
	return min(int(float64(predicted)*(1-c.errorRate)), prompt)
}
