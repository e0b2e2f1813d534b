// Package detector detects upstreams that are much slower than expected and
// decides when to probe them for recovery.
package detector

import "yuccaspread/common/clock"

// Thresholds of the detection.
const (
	// slowRatio is the ratio of the measured to the expected time from which on an
	// upstream is a straggler.
	slowRatio = 2.5
	// healthyRatio is the highest ratio of a successful probe.
	healthyRatio = 1.7
	// newestWeight is the weight of the newest sample in the moving average.
	newestWeight = 0.4
	// minSlowSamples is the number of consecutive slow samples of a straggler.
	minSlowSamples = 4
	// firstProbeDelay is the time from ejection to the first probe; it doubles
	// after each failed probe.
	firstProbeDelay = 2 * clock.Second
	// maxProbeDelay bounds the time between probes.
	maxProbeDelay = 30 * clock.Second
)

// Straggler tracks one upstream. The zero value is a healthy upstream.
type Straggler struct {
	// meanRatio is the exponential moving average of the ratios, 0 without samples.
	meanRatio   float64
	slowSamples int
	ejected     bool
	probeAt     clock.Millis
	probeDelay  clock.Millis
}

// Observe adds the ratio of a measured time to the expected one. Requests that
// still run on an ejected upstream are ignored.
func (s *Straggler) Observe(ratio float64) {
	if s.ejected {
		return
	}
	if s.meanRatio == 0 {
		s.meanRatio = 1
	}
	s.meanRatio += newestWeight * (min(ratio, 2*slowRatio) - s.meanRatio)
	if ratio < slowRatio {
		s.slowSamples = 0
		return
	}
	s.slowSamples++
}

// ObserveProbe handles the ratio of a probe and reports whether the upstream is
// healthy again. If not, the time to the next probe doubles.
func (s *Straggler) ObserveProbe(now clock.Millis, ratio float64) (healthy bool) {
	if ratio <= healthyRatio {
		*s = Straggler{}
		return true
	}
	s.probeDelay = min(2*s.probeDelay, maxProbeDelay)
	s.probeAt = now + s.probeDelay
	return false
}

// AbortProbe schedules the next probe after one that ended without a measurement.
func (s *Straggler) AbortProbe(now clock.Millis) {
	s.probeAt = now + s.probeDelay
}

// ShouldEject reports whether the upstream should be ejected.
func (s *Straggler) ShouldEject() bool {
	return !s.ejected && s.slowSamples >= minSlowSamples && s.meanRatio >= slowRatio
}

// Ejected reports whether the upstream gets no requests but probes.
func (s *Straggler) Ejected() bool { return s.ejected }

// Eject takes the upstream out of use until a probe succeeds.
func (s *Straggler) Eject(now clock.Millis) {
	s.ejected = true
	s.probeDelay = firstProbeDelay
	s.probeAt = now + s.probeDelay
}

// ProbeDue reports whether a probe, a single request, is due.
func (s *Straggler) ProbeDue(now clock.Millis) bool {
	return s.ejected && now >= s.probeAt
}

// StartProbe records that a probe was sent.
func (s *Straggler) StartProbe(now clock.Millis) {
	s.probeAt = now + maxProbeDelay
}
