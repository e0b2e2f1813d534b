package scheduler

import "slices"

// shareWindow is the number of eligible grants above which the counts of a version
// are halved, so that its share holds over recent grants.
const shareWindow = 1000

// shares limits the traffic of each version to its share. The zero value sets no
// limit.
type shares struct {
	Shares
	// granted counts the grants to a version, eligible the grants for asks that the
	// version may serve.
	granted, eligible map[string]float64
}

// replace sets the shares and restarts the counts.
func (h *shares) replace(m Shares) {
	h.Shares = m
	h.granted = map[string]float64{}
	h.eligible = map[string]float64{}
}

// permits reports whether a version may serve the ask at all.
func (h *shares) permits(version string, a *ask) bool {
	share, named := h.Shares.Shares[version]
	if !named {
		return true
	}
	if share <= 0 {
		return false
	}
	if routes, limited := h.Routes[version]; limited && !slices.Contains(routes, a.Route) {
		return false
	}
	return a.Idempotent || slices.Contains(h.NonIdempotent, version)
}

// hasRoom reports whether one more grant keeps the version within its share.
func (h *shares) hasRoom(version string) bool {
	share, named := h.Shares.Shares[version]
	return !named || share >= 1 || h.granted[version]+1 <= share*(h.eligible[version]+1)
}

// underservedVersion returns a version that is below its share and may serve the
// ask, or an empty string.
func (h *shares) underservedVersion(s *State, a *ask) string {
	if len(h.Shares.Shares) == 0 {
		return ""
	}
	for _, u := range s.upstreams {
		_, named := h.Shares.Shares[u.version]
		if named && h.permits(u.version, a) && h.hasRoom(u.version) {
			return u.version
		}
	}
	return ""
}

// recordGrant counts a grant. A version that had no upstream for a while lags by
// one request at most, so that it never catches up by exceeding its share.
func (h *shares) recordGrant(a *ask) {
	for version, share := range h.Shares.Shares {
		if !h.permits(version, a) {
			continue
		}
		h.eligible[version]++
		if a.version == version {
			h.granted[version]++
		}
		if h.eligible[version] > shareWindow {
			h.eligible[version] /= 2
			h.granted[version] /= 2
		}
		h.granted[version] = max(h.granted[version], share*h.eligible[version]-1)
	}
}
