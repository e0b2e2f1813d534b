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
	// known holds the daemons that were seen lately and did not leave by plan.
	known map[string]sighting
}

// sighting is where and when a daemon was last seen.
type sighting struct {
	region string
	at     clock.Millis
}

// knownTime is how long a daemon that is not seen any more counts when a side of a
// partition decides whether it is the smaller one.
const knownTime = 1 * clock.Minute

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
		if sharder.Carries(m) {
			h.known[m.Name] = sighting{m.Region, now}
		} else {
			delete(h.known, m.Name)
		}
	}
	for name, s := range h.known {
		if now-s.at > knownTime {
			delete(h.known, name)
		}
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
// cut between regions lends the rest. A side that sees no more than half of the
// daemons known in its regions lends little, for the larger one lends all.
func (h *homes) share(view gossiper.View) (share float64) {
	seen := map[string]bool{}
	members := view.Members()
	for _, m := range members {
		seen[m.Region] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for region := range seen {
		h.regions[region] = true
	}
	share = float64(len(seen)) / float64(max(len(h.regions), 1))
	known := 0
	for _, s := range h.known {
		if seen[s.region] {
			known++
		}
	}
	if carriers := countCarriers(members); known > 1 && 2*carriers <= known {
		share *= carefulShare * float64(carriers) / float64(known)
	}
	return share
}

func countCarriers(members []gossiper.Member) (count int) {
	for _, m := range members {
		if sharder.Carries(m) {
			count++
		}
	}
	return count
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
