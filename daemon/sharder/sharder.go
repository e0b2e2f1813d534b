// Package sharder divides the upstreams into shards and assigns each shard to the
// daemon that schedules it, both by rendezvous hashing. The result depends only on
// the configuration and the members, so that daemons with the same view agree
// without any communication.
package sharder

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
)

// UpstreamsPerShard is the mean number of upstreams of a shard in large pools.
const UpstreamsPerShard = 16

// Shard is a set of upstreams of one pool in one region that one daemon schedules.
type Shard struct {
	// ID is unique among all shards.
	ID     string
	Region string
	Pool   string
	// Upstreams is never empty and sorted by name.
	Upstreams []inventory.Upstream
}

// group identifies the upstreams that are divided into shards together.
type group struct {
	region, pool string
}

// Layout holds the shards of one configuration. Create it with New; it is
// immutable.
type Layout struct {
	shards  []Shard
	byID    map[string]int
	byGroup map[group][]Shard
	// byUpstream maps an upstream's name to the ID of its shard.
	byUpstream map[string]string
	// nearest maps each region to the other ones, the nearest first.
	nearest map[string][]string
}

// New divides the upstreams of the configuration into shards.
func New(config *inventory.Config) *Layout {
	l := &Layout{
		byID: map[string]int{}, byGroup: map[group][]Shard{},
		byUpstream: make(map[string]string, len(config.Upstreams)), nearest: nearestRegions(config),
	}
	groups := map[group][]inventory.Upstream{}
	for _, u := range config.Upstreams {
		g := group{u.Region, u.Pool}
		groups[g] = append(groups[g], u)
	}
	for g, upstreams := range groups {
		l.byGroup[g] = splitGroup(g, upstreams)
		l.shards = append(l.shards, l.byGroup[g]...)
	}
	slices.SortFunc(l.shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	for i, s := range l.shards {
		l.byID[s.ID] = i
		for _, u := range s.Upstreams {
			l.byUpstream[u.Name] = s.ID
		}
	}
	return l
}

// splitGroup assigns each upstream to the shard that ranks highest for its name. An
// added upstream therefore moves no other one, and an added shard moves only a
// few.
func splitGroup(g group, upstreams []inventory.Upstream) []Shard {
	count := (len(upstreams) + UpstreamsPerShard - 1) / UpstreamsPerShard
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("%s/%s/%d", g.region, g.pool, i)
	}
	parts := map[string][]inventory.Upstream{}
	for _, u := range upstreams {
		name := HighestRanked(names, u.Name)
		parts[name] = append(parts[name], u)
	}
	shards := make([]Shard, 0, count)
	for _, name := range names {
		if len(parts[name]) == 0 {
			continue
		}
		slices.SortFunc(parts[name], func(a, b inventory.Upstream) int { return cmp.Compare(a.Name, b.Name) })
		shards = append(shards, Shard{ID: name, Region: g.region, Pool: g.pool, Upstreams: parts[name]})
	}
	return shards
}

// nearestRegions maps each region to the other ones, the nearest first. Regions
// that the configuration doesn't order follow in the order of their names.
func nearestRegions(config *inventory.Config) map[string][]string {
	known := map[string]bool{}
	for _, r := range config.Regions {
		known[r.Name] = true
	}
	for _, u := range config.Upstreams {
		known[u.Region] = true
	}
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	nearest := make(map[string][]string, len(names))
	for _, name := range names {
		region, _ := inventory.Lookup(config.Regions, name)
		nearest[name] = slices.Clone(region.Nearest)
		for _, other := range names {
			if other != name && !slices.Contains(nearest[name], other) {
				nearest[name] = append(nearest[name], other)
			}
		}
	}
	return nearest
}

// Shards returns all shards, sorted by ID. The result must not be changed.
func (l *Layout) Shards() []Shard { return l.shards }

// Lookup returns the shard with the ID.
func (l *Layout) Lookup(id string) (shard Shard, found bool) {
	index, found := l.byID[id]
	if found {
		shard = l.shards[index]
	}
	return shard, found
}

// ShardsOf returns the shards of a pool in a region. The result must not be changed.
func (l *Layout) ShardsOf(region, pool string) []Shard {
	return l.byGroup[group{region, pool}]
}

// ShardOf returns the ID of the upstream's shard, empty for an unknown name.
func (l *Layout) ShardOf(upstream string) string { return l.byUpstream[upstream] }

// Nearest returns the other regions, the nearest first.
func (l *Layout) Nearest(region string) []string { return l.nearest[region] }

// Scheduler returns the daemon that schedules the shard: one of the shard's
// region, or else one of the nearest region with an eligible daemon. Leaving
// members schedule no shard. Suspected members keep their shards until they are
// declared dead, so that a false suspicion moves no shard.
func (l *Layout) Scheduler(shard Shard, members []gossiper.Member) (scheduler gossiper.Member, found bool) {
	if scheduler, found = highestMember(shard.Region, shard.ID, members); found {
		return scheduler, true
	}
	for _, region := range l.nearest[shard.Region] {
		if scheduler, found = highestMember(region, shard.ID, members); found {
			return scheduler, true
		}
	}
	return scheduler, false
}

// highestMember returns the eligible member of the region that ranks highest for
// the key.
func highestMember(region, key string, members []gossiper.Member) (best gossiper.Member, found bool) {
	var bestHash uint64
	for _, m := range members {
		if m.Region != region || !IsEligible(m) {
			continue
		}
		if hash := rendezvousHash(m.Name, key); !found || hash > bestHash {
			best, bestHash, found = m, hash, true
		}
	}
	return best, found
}

// IsEligible reports whether a member may schedule shards and lend limits: it is
// alive or suspected.
func IsEligible(m gossiper.Member) bool {
	return m.State == gossiper.Alive || m.State == gossiper.Suspect
}

// HighestRanked returns the name that ranks highest for the key by rendezvous hashing,
// or the empty string where names is empty.
func HighestRanked(names []string, key string) (best string) {
	var bestHash uint64
	for _, name := range names {
		if hash := rendezvousHash(name, key); best == "" || hash > bestHash {
			best, bestHash = name, hash
		}
	}
	return best
}

// Rank returns the rank of a name for a key by rendezvous hashing; the highest one of
// some names is that of HighestRanked.
func Rank(name, key string) uint64 { return rendezvousHash(name, key) }

// rendezvousHash returns the weight of a name for a key; the highest one wins.
func rendezvousHash(name, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// RankShards returns a copy of shards, sorted by their rank for the key, the
// highest first.
func RankShards(shards []Shard, key uint64) []Shard {
	ranked := slices.Clone(shards)
	text := strconv.FormatUint(key, 16)
	slices.SortFunc(ranked, func(a, b Shard) int { return cmp.Compare(rendezvousHash(b.ID, text), rendezvousHash(a.ID, text)) })
	return ranked
}
