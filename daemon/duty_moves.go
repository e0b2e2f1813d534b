package main

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/administrator"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/mover"
	"yuccaspread/daemon/tuner"
)

// movesDuty rolls out new versions to pools by their due date and rolls back
// those that fail.
func movesDuty() fx.Option {
	return fx.Module("moves",
		fx.Provide(newMover),
		fx.Invoke(func(l fx.Lifecycle, m *mover.Mover, g *granter.Granter, a *administrator.Administrator) {
			g.Observer = m
			a.Moves = m
			runDuty(l, m.Run)
		}),
	)
}

type moverResult struct {
	fx.Out

	Mover   *mover.Mover
	Service peerService `group:"peer_services"`
}

func newMover(view gossiper.View, source inventory.Source, c clock.Clock, client platform.Client, peers *connector.Connector, g *granter.Granter, registerer prometheus.Registerer) moverResult {
	self := view.Self()
	transport := tuner.Transport()
	transport.MaxIdleConnsPerHost = 1
	m := &mover.Mover{
		// The start time makes a restarted process a different contender for the
		// lease.
		Name:   self.Name + "/" + strconv.FormatInt(int64(c.Now()), 10),
		Source: source, View: view, Table: client.Table, Connector: peers, Clock: c,
		Upstreams: g.Upstreams, SetShares: g.SetShares, Registerer: registerer,
		Client: &http.Client{Transport: transport},
	}
	return moverResult{Mover: m, Service: m.Register}
}
