package follower

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

const (
	// relayFanout is the number of peers in its region to which a daemon passes a relay on.
	relayFanout = 4
	// minRelayStep is how much newer a relay of one root has to be than the last one to be
	// passed on. It ends relays that go round between daemons whose views differ.
	minRelayStep = 100 * clock.Millisecond
	// maxRelayRoots bounds the roots whose last relay is remembered.
	maxRelayRoots = 1000
)

// relayQueue holds the relays that a daemon has to pass on. The zero value is ready to use.
type relayQueue struct {
	// queued holds the roots of the relays that have come and wait for rows.
	queued []string
	// passed holds, by root, the confirmations of the last relay that was passed on.
	passed map[string]confirmations
}

// confirmations holds when the rows of the configuration's table and of that of upstreams were
// confirmed last.
type confirmations struct{ config, upstreams clock.Millis }

// isNews reports whether a relay has to be passed on, and counts it as passed on then.
func (q *relayQueue) isNews(root string, known confirmations) bool {
	last, found := q.passed[root]
	if found && known.config-last.config < minRelayStep && known.upstreams-last.upstreams < minRelayStep {
		return false
	}
	if q.passed == nil || len(q.passed) >= maxRelayRoots {
		q.passed = map[string]confirmations{}
	}
	q.passed[root] = known
	return true
}

// Relay implements Peers.
func (x *Exchanger) Relay(ctx context.Context) {
	x.relayQueued(ctx, []string{x.View.Self().Name})
}

// queueRelay queues the relay of a root, empty for none, until the rows that it tells of are
// known here.
func (x *Exchanger) queueRelay(root string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if root != "" && !slices.Contains(x.relays.queued, root) {
		x.relays.queued = append(x.relays.queued, root)
	}
}

// takeQueuedRelays returns the roots of the queued relays and empties the queue.
func (x *Exchanger) takeQueuedRelays() (roots []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	roots, x.relays.queued = x.relays.queued, nil
	return roots
}

// relayQueued passes the relays of some roots on.
func (x *Exchanger) relayQueued(ctx context.Context, roots []string) {
	for _, root := range roots {
		known := x.Follower.noteRelay()
		x.mu.Lock()
		isNews := x.relays.isNews(root, known)
		x.mu.Unlock()
		if !isNews {
			continue
		}
		for _, m := range relayTargets(x.View.Members(), root, x.View.Self().Name) {
			go x.notifyPeer(ctx, m.PeerListen, root)
		}
	}
}

// relayTargets returns the members to which the daemon named self passes the relay of a root on.
// Members with the same view build the same tree: the root tells the first member of each other
// region, and in each region the members form a tree in an order that differs from root to root,
// so that no member depends on the same peers for all relays.
func relayTargets(members []gossiper.Member, root, self string) (targets []gossiper.Member) {
	byRegion, ownRegion := map[string][]rankedMember{}, ""
	for i := range members {
		m := &members[i]
		if m.Name == self {
			ownRegion = m.Region
		} else if m.State != gossiper.Alive {
			continue
		}
		byRegion[m.Region] = append(byRegion[m.Region], rankedMember{relayRank(m.Name, root), i})
	}
	for region, ranked := range byRegion {
		switch {
		case region == ownRegion:
			sortByRank(ranked)
			index := slices.IndexFunc(ranked, func(r rankedMember) bool { return members[r.index].Name == self })
			first := min(index*relayFanout+1, len(ranked))
			for _, r := range ranked[first:min(first+relayFanout, len(ranked))] {
				targets = append(targets, members[r.index])
			}
		case self == root:
			head := slices.MinFunc(ranked, compareRanks)
			targets = append(targets, members[head.index])
		}
	}
	return targets
}

// relayRank returns the place of a member in the order for a root, which comes first.
func relayRank(name, root string) uint64 {
	if name == root {
		return 0
	}
	// The product with an odd number mixes the bits, so that neighbours for one root aren't
	// neighbours for others.
	const mixer = 0x9e3779b97f4a7c15
	return (xxhash.Sum64String(name) ^ xxhash.Sum64String(root)) * mixer
}

// rankedMember is the place of a member, by its index in a list, in an order.
type rankedMember struct {
	rank  uint64
	index int
}

func compareRanks(a, b rankedMember) int { return cmp.Compare(a.rank, b.rank) }

func sortByRank(ranked []rankedMember) { slices.SortFunc(ranked, compareRanks) }
