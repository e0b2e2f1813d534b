package estimator

import "math"

// Bounds of the length estimates.
const (
	// lengthRatio is the width of a bucket of lengths.
	lengthRatio = 1.25
	// lengthBuckets covers lengths up to about 100,000 tokens.
	lengthBuckets = 52
	// lengthDecay is the weight that a sample keeps when a new one comes.
	lengthDecay = 0.995
	// lengthPrior is how many samples the wider estimate counts for.
	lengthPrior = 8.0
	// maxLengths bounds the pairs of route and organisation that are known.
	maxLengths = 20_000
	// firstLength is the output of requests of which nothing is known.
	firstLength = 200
)

// histogram counts lengths in buckets that grow by a constant ratio.
type histogram struct {
	counts [lengthBuckets]float32
	total  float64
}

type pair struct{ route, organisation string }

// Lengths learns the output length of requests by route and organisation.
// Its memory is bounded. The zero value works.
type Lengths struct {
	pairs  map[pair]*histogram
	routes map[string]*histogram
}

// Add takes in the output length of one finished request, in tokens.
func (l *Lengths) Add(route, organisation string, tokens int) {
	if l.pairs == nil {
		l.pairs = map[pair]*histogram{}
		l.routes = map[string]*histogram{}
	}
	if l.routes[route] == nil {
		l.routes[route] = &histogram{}
	}
	l.routes[route].add(tokens)
	key := pair{route, organisation}
	h := l.pairs[key]
	if h == nil {
		if len(l.pairs) >= maxLengths {
			// A bounded restart costs little: the routes stay known.
			clear(l.pairs)
		}
		h = &histogram{}
		l.pairs[key] = h
	}
	h.add(tokens)
}

// Quantile returns the length that the share q of requests stays under, in
// tokens. Where the organisation is little known its route counts too.
func (l *Lengths) Quantile(route, organisation string, q float64) int {
	wide := l.routes[route]
	if wide == nil || wide.total == 0 {
		return firstLength
	}
	return mixedQuantile(l.pairs[pair{route, organisation}], wide, q)
}

func (h *histogram) add(tokens int) {
	if h.total > 1/(1-lengthDecay) {
		for i := range h.counts {
			h.counts[i] *= lengthDecay
		}
		h.total *= lengthDecay
	}
	h.counts[bucket(tokens)]++
	h.total++
}

func mixedQuantile(narrow, wide *histogram, q float64) int {
	share := lengthPrior / wide.total
	total := lengthPrior
	if narrow != nil {
		total += narrow.total
	}
	sum := 0.0
	for i := range lengthBuckets {
		sum += share * float64(wide.counts[i])
		if narrow != nil {
			sum += float64(narrow.counts[i])
		}
		if sum >= q*total {
			return upperEnd(i)
		}
	}
	return upperEnd(lengthBuckets - 1)
}

func bucket(tokens int) int {
	at := math.Log(float64(max(tokens, 1))) / math.Log(lengthRatio)
	return min(int(math.Ceil(at)), lengthBuckets-1)
}

// upperEnd returns the greatest length of a bucket.
func upperEnd(at int) int {
	return int(math.Pow(lengthRatio, float64(at)))
}
