// Package sharder cuts the upstreams into shards and names the daemon that
// schedules each. It is pure: every daemon that has the same configuration
// and the same members comes to the same answer without asking anyone.
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

// UpstreamsPerShard is the mean size of a shard in large pools.
const UpstreamsPerShard = 16

// Shard is a part of the upstreams of one pool in one region.
type Shard struct {
	// ID is unique among all shards.
	ID     string
	Region string
	Pool   string
	// Upstreams is never empty and sorted by name.
	Upstreams []inventory.Upstream
}

// group identifies the upstreams among which shards are cut.
type group struct {
	region, pool string
}

// Layout holds the shards of one configuration. Create it with New; it never
// changes.
type Layout struct {
	shards  []Shard
	byID    map[string]int
	byGroup map[group][]Shard
	// byUpstream maps an upstream's name to the ID of its shard.
	byUpstream map[string]string
	nearest    map[string][]string
}

// New cuts the upstreams of the configuration into shards.
func New(config *inventory.Config) *Layout {
	l := &Layout{
		byID: map[string]int{}, byGroup: map[group][]Shard{},
		byUpstream: make(map[string]string, len(config.Upstreams)), nearest: nearest(config),
	}
	groups := map[group][]inventory.Upstream{}
	for _, u := range config.Upstreams {
		g := group{u.Region, u.Pool}
		groups[g] = append(groups[g], u)
	}
	for g, members := range groups {
		l.byGroup[g] = cut(g, members)
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

// cut gives each upstream to the part that ranks highest for its name, so
// that another upstream moves only itself and another part moves few.
func cut(g group, members []inventory.Upstream) []Shard {
	count := (len(members) + UpstreamsPerShard - 1) / UpstreamsPerShard
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("%s/%s/%d", g.region, g.pool, i)
	}
	parts := map[string][]inventory.Upstream{}
	for _, u := range members {
		name := Highest(names, u.Name)
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

// nearest returns for each region the other ones, the nearest first. Regions
// that the configuration does not order follow by name.
func nearest(config *inventory.Config) map[string][]string {
	all := map[string]bool{}
	for _, r := range config.Regions {
		all[r.Name] = true
	}
	for _, u := range config.Upstreams {
		all[u.Region] = true
	}
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	order := make(map[string][]string, len(names))
	for _, name := range names {
		region, _ := inventory.Lookup(config.Regions, name)
		order[name] = slices.Clone(region.Nearest)
		for _, other := range names {
			if other != name && !slices.Contains(order[name], other) {
				order[name] = append(order[name], other)
			}
		}
	}
	return order
}

// Shards returns all shards, sorted by ID. The result must not be changed.
func (l *Layout) Shards() []Shard { return l.shards }

// Lookup returns the shard with the ID.
func (l *Layout) Lookup(id string) (shard Shard, found bool) {
	at, found := l.byID[id]
	if found {
		shard = l.shards[at]
	}
	return shard, found
}

// Of returns the shards of a pool in a region. The result must not be changed.
func (l *Layout) Of(region, pool string) []Shard {
	return l.byGroup[group{region, pool}]
}

// ShardOf returns the ID of the upstream's shard, empty for an unknown name.
func (l *Layout) ShardOf(upstream string) string { return l.byUpstream[upstream] }

// Nearest returns the other regions, the nearest first.
func (l *Layout) Nearest(region string) []string { return l.nearest[region] }

// Scheduler returns the daemon that schedules the shard: one of the shard's
// region, or of the nearest region that has a daemon alive. Members that
// leave carry no shard; suspected ones keep theirs until they are known dead,
// so that a false suspicion moves nothing.
func (l *Layout) Scheduler(shard Shard, members []gossiper.Member) (scheduler gossiper.Member, found bool) {
	if scheduler, found = highest(shard.Region, shard.ID, members); found {
		return scheduler, true
	}
	for _, region := range l.nearest[shard.Region] {
		if scheduler, found = highest(region, shard.ID, members); found {
			return scheduler, true
		}
	}
	return scheduler, false
}

func highest(region, key string, members []gossiper.Member) (best gossiper.Member, found bool) {
	var rank uint64
	for _, m := range members {
		if m.Region != region || !Carries(m) {
			continue
		}
		if r := weight(m.Name, key); !found || r > rank {
			best, rank, found = m, r, true
		}
	}
	return best, found
}

// Carries tells whether a member may schedule shards and lend limits.
func Carries(m gossiper.Member) bool {
	return m.State == gossiper.Alive || m.State == gossiper.Suspect
}

// Highest returns the name that ranks highest for the key by rendezvous
// hashing, and the empty string for no names.
func Highest(names []string, key string) (best string) {
	var rank uint64
	for _, name := range names {
		if r := weight(name, key); best == "" || r > rank {
			best, rank = name, r
		}
	}
	return best
}

func weight(name, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Ranked returns the shards in the order of their rank for a key.
func Ranked(shards []Shard, key uint64) []Shard {
	order := slices.Clone(shards)
	text := strconv.FormatUint(key, 16)
	slices.SortFunc(order, func(a, b Shard) int { return cmp.Compare(weight(b.ID, text), weight(a.ID, text)) })
	return order
}
