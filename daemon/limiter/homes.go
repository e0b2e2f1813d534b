package limiter

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

var (
	errUnreachable = errors.New("home daemon does not answer")
	errUnsettled   = errors.New("this daemon does not know the fleet yet")
)

// departedMember is a member that has left the view.
type departedMember struct {
	member     gossiper.Member
	departedAt clock.Millis
}

// homes tracks the members of the view, to tell whether the home of an
// organisation changed recently and which part of the limits may be lent.
type homes struct {
	// aloneSince is the time before which another daemon may have lent in the place of
	// this one: its start, or the last time that the others took it for gone. It is
	// guarded by mu.
	aloneSince clock.Millis
	// incarnation is that of this daemon when aloneSince was set; hasResumed is set if
	// that was after its start.
	incarnation int64
	hasResumed  bool

	mu     sync.Mutex
	census sharder.Census
	// departed holds the members that left within slotLifetime, by name.
	departed map[string]departedMember
	// regionsSeen holds the regions in which a daemon was ever seen.
	regionsSeen map[string]bool
}

// askedFormerHomes is the number of daemons that a new home asks to lend no more. The
// second and third matter where several daemons joined or left at once.
const askedFormerHomes = 3

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
	}
	for _, d := range h.census.Track(now, members) {
		h.departed[d.Member.Name] = departedMember{d.Member, now}
	}
	maps.DeleteFunc(h.departed, func(_ string, d departedMember) bool { return now-d.departedAt > slotLifetime })
}

// isResumed reports whether the incarnation of this daemon has changed: the others
// suspected it, or took it for gone, and another home may have taken over.
func (h *homes) isResumed(self gossiper.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return servingIncarnation(self) != h.incarnation
}

// servingIncarnation returns the incarnation of a daemon before its planned stop, which
// raises it once.
func servingIncarnation(self gossiper.Member) int64 {
	if self.State == gossiper.Leaving {
		return self.Incarnation - 1
	}
	return self.Incarnation
}

// resume records that another home may have taken over until now.
func (h *homes) resume(now clock.Millis, self gossiper.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation, h.aloneSince, h.hasResumed = servingIncarnation(self), now, true
}

// resumed reports whether another home may have taken over since the start.
func (h *homes) resumed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasResumed
}

// earliestTenure returns the time before which another daemon may have lent in the place
// of this one.
func (h *homes) earliestTenure() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.aloneSince
}

// isNewHome reports whether another daemon may have been the home of the
// organisation within slotLifetime, so that its loans may still be in use.
func (h *homes) isNewHome(now clock.Millis, organisation, self string, members []gossiper.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now-h.aloneSince < slotLifetime {
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

// formerHomes returns the daemons that may have been the home of the organisation
// before this one: those of the highest rank among the other members, leaving ones
// included, and those that left the view within slotLifetime.
func (h *homes) formerHomes(organisation, self string, members []gossiper.Member) (former []gossiper.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range members {
		if m.Name != self {
			former = append(former, m)
		}
	}
	for _, d := range h.departed {
		if !slices.ContainsFunc(former, func(m gossiper.Member) bool { return m.Name == d.member.Name }) {
			former = append(former, d.member)
		}
	}
	ranks := make(map[string]uint64, len(former))
	for _, m := range former {
		ranks[m.Name] = sharder.Rank(m.Name, organisation)
	}
	slices.SortFunc(former, func(a, b gossiper.Member) int { return cmp.Compare(ranks[b.Name], ranks[a.Name]) })
	return former[:min(len(former), askedFormerHomes)]
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
	present, known := h.census.Known(func(region string) bool { return seen[region] })
	if known > 1 && 2*present <= known {
		share *= partitionedShare * float64(present) / float64(known)
	}
	return share
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
