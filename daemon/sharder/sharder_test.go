package sharder_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

func config(upstreams int) *inventory.Config {
	c := inventory.Config{Regions: []inventory.Region{
		{Name: "a", Nearest: []string{"c", "b"}}, {Name: "b"}, {Name: "c"},
	}}
	for i := range upstreams {
		c.Upstreams = append(c.Upstreams, inventory.Upstream{Name: fmt.Sprintf("u%04d", i), Pool: "p", Region: "a", Slots: 1})
	}
	c = c.Sorted()
	return &c
}

func member(name, region string, state gossiper.State) gossiper.Member {
	return gossiper.Member{Name: name, Region: region, State: state}
}

func TestEveryUpstreamIsInOneShardOfModestSize(t *testing.T) {
	layout := sharder.New(config(320))
	seen := map[string]int{}
	for _, s := range layout.Shards() {
		if len(s.Upstreams) > 2*sharder.UpstreamsPerShard {
			t.Errorf("shard %s has %d upstreams", s.ID, len(s.Upstreams))
		}
		for _, u := range s.Upstreams {
			seen[u.Name]++
			if layout.ShardOf(u.Name) != s.ID {
				t.Errorf("upstream %s is said to be in %s", u.Name, layout.ShardOf(u.Name))
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

func TestOneMoreUpstreamMovesNoOther(t *testing.T) {
	before, after := sharder.New(config(310)), sharder.New(config(311))
	for i := range 310 {
		name := fmt.Sprintf("u%04d", i)
		if before.ShardOf(name) != after.ShardOf(name) {
			t.Errorf("upstream %s moved", name)
		}
	}
}

func TestOnlyTheShardsOfALostDaemonMove(t *testing.T) {
	layout := sharder.New(config(320))
	all := []gossiper.Member{member("d1", "a", gossiper.Alive), member("d2", "a", gossiper.Suspect), member("d3", "a", gossiper.Alive)}
	less := []gossiper.Member{all[0], all[1], member("d3", "a", gossiper.Leaving)}
	moved := 0
	for _, s := range layout.Shards() {
		old, _ := layout.Scheduler(s, all)
		next, _ := layout.Scheduler(s, less)
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

func TestTheNearestRegionAdoptsShards(t *testing.T) {
	layout := sharder.New(config(3))
	shard := layout.Shards()[0]
	members := []gossiper.Member{member("far", "b", gossiper.Alive), member("near", "c", gossiper.Alive), member("gone", "a", gossiper.Leaving)}
	if got, _ := layout.Scheduler(shard, members); got.Name != "near" {
		t.Errorf("shard is scheduled by %q", got.Name)
	}
	if _, found := layout.Scheduler(shard, nil); found {
		t.Error("a scheduler was found among no members")
	}
}
