package main

import (
	"context"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

type gossiperOut struct {
	fx.Out

	Gossiper *gossiper.Gossiper
	View     gossiper.View
	Service  peerService `group:"peer_services"`
}

// membershipDuty knows the daemons that are alive.
func membershipDuty() fx.Option {
	return fx.Module("membership",
		fx.Provide(newGossiper),
		fx.Invoke(func(l fx.Lifecycle, g *gossiper.Gossiper, c *configurer.Configurer) {
			g.Report = func() gossiper.Report { return gossiper.Report{Revision: c.Current().Revision} }
			runDuty(l, g.Run)
		}),
	)
}

func newGossiper(s settings, c clock.Clock, peers *connector.Connector, client platform.Client) gossiperOut {
	g := &gossiper.Gossiper{
		Own: gossiper.Member{
			Name: s.Name, Region: s.Region, FailureDomain: s.FailureDomain,
			Listen: s.Listen, PeerListen: s.PeerListen, Incarnation: int64(c.Now()),
		},
		Clock: c, Connector: peers,
		Seeds: func(ctx context.Context) []string { return seeds(ctx, s, client.VMList) },
	}
	return gossiperOut{Gossiper: g, View: g, Service: g.Register}
}

// daemonRole marks entry VMs in the platform's list; their address there is
// the one for other daemons.
const daemonRole = "daemon"

// seeds returns the addresses of the settings and of the platform's list.
func seeds(ctx context.Context, s settings, list platform.VMList) []string {
	addresses := append([]string(nil), s.Seeds...)
	vms, err := list.VMs(ctx)
	if err != nil {
		klog.ErrorS(err, "list of VMs not read")
	}
	for _, vm := range vms {
		if vm.Role == daemonRole {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}
