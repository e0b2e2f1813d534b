package sharder_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

// newConfig returns a configuration of three regions with the number of upstreams,
// all in one pool of region a.
func newConfig(upstreams int) *inventory.Config {
	c := inventory.Config{Regions: []inventory.Region{
		{Name: "a", Nearest: []string{"c", "b"}}, {Name: "b"}, {Name: "c"},
	}}
	for i := range upstreams {
		c.Upstreams = append(c.Upstreams, inventory.Upstream{Name: fmt.Sprintf("u%04d", i), Pool: "p", Region: "a", Slots: 1})
	}
	c = c.Sorted()
	return &c
}

func newMember(name, region string, state gossiper.State) gossiper.Member {
	return gossiper.Member{Name: name, Region: region, State: state}
}

// TestEveryUpstreamIsInOneShardOfBoundedSize guards against upstreams that are
// in no shard or in two, and against shards of more than twice the mean size.
func TestEveryUpstreamIsInOneShardOfBoundedSize(t *testing.T) {
	layout := sharder.New(newConfig(320))
	seen := map[string]int{}
	for _, s := range layout.Shards() {
		if len(s.Upstreams) > 2*sharder.UpstreamsPerShard {
			t.Errorf("shard %s has %d upstreams", s.ID, len(s.Upstreams))
		}
		for _, u := range s.Upstreams {
			seen[u.Name]++
			if layout.ShardOf(u.Name) != s.ID {
				t.Errorf("ShardOf(%s) returned %s", u.Name, layout.ShardOf(u.Name))
			}
		}
	}
	if len(seen) != 320 {
		t.Fatalf("%d upstreams are in a shard", len(seen))
	}
	for name, count := range seen {
		if count != 1 {
			t.Errorf("upstream %s is in %d shards", name, count)
		}
	}
}

// TestAddedUpstreamMovesNoOther guards against a configuration change that
// moves upstreams between shards which it doesn't concern: an added upstream
// must move no other one.
func TestAddedUpstreamMovesNoOther(t *testing.T) {
	before, after := sharder.New(newConfig(310)), sharder.New(newConfig(311))
	for i := range 310 {
		name := fmt.Sprintf("u%04d", i)
		if before.ShardOf(name) != after.ShardOf(name) {
			t.Errorf("upstream %s moved", name)
		}
	}
}

// TestOnlyShardsOfLostDaemonMove guards against shards that move between
// daemons without need, or that stay with a leaving daemon: only the shards of
// d3, which leaves, may move.
func TestOnlyShardsOfLostDaemonMove(t *testing.T) {
	layout := sharder.New(newConfig(320))
	all := []gossiper.Member{newMember("d1", "a", gossiper.Alive), newMember("d2", "a", gossiper.Suspect), newMember("d3", "a", gossiper.Alive)}
	withLeaving := []gossiper.Member{all[0], all[1], newMember("d3", "a", gossiper.Leaving)}
	moved := 0
	for _, s := range layout.Shards() {
		old, _ := layout.Scheduler(s, all)
		next, _ := layout.Scheduler(s, withLeaving)
		if next.Name == "d3" {
			t.Errorf("shard %s stays with a leaving daemon", s.ID)
		}
		if old.Name != next.Name {
			moved++
			if old.Name != "d3" {
				t.Errorf("shard %s moved away from %s", s.ID, old.Name)
			}
		}
	}
	if moved == 0 {
		t.Error("no shard moved")
	}
}

// TestNearestRegionTakesOverShards guards against shards without a scheduler
// when their region has no daemon left, and against ones that go to another
// than the nearest region.
func TestNearestRegionTakesOverShards(t *testing.T) {
	layout := sharder.New(newConfig(3))
	shard := layout.Shards()[0]
	members := []gossiper.Member{newMember("far", "b", gossiper.Alive), newMember("near", "c", gossiper.Alive), newMember("gone", "a", gossiper.Leaving)}
	if got, _ := layout.Scheduler(shard, members); got.Name != "near" {
		t.Errorf("shard is scheduled by %q", got.Name)
	}
	if _, found := layout.Scheduler(shard, nil); found {
		t.Error("a scheduler was found among no members")
	}
}
