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
	// maxSuspicion holds the share while the plan has time.
	maxSuspicion = 1e-4
	// loadShare is how much of the old version's share of loaded requests the
	// new one must have reached.
	loadShare = 0.5
)

// Evidence is what is known of the versions since the move began, as far as
// the daemons that saw it are still there.
type Evidence struct {
	// Verdict is the judge's, or that of a scheduler that stopped the version.
	Verdict judge.Verdict
	// Suspicion is the present evidence against the new version, as a part of
	// what makes it bad.
	Suspicion float64
	// Total holds all counts.
	Total judge.Window
}

// heavyLoad is the quarter of the slots in use from which a request counts as
// loaded.
const heavyLoad = 2

// Seen counts requests of a version.
type Seen struct {
	Requests int `json:"requests"`
	// Loaded are those that ran on an upstream with half of its slots in use.
	Loaded int            `json:"loaded"`
	Routes map[string]int `json:"routes,omitempty"`
}

func count(total judge.Window, version string) Seen {
	s := Seen{Routes: map[string]int{}}
	for key, counts := range total {
		if key.Version != version {
			continue
		}
		s.Requests += int(counts.Requests)
		s.Routes[key.Route] += int(counts.Requests)
		if key.Load >= heavyLoad {
			s.Loaded += int(counts.Requests)
		}
	}
	return s
}

// since returns what s has more than before.
func (s Seen) since(before Seen) Seen {
	more := Seen{Requests: s.Requests - before.Requests, Loaded: s.Loaded - before.Loaded, Routes: map[string]int{}}
	for route, n := range s.Routes {
		more.Routes[route] = n - before.Routes[route]
	}
	return more
}

// enough tells whether the stage has seen every route that matters.
func enough(fresh, old Seen) bool {
	if fresh.Requests < stageRequests {
		return false
	}
	for route, n := range old.Routes {
		if float64(n) >= routeShare*float64(old.Requests) && fresh.Routes[route] < routeRequests {
			return false
		}
	}
	return true
}

// loadSeen tells whether the new version has worked under a load like the old
// one's.
func loadSeen(fresh, old Seen) bool {
	return float64(fresh.Loaded)*float64(old.Requests) >= loadShare*float64(old.Loaded)*float64(fresh.Requests)
}
