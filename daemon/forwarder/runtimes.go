package forwarder

import (
	"math"
	"slices"
	"sync"

	"yuccaspread/common/clock"
)

const (
	// keptRuns is the number of the latest runs of a route that are remembered.
	keptRuns = 64
	// runTimeQuantile is the share of a route's runs that take at most the expected time, and
	// usualRunQuantile the one that takes at most the usual time.
	runTimeQuantile  = 0.95
	usualRunQuantile = 0.5
	// maxRoutes bounds the routes that are remembered; configurations may rename routes
	// for as long as the process lives.
	maxRoutes = 2048
)

// runTimes remembers how long the latest requests of each route took, from their slot to the
// end of the answer. The zero value is ready to use.
type runTimes struct {
	mu      sync.Mutex
	byRoute map[string]*latestRuns
}

// latestRuns holds the times of up to keptRuns runs; next is the place of the oldest one.
type latestRuns struct {
	times []clock.Millis
	next  int
}

func (t *runTimes) add(route string, took clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.byRoute[route]
	if runs == nil {
		if t.byRoute == nil || len(t.byRoute) >= maxRoutes {
			t.byRoute = map[string]*latestRuns{}
		}
		runs = &latestRuns{}
		t.byRoute[route] = runs
	}
	if len(runs.times) < keptRuns {
		runs.times = append(runs.times, took)
		return
	}
	runs.times[runs.next] = took
	runs.next = (runs.next + 1) % keptRuns
}

// expect returns the time that nearly all runs of the route stay within; known is false for
// a route without runs.
func (t *runTimes) expect(route string) (took clock.Millis, known bool) {
	return t.quantile(route, runTimeQuantile)
}

// usual returns the time that a run of the route usually takes, 0 for a route without runs.
func (t *runTimes) usual(route string) clock.Millis {
	took, _ := t.quantile(route, usualRunQuantile)
	return took
}

// quantile returns the time that a share of the latest runs of the route took at most; known is
// false for a route without runs.
func (t *runTimes) quantile(route string, share float64) (took clock.Millis, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.byRoute[route]
	if runs == nil {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(runs.times))
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1], true
}
