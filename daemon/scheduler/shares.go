package scheduler

import "slices"

// shareWindow is the number of grants over which shares are kept.
const shareWindow = 1000

// shares keeps the traffic of each version to its share. The zero value
// limits none.
type shares struct {
	Shares
	// given counts grants to a version, total those it might have got.
	given, total map[string]float64
}

func (h *shares) replace(m Shares) {
	h.Shares = m
	h.given = map[string]float64{}
	h.total = map[string]float64{}
}

// permits tells whether a version may serve the ask at all.
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

// room tells whether one more grant keeps the version within its share.
func (h *shares) room(version string) bool {
	share, named := h.Shares.Shares[version]
	return !named || share >= 1 || h.given[version]+1 <= share*(h.total[version]+1)
}

// owed returns a version that is behind its share and may serve the ask.
func (h *shares) owed(s *State, a *ask) string {
	if len(h.Shares.Shares) == 0 {
		return ""
	}
	for _, u := range s.upstreams {
		_, named := h.Shares.Shares[u.version]
		if named && h.permits(u.version, a) && h.room(u.version) {
			return u.version
		}
	}
	return ""
}

// count notes a grant. A version that had no upstream for a while is owed one
// request at most, so that it never catches up above its share.
func (h *shares) count(a *ask) {
	for version, share := range h.Shares.Shares {
		if !h.permits(version, a) {
			continue
		}
		h.total[version]++
		if a.version == version {
			h.given[version]++
		}
		if h.total[version] > shareWindow {
			h.total[version] /= 2
			h.given[version] /= 2
		}
		h.given[version] = max(h.given[version], share*h.total[version]-1)
	}
}
