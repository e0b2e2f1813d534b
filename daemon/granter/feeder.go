package granter

import (
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/sharder"
)

// shardConfig is the part of the configuration that one shard's scheduler
// needs.
type shardConfig struct {
	upstreams *scheduler.Upstreams
	rules     *scheduler.Rules
}

// shardConfigCache builds the configuration of each shard and reuses the parts
// that did not change, so that a runner passes only changed parts to its
// scheduler. It is guarded by Granter.mu.
type shardConfigCache struct {
	rules   *scheduler.Rules
	config  *inventory.Config
	byShard map[string]*shardConfigEntry
}

type shardConfigEntry struct {
	// firstUpstream identifies the list of upstreams by the address of its first
	// element.
	firstUpstream *inventory.Upstream
	config        *shardConfig
}

// configFor returns the shard's part of config, which is the same pointer as
// before where nothing changed.
func (c *shardConfigCache) configFor(shard sharder.Shard, config *inventory.Config) *shardConfig {
	if c.rules == nil || c.config != config {
		c.updateRules(config)
	}
	entry := c.byShard[shard.ID]
	firstUpstream := &shard.Upstreams[0]
	if entry == nil || entry.firstUpstream != firstUpstream || entry.config.rules != c.rules {
		next := &shardConfig{rules: c.rules}
		if entry != nil && entry.firstUpstream == firstUpstream {
			next.upstreams = entry.config.upstreams
		} else {
			next.upstreams = &scheduler.Upstreams{List: shard.Upstreams}
		}
		entry = &shardConfigEntry{firstUpstream: firstUpstream, config: next}
		c.byShard[shard.ID] = entry
	}
	return entry.config
}

// updateRules rebuilds the rules from a new configuration, unless the parts
// that they depend on are unchanged.
func (c *shardConfigCache) updateRules(config *inventory.Config) {
	if c.byShard == nil {
		c.byShard = map[string]*shardConfigEntry{}
	}
	old := c.config
	c.config = config
	if c.rules != nil && sharder.SameBackingArray(old.Organisations, config.Organisations) &&
		sharder.SameBackingArray(old.Tiers, config.Tiers) && sharder.SameBackingArray(old.Pools, config.Pools) &&
		sharder.SameBackingArray(old.Regions, config.Regions) && old.Limits == config.Limits {
		return
	}
	weights := map[string]int{}
	for _, o := range config.Organisations {
		if o.Weight > 1 {
			weights[o.Name] = o.Weight
		}
	}
	cold, memory := map[string]inventory.ColdLimit{}, map[string]int{}
	for _, p := range config.Pools {
		if p.MemoryTokens > 0 {
			memory[p.Name] = p.MemoryTokens
		}
		if p.Cold.Limits() {
			cold[p.Name] = p.Cold
		}
	}
	c.rules = &scheduler.Rules{
		Tiers: config.Tiers, TierOffsets: config.TierOrder().Offsets(), Weights: weights, Limits: config.Limits.WithDefaults(), Cold: cold, Memory: memory,
		Evacuated: config.EvacuatedDomains(),
	}
}
