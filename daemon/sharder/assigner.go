package sharder

import (
	"slices"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
)

// Assignment maps each shard to the daemon that schedules it, as of one moment.
// It is immutable.
type Assignment struct {
	Layout *Layout
	// Members are all members that were known at that moment, sorted by name.
	Members []gossiper.Member
	// schedulerByShard maps a shard's ID to its scheduler; shards without one
	// have no entry.
	schedulerByShard map[string]gossiper.Member
}

// Scheduler returns the daemon that schedules the shard with the ID.
func (a *Assignment) Scheduler(shard string) (scheduler gossiper.Member, found bool) {
	scheduler, found = a.schedulerByShard[shard]
	return scheduler, found
}

// Daemons returns the number of daemons of a region that may schedule shards, at
// least 1.
func (a *Assignment) Daemons(region string) int {
	count := 0
	for _, m := range a.Members {
		if m.Region == region && IsEligible(m) {
			count++
		}
	}
	return max(count, 1)
}

// Assigner keeps the assignment that follows from the configuration and the
// members. Its exported fields are set before use; it is safe for concurrent use.
type Assigner struct {
	Source inventory.Source
	View   gossiper.View
	// Clock limits the reading of the members to once in maxMembersAge; where it
	// is nil they are read on each call.
	Clock clock.Clock

	cache LayoutCache

	mu      sync.Mutex
	current *Assignment
	// membersReadAt is when the members were last read.
	membersReadAt clock.Millis
}

// maxMembersAge is how old the members of an assignment may be.
const maxMembersAge = 100 * clock.Millisecond

// Current returns the assignment for the current configuration and members. It is
// computed anew only when the upstreams, the regions or the members have changed.
func (a *Assigner) Current() *Assignment {
	layout := a.cache.Layout(a.Source.Current())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isFresh(layout) {
		return a.current
	}
	members := a.View.Members()
	if a.current != nil && a.current.Layout == layout && slices.EqualFunc(a.current.Members, members, isSameForShards) {
		return a.current
	}
	next := &Assignment{Layout: layout, Members: members, schedulerByShard: map[string]gossiper.Member{}}
	for _, shard := range layout.Shards() {
		if scheduler, found := layout.Scheduler(shard, members); found {
			next.schedulerByShard[shard.ID] = scheduler
		}
	}
	a.current = next
	return next
}

// isFresh reports whether the members need not be read again. Otherwise it sets
// membersReadAt. It is called with mu held.
func (a *Assigner) isFresh(layout *Layout) bool {
	if a.Clock == nil {
		return false
	}
	now := a.Clock.Now()
	if a.current != nil && a.current.Layout == layout && now-a.membersReadAt < maxMembersAge {
		return true
	}
	a.membersReadAt = now
	return false
}

// isSameForShards reports whether two members are equal in all that the assignment
// of shards depends on.
func isSameForShards(a, b gossiper.Member) bool {
	return a.Name == b.Name && a.Region == b.Region && a.PeerListen == b.PeerListen && IsEligible(a) == IsEligible(b)
}
