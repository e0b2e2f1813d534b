// Package detector notices upstreams that are much slower than their kind.
package detector

import "yuccaspread/common/clock"

// Bounds of the judgement.
const (
	// slowRatio is how many times the expected time makes a straggler.
	slowRatio = 2.5
	// healthyRatio is what a probe may take at most, in expected times.
	healthyRatio = 1.7
	// newestWeight is the weight of the newest sample in the mean.
	newestWeight = 0.4
	// minSamples is how many slow samples in a row it takes.
	minSamples = 4
	// firstProbe is the time to the first probe, doubled after each bad one.
	firstProbe = 2 * clock.Second
	// longestProbe bounds the time between probes.
	longestProbe = 30 * clock.Second
)

// Straggler judges one upstream. The zero value is a healthy one.
type Straggler struct {
	mean    float64
	slow    int
	ejected bool
	probeAt clock.Millis
	wait    clock.Millis
}

// Observe takes in the ratio of a measured time to the expected one. What
// still runs on an ejected upstream tells nothing.
func (s *Straggler) Observe(ratio float64) {
	if s.ejected {
		return
	}
	if s.mean == 0 {
		s.mean = 1
	}
	s.mean += newestWeight * (min(ratio, 2*slowRatio) - s.mean)
	if ratio < slowRatio {
		s.slow = 0
		return
	}
	s.slow++
}

// ObserveProbe takes in the ratio of a probe and tells whether the upstream
// is healthy again.
func (s *Straggler) ObserveProbe(now clock.Millis, ratio float64) (healthy bool) {
	if ratio <= healthyRatio {
		*s = Straggler{}
		return true
	}
	s.wait = min(2*s.wait, longestProbe)
	s.probeAt = now + s.wait
	return false
}

// LoseProbe notes that a probe ended without telling anything.
func (s *Straggler) LoseProbe(now clock.Millis) {
	s.probeAt = now + s.wait
}

// Slow tells whether the upstream should be ejected.
func (s *Straggler) Slow() bool {
	return !s.ejected && s.slow >= minSamples && s.mean >= slowRatio
}

// Ejected tells whether the upstream gets nothing but probes.
func (s *Straggler) Ejected() bool { return s.ejected }

// Eject stops work towards the upstream until a probe succeeds.
func (s *Straggler) Eject(now clock.Millis) {
	s.ejected = true
	s.wait = firstProbe
	s.probeAt = now + s.wait
}

// Probe tells whether it is time to try the upstream with one request.
func (s *Straggler) Probe(now clock.Millis) bool {
	return s.ejected && now >= s.probeAt
}

// Probed notes that a probe is under way.
func (s *Straggler) Probed(now clock.Millis) {
	s.probeAt = now + longestProbe
}
