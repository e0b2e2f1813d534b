package main

import (
	"cmp"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/follower"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/releaser"
	"yuccaspread/daemon/reserver"
	"yuccaspread/platform/fetcher"
)

// testPart is the part of the share of requests that a version under order may get which it is
// given: daemons count shares for themselves, and learn of an order one after another.
const testPart = 0.8

const defaultOrderShare = 0.1

// releasingDuty follows the operator's orders for versions.
func releasingDuty() fx.Option {
	return fx.Module("releasing",
		fx.Provide(newReleaser),
		fx.Invoke(func(l fx.Lifecycle, r *releaser.Releaser, g *granter.Granter, local *reserver.Remote) {
			g.Observer, g.ObserveStart, local.Local.Holds = r, r.Begin, r.Limits
			runDuty(l, r.Run)
		}),
	)
}

type releaserResult struct {
	fx.Out

	Releaser *releaser.Releaser
	Service  peerService `group:"peer_services"`
}

func newReleaser(s settings, f *follower.Follower, register *fetcher.Fetcher, source inventory.Source, view gossiper.View, peers *connector.Connector, c clock.Clock, g *granter.Granter, registerer prometheus.Registerer) releaserResult {
	r := &releaser.Releaser{
		Core:   &releaser.Core{Daemon: view.Self().Name, TestShare: testPart * cmp.Or(s.Hosted.OrderShare, defaultOrderShare)},
		Orders: func() []releaser.Order { return toOrders(f.ReleaseOrders()) },
		Source: source, View: view, Connector: peers, Clock: c, SetShares: g.SetShares, Statuses: register,
		Registerer: registerer,
	}
	return releaserResult{Releaser: r, Service: r.Register}
}

func toOrders(rows []follower.ReleaseOrder) (orders []releaser.Order) {
	for _, o := range rows {
		orders = append(orders, releaser.Order{ID: o.RowVersion.String(), Pool: o.Pool, To: o.Version, Duration: o.Duration})
	}
	return orders
}
