package granter

import (
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/sharder"
)

// feed is what a shard's scheduler is told of the configuration.
type feed struct {
	upstreams *scheduler.Upstreams
	rules     *scheduler.Rules
}

// feeder makes feeds and shares what did not change between two of them, so
// that a shard is told only news. Guarded by the granter's lock.
type feeder struct {
	rules     *scheduler.Rules
	config    *inventory.Config
	upstreams map[string]*shardFeed
}

type shardFeed struct {
	// first identifies the list of upstreams by its memory.
	first *inventory.Upstream
	feed  *feed
}

func (f *feeder) feed(shard sharder.Shard, config *inventory.Config) *feed {
	if f.rules == nil || f.config != config {
		f.follow(config)
	}
	known := f.upstreams[shard.ID]
	first := &shard.Upstreams[0]
	if known == nil || known.first != first || known.feed.rules != f.rules {
		next := &feed{rules: f.rules}
		if known != nil && known.first == first {
			next.upstreams = known.feed.upstreams
		} else {
			next.upstreams = &scheduler.Upstreams{List: shard.Upstreams}
		}
		known = &shardFeed{first: first, feed: next}
		f.upstreams[shard.ID] = known
	}
	return known.feed
}

// follow takes over the rules of a new configuration.
func (f *feeder) follow(config *inventory.Config) {
	if f.upstreams == nil {
		f.upstreams = map[string]*shardFeed{}
	}
	old := f.config
	f.config = config
	if f.rules != nil && sharder.Same(old.Organisations, config.Organisations) &&
		sharder.Same(old.Tiers, config.Tiers) && old.Limits == config.Limits {
		return
	}
	weights := map[string]int{}
	for _, o := range config.Organisations {
		if o.Weight > 1 {
			weights[o.Name] = o.Weight
		}
	}
	f.rules = &scheduler.Rules{Tiers: config.Tiers, Weights: weights, Limits: config.Limits.WithDefaults()}
}
