package granter

import (
	"context"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/scheduler"
)

const (
	// newsRing bounds the news that wait to be told.
	newsRing = 64
	// tellTimeout bounds the time to tell one other daemon.
	tellTimeout = 1 * clock.Second
)

// lowestTier is the lowest tier that a shard admits.
type lowestTier struct {
	shard  string
	lowest int
}

// spreadNews tells the other shards of the same pool and region which tiers
// a shard admits, so that none gives a slot to a tier below.
func (g *Granter) spreadNews(ctx context.Context) {
	for {
		news, err := g.news.Pop(ctx)
		if err != nil {
			return
		}
		assignment := g.Assigner.Current()
		shard, _ := assignment.Layout.Lookup(news.shard)
		for _, other := range assignment.Layout.Of(shard.Region, shard.Pool) {
			if other.ID != news.shard {
				g.tellShard(ctx, &wire.LowestTier{From: news.shard, To: other.ID, Lowest: int32(news.lowest)})
			}
		}
	}
}

func (g *Granter) tellShard(ctx context.Context, tier *wire.LowestTier) {
	if g.takeLowest(tier) {
		return
	}
	carrier, found := g.Assigner.Current().Scheduler(tier.GetTo())
	if !found || g.TellPeer == nil || carrier.Name == g.View.Self().Name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout.Duration())
	defer cancel()
	if err := g.TellPeer(ctx, carrier, tier); err != nil {
		klog.V(1).InfoS("lowest tier not told", "daemon", carrier.Name, "error", err.Error())
	}
}

// takeLowest passes the news to a shard that is carried here.
func (g *Granter) takeLowest(tier *wire.LowestTier) bool {
	g.mu.Lock()
	r := g.runners[tier.GetTo()]
	g.mu.Unlock()
	if r == nil {
		return false
	}
	r.in.TryPush(input{message: scheduler.RegionTier{Scheduler: tier.GetFrom(), Lowest: int(tier.GetLowest())}})
	return true
}

// Teller returns a TellPeer over the connections to other daemons.
func Teller(peers *connector.Connector) func(ctx context.Context, to gossiper.Member, tier *wire.LowestTier) error {
	return func(ctx context.Context, to gossiper.Member, tier *wire.LowestTier) (err error) {
		conn := peers.Call(ctx, to.PeerListen)
		defer func() { _ = conn.Close() }()
		_, err = wire.NewDRPCReservationClient(conn).TellLowest(ctx, tier)
		return err
	}
}
