package granter

import (
	"context"
	"math"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/scheduler"
)

const (
	// lowestTierRingSize bounds the changes that wait to be sent.
	lowestTierRingSize = 64
	// lowestTierTimeout bounds the call to one other daemon.
	lowestTierTimeout = 1 * clock.Second
)

// lowestTier is the lowest tier that a shard admits.
type lowestTier struct {
	shard  string
	lowest int
}

// broadcastLowestTiers sends the lowest tier that a shard admits to the other
// shards of the same pool and region, so that none of them grants a slot to a
// lower tier.
func (g *Granter) broadcastLowestTiers(ctx context.Context) {
	for {
		update, err := g.lowestTiers.Pop(ctx)
		if err != nil {
			return
		}
		assignment := g.Assigner.Current()
		shard, _ := assignment.Layout.Lookup(update.shard)
		for _, other := range assignment.Layout.ShardsOf(shard.Region, shard.Pool) {
			if other.ID != update.shard {
				g.sendLowestTier(ctx, toLowestTier(g.tierOrder(), update, other.ID))
			}
		}
	}
}

// sendLowestTier passes the tier to a shard, here or on another daemon.
func (g *Granter) sendLowestTier(ctx context.Context, tier *wire.LowestTier) {
	if g.handleLowestTier(tier) {
		return
	}
	owner, found := g.Assigner.Current().Scheduler(tier.GetTo())
	if !found || g.SendLowestTier == nil || owner.Name == g.View.Self().Name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lowestTierTimeout.Duration())
	defer cancel()
	if err := g.SendLowestTier(ctx, owner, tier); err != nil {
		klog.V(1).InfoS("failed to send the lowest tier to another daemon; waiting for the next update", "daemon", owner.Name, "error", err.Error())
	}
}

// handleLowestTier passes the tier to the shard and reports whether the shard
// is scheduled here. The message is dropped where the shard's queue is full.
func (g *Granter) handleLowestTier(tier *wire.LowestTier) bool {
	g.mu.Lock()
	r := g.runners[tier.GetTo()]
	g.mu.Unlock()
	if r == nil {
		return false
	}
	r.inputs.TryPush(input{message: scheduler.RegionTier{Scheduler: tier.GetFrom(), Lowest: lowestOf(g.tierOrder(), tier)}})
	return true
}

// NewLowestTierSender returns a function for Granter.SendLowestTier that calls
// other daemons over peers.
func NewLowestTierSender(peers *connector.Connector) func(ctx context.Context, to gossiper.Member, tier *wire.LowestTier) error {
	return func(ctx context.Context, to gossiper.Member, tier *wire.LowestTier) (err error) {
		conn := peers.PooledConn(ctx, to.PeerListen)
		defer func() { _ = conn.Close() }()
		_, err = wire.NewDRPCReservationClient(conn).TellLowest(ctx, tier)
		return err
	}
}

// toLowestTier returns the message for another shard. Schedulers of an older build read the
// position only.
func toLowestTier(order inventory.TierOrder, update lowestTier, to string) *wire.LowestTier {
	return &wire.LowestTier{
		From: update.shard, To: to, Lowest: int32(min(order.Position(min(update.lowest, inventory.MaxTier)), math.MaxInt32)),
		LowestNumber: int64(min(update.lowest, inventory.MaxTier)) + 1,
	}
}

// lowestOf returns the number of the tier of a message. An older build tells its position only; that
// of the last tier means that none is shed.
func lowestOf(order inventory.TierOrder, tier *wire.LowestTier) int {
	if number := tier.GetLowestNumber(); number > 0 {
		return int(number - 1)
	}
	if lowest := order.At(int(tier.GetLowest())); lowest < order.Last() {
		return lowest
	}
	return scheduler.AllTiers
}
