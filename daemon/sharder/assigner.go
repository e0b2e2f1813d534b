package sharder

import (
	"slices"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
)

// Assignment tells who schedules which shard at one moment. It never changes.
type Assignment struct {
	Layout *Layout
	// Members are all members that were known, sorted by name.
	Members []gossiper.Member
	// schedulers has an entry for each shard that has a scheduler.
	schedulers map[string]gossiper.Member
}

// Scheduler returns the daemon that schedules the shard with the ID.
func (a *Assignment) Scheduler(shard string) (scheduler gossiper.Member, found bool) {
	scheduler, found = a.schedulers[shard]
	return scheduler, found
}

// Daemons returns how many daemons of a region may carry work, at least 1.
func (a *Assignment) Daemons(region string) int {
	count := 0
	for _, m := range a.Members {
		if m.Region == region && Carries(m) {
			count++
		}
	}
	return max(count, 1)
}

// Assigner follows the configuration and the members. Its exported fields are
// set before use; it is safe for concurrent use.
type Assigner struct {
	Source inventory.Source
	View   gossiper.View
	// Clock lets the members be read only every membersInterval; nil reads
	// them each time.
	Clock clock.Clock

	cache Cache

	mu      sync.Mutex
	current *Assignment
	// read is the clock's reading when the members were read.
	read clock.Millis
}

// membersInterval is how old the members of an assignment may be.
const membersInterval = 100 * clock.Millisecond

// Current returns the assignment that follows from what is known now. It is
// computed anew only when the upstreams or the members have changed.
func (a *Assigner) Current() *Assignment {
	layout := a.cache.Layout(a.Source.Current())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isFresh(layout) {
		return a.current
	}
	members := a.View.Members()
	if a.current != nil && a.current.Layout == layout && slices.EqualFunc(a.current.Members, members, equal) {
		return a.current
	}
	next := &Assignment{Layout: layout, Members: members, schedulers: map[string]gossiper.Member{}}
	for _, shard := range layout.Shards() {
		if scheduler, found := layout.Scheduler(shard, members); found {
			next.schedulers[shard.ID] = scheduler
		}
	}
	a.current = next
	return next
}

// isFresh tells whether the members need not be read again, and notes the
// time where they do; the lock is held.
func (a *Assigner) isFresh(layout *Layout) bool {
	if a.Clock == nil {
		return false
	}
	now := a.Clock.Now()
	if a.current != nil && a.current.Layout == layout && now-a.read < membersInterval {
		return true
	}
	a.read = now
	return false
}

// equal tells whether two members are the same as far as shards are concerned.
func equal(a, b gossiper.Member) bool {
	return a.Name == b.Name && a.Region == b.Region && a.PeerListen == b.PeerListen && Carries(a) == Carries(b)
}
