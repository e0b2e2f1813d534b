// Package judge decides whether the new version of a pool is worse than the old
// one. It does no I/O: it takes windows of counts and returns a verdict. Its
// statistical test is sequential, so that evaluating it after every window keeps
// the stated error rate.
package judge

import (
	"math"

	"yuccaspread/common/clock"
)

// Buckets is the number of buckets of a Histogram. Their bounds grow by a factor
// of the square root of two, so that they span 1 to 65,536.
const Buckets = 32

// Histogram counts values in logarithmic buckets.
type Histogram [Buckets]uint32

// Add counts one value; values below 1 count as 1.
func (h *Histogram) Add(value int64) {
	h[Bucket(value)]++
}

// Bucket returns the index of the bucket that holds a value.
func Bucket(value int64) int {
	if value <= 1 {
		return 0
	}
	return min(int(2*math.Log2(float64(value))), Buckets-1)
}

// Total returns the number of values.
func (h *Histogram) Total() int {
	return h.Above(0)
}

// Above returns the number of values in the bucket with the index from and in
// those after it.
func (h *Histogram) Above(from int) (count int) {
	for _, c := range h[min(from, Buckets):] {
		count += int(c)
	}
	return count
}

func (h *Histogram) merge(other *Histogram) {
	for i, c := range other {
		h[i] += c
	}
}

// UpperBucket returns the lowest index such that at most share of the values lie
// in that bucket and those after it.
func (h *Histogram) UpperBucket(share float64) int {
	bound := share * float64(h.Total())
	above := 0
	for b := Buckets - 1; b >= 0; b-- {
		if above += int(h[b]); float64(above) > bound {
			return b + 1
		}
	}
	return 0
}

// lowerBucket returns the highest index such that at most share of the values
// lie in the buckets below it.
func (h *Histogram) lowerBucket(share float64) int {
	bound := share * float64(h.Total())
	below := 0
	for b, c := range h {
		if below += int(c); float64(below) > bound {
			return b
		}
	}
	return Buckets
}

// Key is what the requests of a group have in common.
type Key struct {
	Version    string `json:"version"`
	Route      string `json:"route"`
	Generation string `json:"generation"`
	// Load is the share of the upstream's slots in use, in quarters from 0 to 3.
	// Each quarter is compared separately, so that an unequal load does not look
	// like a difference between the versions.
	Load uint8 `json:"load"`
}

// loadLevels is the number of values of Key.Load.
const loadLevels = 4

// LoadQuarter returns the Key.Load of an upstream that runs the given number of
// requests.
func LoadQuarter(running, slots int) uint8 {
	return uint8(min(max(loadLevels*running/max(slots, 1), 0), loadLevels-1))
}

// Counts holds the results of the requests of a Key.
type Counts struct {
	// Requests counts the ended requests that an upstream answered or failed.
	Requests uint32 `json:"requests"`
	// Failed counts errors, broken connections and truncated answers.
	Failed uint32 `json:"failed"`
	// Empty counts complete answers without any output.
	Empty uint32 `json:"empty"`
	// First holds the times to the first token in milliseconds, Gap the mean times
	// between tokens in milliseconds, Length the numbers of output tokens.
	First  Histogram `json:"first"`
	Gap    Histogram `json:"gap"`
	Length Histogram `json:"length"`
}

// Sample is one ended request.
type Sample struct {
	Failed bool
	// FirstTokenTime is the time to the first token, 0 if there was none.
	FirstTokenTime clock.Millis
	// TokenGap is the mean time between tokens, 0 if there were fewer than two.
	TokenGap clock.Millis
	// Tokens is the number of output tokens; 1 for services.
	Tokens int
}

// Add counts one request.
func (c *Counts) Add(s Sample) {
	c.Requests++
	if s.Failed {
		c.Failed++
		return
	}
	if s.Tokens <= 0 {
		c.Empty++
		return
	}
	c.Length.Add(int64(s.Tokens))
	if s.FirstTokenTime > 0 {
		c.First.Add(int64(s.FirstTokenTime))
	}
	if s.TokenGap > 0 {
		c.Gap.Add(int64(s.TokenGap))
	}
}

// Merge adds other to the counts.
func (c *Counts) Merge(other *Counts) {
	c.Requests += other.Requests
	c.Failed += other.Failed
	c.Empty += other.Empty
	c.First.merge(&other.First)
	c.Gap.merge(&other.Gap)
	c.Length.merge(&other.Length)
}

// Window holds the counts of one period of time.
type Window map[Key]*Counts

// Of returns the counts of the key, which it creates if they are missing.
func (w Window) Of(key Key) *Counts {
	counts, found := w[key]
	if !found {
		counts = &Counts{}
		w[key] = counts
	}
	return counts
}

// Merge adds the counts of other.
func (w Window) Merge(other Window) {
	for key, counts := range other {
		w.Of(key).Merge(counts)
	}
}
