package stager

import "yuccaspread/daemon/judge"

// Evidence that a stage needs before the share of the new version grows.
const (
	// minStageRequests is the minimum number of requests on the new version.
	minStageRequests = 100
	// minRouteRequests is the minimum number of requests on the new version for
	// each route that has at least minRouteShare of the old version's requests.
	minRouteRequests = 10
	minRouteShare    = 0.05
	// maxCurrentEvidence is the CurrentEvidence above which the share does not grow
	// while the stage has time left.
	maxCurrentEvidence = 1e-4
	// minLoadedRatio is the minimum ratio of the new version's share of loaded
	// requests to that of the old one.
	minLoadedRatio = 0.5
)

// Evidence is the evidence about both versions since the move began. What a
// daemon observed is missing if it went away before the present leader got it.
type Evidence struct {
	// Verdict is that of the leader's judge, or that of a daemon that stopped the
	// new version on its own evidence.
	Verdict judge.Verdict
	// CurrentEvidence is the present evidence against the new version, as a fraction
	// of the evidence at which it is judged bad.
	CurrentEvidence float64
	// Total is the sum of all counts since the move began.
	Total judge.Window
}

// minLoadedQuarter is the lowest judge.Key.Load, in quarters of the slots in use,
// at which a request counts as loaded.
const minLoadedQuarter = 2

// RequestCounts counts the requests that ran on a version.
type RequestCounts struct {
	Requests int `json:"requests"`
	// Loaded counts those that ran on an upstream with at least half of its slots
	// in use.
	Loaded int            `json:"loaded"`
	Routes map[string]int `json:"routes,omitempty"`
}

// countRequests returns the counts of a version in total.
func countRequests(total judge.Window, version string) RequestCounts {
	result := RequestCounts{Routes: map[string]int{}}
	for key, counts := range total {
		if key.Version != version {
			continue
		}
		result.Requests += int(counts.Requests)
		result.Routes[key.Route] += int(counts.Requests)
		if key.Load >= minLoadedQuarter {
			result.Loaded += int(counts.Requests)
		}
	}
	return result
}

// minus returns the requests counted in c but not in before.
func (c RequestCounts) minus(before RequestCounts) RequestCounts {
	difference := RequestCounts{Requests: c.Requests - before.Requests, Loaded: c.Loaded - before.Loaded, Routes: map[string]int{}}
	for route, n := range c.Routes {
		difference.Routes[route] = n - before.Routes[route]
	}
	return difference
}

// hasEnoughRequests reports whether the new version has run enough requests in
// total and on each route with at least minRouteShare of the old version's.
func hasEnoughRequests(newCounts, oldCounts RequestCounts) bool {
	if newCounts.Requests < minStageRequests {
		return false
	}
	for route, n := range oldCounts.Routes {
		if float64(n) >= minRouteShare*float64(oldCounts.Requests) && newCounts.Routes[route] < minRouteRequests {
			return false
		}
	}
	return true
}

// hasComparableLoad reports whether the new version has run under a load
// comparable to that of the old one.
func hasComparableLoad(newCounts, oldCounts RequestCounts) bool {
	return float64(newCounts.Loaded)*float64(oldCounts.Requests) >= minLoadedRatio*float64(oldCounts.Loaded)*float64(newCounts.Requests)
}
