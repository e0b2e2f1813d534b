package estimator

import "math"

// Constants of the length estimates.
const (
	// bucketRatio is the ratio of the upper limits of two neighbouring buckets.
	bucketRatio = 1.25
	// bucketCount covers lengths up to about 100,000 tokens; longer ones count in
	// the last bucket.
	bucketCount = 52
	// lengthDecay is the factor by which a new sample multiplies the weights of earlier
	// ones.
	lengthDecay = 0.995
	// priorSamples is the weight of the route's histogram, in samples, when it is
	// blended with that of an organisation.
	priorSamples = 8.0
	// maxPairs bounds the number of histograms for a route and organisation.
	maxPairs = 20_000
	// defaultLength is the output length on a route without a sample, in tokens.
	defaultLength = 200
)

// histogram counts lengths in buckets of exponentially growing width.
type histogram struct {
	counts [bucketCount]float32
	total  float64
}

// routeOrganisation is the key of a histogram.
type routeOrganisation struct{ route, organisation string }

// Lengths estimates the output length of requests by route and organisation. The
// number of pairs is bounded. The zero value works.
type Lengths struct {
	pairs  map[routeOrganisation]*histogram
	routes map[string]*histogram
}

// Add records the output length of one finished request, in tokens.
func (l *Lengths) Add(route, organisation string, tokens int) {
	if l.pairs == nil {
		l.pairs = map[routeOrganisation]*histogram{}
		l.routes = map[string]*histogram{}
	}
	if l.routes[route] == nil {
		l.routes[route] = &histogram{}
	}
	l.routes[route].add(tokens)
	key := routeOrganisation{route, organisation}
	pairSamples := l.pairs[key]
	if pairSamples == nil {
		if len(l.pairs) >= maxPairs {
			// Dropping all pairs costs little: the histograms of the routes remain.
			clear(l.pairs)
		}
		pairSamples = &histogram{}
		l.pairs[key] = pairSamples
	}
	pairSamples.add(tokens)
}

// Quantile returns a quantile, in (0, 1), of the output length, in tokens. The
// estimate of the route counts too, the more the fewer samples the organisation has.
func (l *Lengths) Quantile(route, organisation string, quantile float64) int {
	routeSamples := l.routes[route]
	if routeSamples == nil || routeSamples.total == 0 {
		return defaultLength
	}
	return blendedQuantile(l.pairs[routeOrganisation{route, organisation}], routeSamples, quantile)
}

// add records a length. Once the total weight exceeds 1/(1-lengthDecay), the earlier
// samples decay first.
func (h *histogram) add(tokens int) {
	if h.total > 1/(1-lengthDecay) {
		for i := range h.counts {
			h.counts[i] *= lengthDecay
		}
		h.total *= lengthDecay
	}
	h.counts[bucketIndex(tokens)]++
	h.total++
}

// blendedQuantile returns a quantile of the pair's histogram, which may be nil,
// blended with that of the route at the weight of priorSamples.
func blendedQuantile(pair, route *histogram, quantile float64) int {
	routeWeight := priorSamples / route.total
	total := priorSamples
	if pair != nil {
		total += pair.total
	}
	sum := 0.0
	for i := range bucketCount {
		sum += routeWeight * float64(route.counts[i])
		if pair != nil {
			sum += float64(pair.counts[i])
		}
		if sum >= quantile*total {
			return maxBucketLength(i)
		}
	}
	return maxBucketLength(bucketCount - 1)
}

// bucketIndex returns the bucket of a length.
func bucketIndex(tokens int) int {
	exponent := math.Log(float64(max(tokens, 1))) / math.Log(bucketRatio)
	return min(int(math.Ceil(exponent)), bucketCount-1)
}

// maxBucketLength returns the greatest length of a bucket.
func maxBucketLength(i int) int {
	return int(math.Pow(bucketRatio, float64(i)))
}
