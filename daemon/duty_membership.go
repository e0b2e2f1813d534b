package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/drainer"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/retirer"
	"yuccaspread/daemon/surveyor"
)

type gossiperResult struct {
	fx.Out

	Gossiper *gossiper.Gossiper
	View     gossiper.View
	Service  peerService `group:"peer_services"`
}

// configSource returns the configuration in force and reports whether one is
// known yet.
type configSource interface {
	inventory.Source
	Ready() bool
}

// seedLister returns peer addresses at which other daemons may be found.
type seedLister func() []string

// membershipDuty tracks by gossip which daemons are alive.
func membershipDuty() fx.Option {
	return fx.Module("membership",
		fx.Provide(newGossiper),
		fx.Invoke(startGossiper),
	)
}

// fullLoadRequests is the number of requests in progress that a daemon reports
// as a load of 1.
const fullLoadRequests = 1000

type startGossiperParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Gossiper  *gossiper.Gossiper
	Config    configSource
	Drainer   *drainer.Drainer
	Seeds     seedLister
	// Surveyor is nil where nothing judges the paths to the upstreams.
	Surveyor *surveyor.Surveyor `optional:"true"`
}

// startGossiper sets what the gossiper reports about this daemon and where it
// finds others, and runs it.
func startGossiper(params startGossiperParams) {
	g, s := params.Gossiper, params.Surveyor
	g.Report = func() gossiper.Report {
		report := gossiper.Report{Load: min(1, float64(params.Drainer.InProgress())/fullLoadRequests), CutOff: s != nil && s.IsCutOff()}
		if params.Config.Ready() {
			report.Revision = params.Config.Current().Revision
		}
		return report
	}
	g.Seeds = params.Seeds
	// Hooks stop in the reverse order: Run has returned before the stop is announced.
	params.Lifecycle.Append(fx.StopHook(g.AnnounceStop))
	runDuty(params.Lifecycle, g.Run)
}

func newGossiper(s settings, c clock.Clock, peers *connector.Connector, registerer prometheus.Registerer) gossiperResult {
	g := &gossiper.Gossiper{
		LocalMember: gossiper.Member{
			Name: s.Name, Region: s.Region, FailureDomain: s.FailureDomain,
			Listen: s.Listen, PeerListen: s.advertisedPeerAddress(), Incarnation: int64(c.Now()),
			TakesRequests: s.Hosted != nil,
		},
		Clock: c, Connector: peers, Registerer: registerer,
	}
	return gossiperResult{Gossiper: g, View: g, Service: g.Register}
}

// seedAddresses returns the seeds of the settings and the daemons of the
// platform's VM list, whose addresses there are their peer addresses.
func seedAddresses(configured []string, vms []platform.VM) []string {
	addresses := append([]string(nil), configured...)
	for _, vm := range vms {
		if vm.Role == retirer.RoleDaemon {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}
