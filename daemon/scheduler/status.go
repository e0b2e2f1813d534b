package scheduler

import "yuccaspread/daemon/placer"

// Status is a summary of a scheduler for metrics.
type Status struct {
	// Waiting and Running are the numbers of asks by tier, for the tiers that have any.
	Waiting map[int]int `json:"waiting"`
	Running map[int]int `json:"running"`
	// Lowest is the lowest tier that is admitted, AllTiers if none is shed.
	Lowest    int              `json:"lowest"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is the summary of one upstream.
type UpstreamStatus struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Running int    `json:"running"`
	// Foreign is the estimated number of requests that this scheduler didn't grant.
	Foreign int `json:"foreign"`
	// Limit is the current limit of concurrent requests.
	Limit   int  `json:"limit"`
	Ejected bool `json:"ejected"`
	// Open reports whether the upstream accepts work now.
	Open bool `json:"open"`
}

// Status returns a summary of the current state.
func (s *State) Status() Status {
	status := Status{Waiting: map[int]int{}, Running: map[int]int{}, Lowest: s.lowestAdmitted()}
	for _, a := range s.asks {
		if a.upstream != nil {
			status.Running[a.Tier]++
		} else {
			status.Waiting[a.Tier]++
		}
	}
	for _, u := range s.upstreams {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name: u.Name, Version: u.version, Running: u.running, Foreign: u.foreign.count,
			Limit:   placer.MaxConcurrent(&u.speed.TokenGap, s.tokenGapTargetMS, u.Slots),
			Ejected: u.straggler.Ejected(), Open: u.acceptsWork(s.now),
		})
	}
	return status
}
