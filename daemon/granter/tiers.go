package granter

import "yuccaspread/common/inventory"

// configOrder is the order of the tiers of a configuration.
type configOrder struct {
	config *inventory.Config
	order  inventory.TierOrder
}

// tierOrder returns the order of the tiers of the configuration in force.
func (g *Granter) tierOrder() inventory.TierOrder {
	config := g.Source.Current()
	known := g.order.Load()
	if known == nil || known.config != config {
		known = &configOrder{config, config.TierOrder()}
		g.order.Store(known)
	}
	return known.order
}

// tierLabel returns the value of a metric's label for a tier.
func (g *Granter) tierLabel(tier int) string {
	return inventory.TierLabel(g.tierOrder().Position(tier))
}
