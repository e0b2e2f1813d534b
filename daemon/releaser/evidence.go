package releaser

import (
	"math"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/judge"
)

// baseline holds how long the old versions of a pool take to the first token on a route.
type baseline struct {
	first judge.Histogram
}

// slowShares are the shares of the usual times above which times may be slow: many answers of a
// bad version may be somewhat slower, or some of them much.
//
//nolint:gochecknoglobals // A constant list.
var slowShares = [...]float64{0.25, 0.1}

// Limits of the baselines.
const (
	// slowBuckets is the number of buckets, each a factor of the square root of two, by which
	// a slow time exceeds the usual ones.
	slowBuckets = 1
	// minBaseline is the number of times from which on they are usual, maxBaseline the one
	// from which on older times lose weight.
	minBaseline = 50
	maxBaseline = 2000
)

func (b *baseline) add(firstTokenTime clock.Millis) {
	b.first.Add(int64(firstTokenTime))
	if b.first.Total() > maxBaseline {
		for i := range b.first {
			b.first[i] /= 2
		}
	}
}

// slow counts one request at each level at which it took longer than usual.
func (b *baseline) slow(firstTokenTime clock.Millis) (counts SlowCounts) {
	if b.first.Total() < minBaseline {
		return counts
	}
	bucket := judge.Bucket(int64(firstTokenTime))
	for level, share := range slowShares {
		if bucket >= b.first.UpperBucket(share)+slowBuckets {
			counts[level] = 1
		}
	}
	return counts
}

// Evidence is a comparison of the new version with the old one.
type Evidence struct {
	// Route is empty for all routes.
	Route string
	// What is "slow" or "failed".
	What string
	// Events and Requests are those of the new version in Window, OldEvents and OldRequests
	// those of the old one.
	Events, Requests, OldEvents, OldRequests int
	Window                                   clock.Millis
	// LogRatio is the logarithm of how much more likely the counts are if the new version is
	// worse than tolerated.
	LogRatio float64
}

// Parameters of the comparison.
const (
	// stopLogRatio is the logarithm of the ratio of likelihoods from which on a version is
	// stopped.
	stopLogRatio = 10.0
	// tolerance is how many times as often as the old version a good one may be slow, or
	// fail. minSlowRate and minFailedRate are the rates that a good version may have
	// whatever the old one shows.
	tolerance     = 1.5
	minSlowRate   = 0.12
	minFailedRate = 0.03
	// maxToleratedRate bounds the rates that are tolerated, below 1.
	maxToleratedRate = 0.97
	// rateSteps is the number of rates of the old version that are tried.
	rateSteps = 40
)

// compare returns the evidence that the new version fails more often, or that it is slower,
// whichever is stronger.
func compare(newer, older Counts) (strongest Evidence) {
	strongest = Evidence{What: "failed", Events: newer.Failed, Requests: newer.Requests, OldEvents: older.Failed, OldRequests: older.Requests}
	strongest.LogRatio = strongest.logRatio(minFailedRate)
	for level := range slowShares {
		slow := Evidence{What: "slow", Events: newer.Slow[level], Requests: newer.Requests, OldEvents: older.Slow[level], OldRequests: older.Requests}
		slow.LogRatio = slow.logRatio(minSlowRate)
		if slow.LogRatio > strongest.LogRatio {
			strongest = slow
		}
	}
	return strongest
}

// logRatio compares the best explanation by any two rates with the best one by a rate of the old
// version and a rate of the new one that is tolerated for it.
func (e Evidence) logRatio(minRate float64) float64 {
	if e.Events == 0 || e.OldRequests == 0 {
		return 0
	}
	rate, oldRate := float64(e.Events)/float64(e.Requests), float64(e.OldEvents)/float64(e.OldRequests)
	if rate <= toleratedRate(oldRate, minRate) {
		return 0
	}
	free := logLikelihood(e.Events, e.Requests, rate) + logLikelihood(e.OldEvents, e.OldRequests, oldRate)
	tolerated := math.Inf(-1)
	for step := range rateSteps {
		// Rates above that of the new version explain less.
		old := max(oldRate+(rate-oldRate)*float64(step)/rateSteps, minOldRate)
		both := logLikelihood(e.Events, e.Requests, toleratedRate(old, minRate)) + logLikelihood(e.OldEvents, e.OldRequests, old)
		tolerated = max(tolerated, both)
	}
	return free - tolerated
}

// minOldRate is the lowest rate of the old version that is tried.
const minOldRate = 0.001

func toleratedRate(oldRate, minRate float64) float64 {
	return min(max(tolerance*oldRate, minRate), maxToleratedRate)
}

// logLikelihood returns the logarithm of the likelihood of a number of events among requests,
// without the binomial coefficient.
func logLikelihood(events, requests int, rate float64) (sum float64) {
	if events > 0 {
		sum += float64(events) * math.Log(rate)
	}
	if others := requests - events; others > 0 {
		sum += float64(others) * math.Log(1-rate)
	}
	return sum
}
