package limiter

import (
	"errors"
	"slices"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

var errUnreachable = errors.New("the home daemon does not answer")

// departed is a member that is not seen any more.
type departed struct {
	member gossiper.Member
	at     clock.Millis
}

// homes knows which daemon is the home of an organisation, and since when.
type homes struct {
	started clock.Millis

	mu   sync.Mutex
	last []gossiper.Member
	// gone holds the members that left within the lifetime of a loan.
	gone map[string]departed
	// regions are the regions in which a daemon was ever seen.
	regions map[string]bool
}

// home returns the home daemon of an organisation.
func (l *Limiter) home(organisation string) gossiper.Member {
	members := l.View.Members()
	name := highest(members, organisation)
	for _, m := range members {
		if m.Name == name {
			return m
		}
	}
	return l.View.Self()
}

func highest(members []gossiper.Member, organisation string) string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		if sharder.Carries(m) {
			names = append(names, m.Name)
		}
	}
	return sharder.Highest(names, organisation)
}

// follow notes which members and regions came and went.
func (h *homes) follow(now clock.Millis, view gossiper.View) {
	members := view.Members()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range members {
		h.regions[m.Region] = true
	}
	for _, m := range h.last {
		if !slices.ContainsFunc(members, func(n gossiper.Member) bool { return n.Name == m.Name && sharder.Carries(n) }) {
			h.gone[m.Name] = departed{m, now}
		}
	}
	for name, d := range h.gone {
		if now-d.at > slotLifetime {
			delete(h.gone, name)
		}
	}
	h.last = slices.DeleteFunc(slices.Clone(members), func(m gossiper.Member) bool { return !sharder.Carries(m) })
}

// isNew tells whether another daemon may have been the home of the
// organisation within the lifetime of a loan.
func (h *homes) isNew(now clock.Millis, organisation, self string, members []gossiper.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now-h.started < slotLifetime && h.isHeir(organisation, self, members) {
		return true
	}
	if len(h.gone) == 0 {
		return false
	}
	before := slices.Clone(members)
	for _, d := range h.gone {
		d.member.State = gossiper.Alive
		before = append(before, d.member)
	}
	return highest(before, organisation) != self
}

// isHeir tells whether the home before this daemon's start had the time to
// lend. Daemons that all start at once inherit nothing.
func (h *homes) isHeir(organisation, self string, members []gossiper.Member) bool {
	others := slices.DeleteFunc(slices.Clone(members), func(m gossiper.Member) bool { return m.Name == self })
	name := highest(others, organisation)
	for _, m := range others {
		if m.Name == name {
			return clock.Millis(m.Incarnation) < h.started-slotLifetime
		}
	}
	return false
}

// share returns the part of the limits that is lent on this side: all of it,
// unless regions that once had daemons are out of sight. The other side of a
// cut between regions lends the rest.
func (h *homes) share(view gossiper.View) float64 {
	seen := map[string]bool{}
	for _, m := range view.Members() {
		seen[m.Region] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for region := range seen {
		h.regions[region] = true
	}
	return float64(len(seen)) / float64(max(len(h.regions), 1))
}

// place returns this daemon's index among all and their number.
func (h *homes) place(view gossiper.View) (index, count int) {
	self := view.Self().Name
	for _, m := range view.Members() {
		if !sharder.Carries(m) && m.Name != self {
			continue
		}
		if m.Name < self {
			index++
		}
		count++
	}
	return index, max(count, 1)
}
