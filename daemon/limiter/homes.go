package limiter

import (
	"errors"
	"slices"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

var errUnreachable = errors.New("home daemon does not answer")

// departedMember is a member that has left the view.
type departedMember struct {
	member     gossiper.Member
	departedAt clock.Millis
}

// homes tracks the members of the view, to tell whether the home of an
// organisation changed recently and which part of the limits may be lent.
type homes struct {
	started clock.Millis

	mu          sync.Mutex
	lastMembers []gossiper.Member
	// departed holds the members that left within slotLifetime, by name.
	departed map[string]departedMember
	// regionsSeen holds the regions in which a daemon was ever seen.
	regionsSeen map[string]bool
	// sightings holds the daemons seen within sightingLifetime that did not leave
	// in a planned way, by name.
	sightings map[string]sighting
}

// sighting is the region and the time in which a daemon was last seen.
type sighting struct {
	region string
	seenAt clock.Millis
}

// sightingLifetime is how long a daemon that has left the view still counts when
// one side of a partition decides whether it is the smaller one.
const sightingLifetime = 1 * clock.Minute

// home returns the home daemon of an organisation, or this daemon if no member
// may lend.
func (l *Limiter) home(organisation string) gossiper.Member {
	members := l.View.Members()
	name := homeName(members, organisation)
	for _, m := range members {
		if m.Name == name {
			return m
		}
	}
	return l.View.Self()
}

// homeName returns the name of the organisation's home among the members, or
// the empty string if none of them may lend.
func homeName(members []gossiper.Member, organisation string) string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		if sharder.IsEligible(m) {
			names = append(names, m.Name)
		}
	}
	return sharder.HighestRanked(names, organisation)
}

// trackMembers records which members and regions appeared and left.
func (h *homes) trackMembers(now clock.Millis, view gossiper.View) {
	members := view.Members()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range members {
		h.regionsSeen[m.Region] = true
		if sharder.IsEligible(m) {
			h.sightings[m.Name] = sighting{m.Region, now}
		} else {
			delete(h.sightings, m.Name)
		}
	}
	for name, s := range h.sightings {
		if now-s.seenAt > sightingLifetime {
			delete(h.sightings, name)
		}
	}
	for _, m := range h.lastMembers {
		if !slices.ContainsFunc(members, func(n gossiper.Member) bool { return n.Name == m.Name && sharder.IsEligible(n) }) {
			h.departed[m.Name] = departedMember{m, now}
		}
	}
	for name, d := range h.departed {
		if now-d.departedAt > slotLifetime {
			delete(h.departed, name)
		}
	}
	h.lastMembers = slices.DeleteFunc(slices.Clone(members), func(m gossiper.Member) bool { return !sharder.IsEligible(m) })
}

// isNewHome reports whether another daemon may have been the home of the
// organisation within slotLifetime, so that its loans may still be in use.
func (h *homes) isNewHome(now clock.Millis, organisation, self string, members []gossiper.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now-h.started < slotLifetime && h.predecessorMayHaveLent(organisation, self, members) {
		return true
	}
	if len(h.departed) == 0 {
		return false
	}
	formerMembers := slices.Clone(members)
	for _, d := range h.departed {
		d.member.State = gossiper.Alive
		formerMembers = append(formerMembers, d.member)
	}
	return homeName(formerMembers, organisation) != self
}

// predecessorMayHaveLent reports whether the home before this daemon's start ran
// long enough to have lent. Daemons that all start at once have no predecessor.
// It is called with mu held.
func (h *homes) predecessorMayHaveLent(organisation, self string, members []gossiper.Member) bool {
	others := slices.DeleteFunc(slices.Clone(members), func(m gossiper.Member) bool { return m.Name == self })
	name := homeName(others, organisation)
	for _, m := range others {
		if m.Name == name {
			return clock.Millis(m.Incarnation) < h.started-slotLifetime
		}
	}
	return false
}

// lendableShare returns the share of the limits, at most 1, that is lent on this
// side of a partition: 1, unless regions that once had daemons are missing from
// the view; the other side of a cut between regions lends the rest. A side that
// sees at most half of the recently seen daemons of its regions reduces its
// share further, because the larger side goes on to lend all of it.
func (h *homes) lendableShare(view gossiper.View) (share float64) {
	seen := map[string]bool{}
	members := view.Members()
	for _, m := range members {
		seen[m.Region] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for region := range seen {
		h.regionsSeen[region] = true
	}
	share = float64(len(seen)) / float64(max(len(h.regionsSeen), 1))
	known := 0
	for _, s := range h.sightings {
		if seen[s.region] {
			known++
		}
	}
	if eligible := countEligible(members); known > 1 && 2*eligible <= known {
		share *= partitionedShare * float64(eligible) / float64(known)
	}
	return share
}

// countEligible returns the number of members that may lend.
func countEligible(members []gossiper.Member) (count int) {
	for _, m := range members {
		if sharder.IsEligible(m) {
			count++
		}
	}
	return count
}

// position returns this daemon's index, by name, among the daemons that may
// lend, and their number.
func (h *homes) position(view gossiper.View) (index, count int) {
	self := view.Self().Name
	for _, m := range view.Members() {
		if !sharder.IsEligible(m) && m.Name != self {
			continue
		}
		if m.Name < self {
			index++
		}
		count++
	}
	return index, max(count, 1)
}
