package stager

import "yuccaspread/daemon/judge"

// What a stage needs to have seen before the share grows.
const (
	// stageRequests is the number of requests on the new version.
	stageRequests = 100
	// routeRequests is the same for each route that has at least routeShare
	// of the old version's traffic.
	routeRequests = 10
	routeShare    = 0.05
	// loadShare is how much of the old version's share of loaded requests the
	// new one must have reached.
	loadShare = 0.5
)

// Evidence is what is known of the versions since the present leader began.
type Evidence struct {
	// Verdict is the judge's, or that of a scheduler that stopped the version.
	Verdict judge.Verdict
	// Total holds all counts.
	Total judge.Window
}

// seen counts requests of a version by route.
type seen struct {
	requests, loaded int
	routes           map[string]int
}

func count(total judge.Window, version string) seen {
	s := seen{routes: map[string]int{}}
	for key, counts := range total {
		if key.Version != version {
			continue
		}
		s.requests += int(counts.Requests)
		s.routes[key.Route] += int(counts.Requests)
		if key.Loaded {
			s.loaded += int(counts.Requests)
		}
	}
	return s
}

// since returns what s has more than before.
func (s seen) since(before seen) seen {
	more := seen{requests: s.requests - before.requests, loaded: s.loaded - before.loaded, routes: map[string]int{}}
	for route, n := range s.routes {
		more.routes[route] = n - before.routes[route]
	}
	return more
}

// enough tells whether the stage has seen every route that matters.
func enough(fresh, old seen) bool {
	if fresh.requests < stageRequests {
		return false
	}
	for route, n := range old.routes {
		if float64(n) >= routeShare*float64(old.requests) && fresh.routes[route] < routeRequests {
			return false
		}
	}
	return true
}

// loadSeen tells whether the new version has worked under a load like the old
// one's.
func loadSeen(fresh, old seen) bool {
	return float64(fresh.loaded)*float64(old.requests) >= loadShare*float64(old.loaded)*float64(fresh.requests)
}
