package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/retirer"
)

type configurerParams struct {
	fx.In

	Settings   settings
	File       *settingsFile
	Client     platform.Client
	Clock      clock.Clock
	Gossiper   *gossiper.Gossiper
	Connector  *connector.Connector
	Registerer prometheus.Registerer `optional:"true"`
}

type configurerResult struct {
	fx.Out

	Configurer   *configurer.Configurer
	Retirer      *retirer.Retirer
	Source       inventory.Source
	ConfigSource configSource
	Seeds        seedLister
	Service      peerService `group:"peer_services"`
}

// configurationDuty provides the configuration in force and keeps it current.
func configurationDuty() fx.Option {
	return fx.Module("configuration",
		fx.Provide(newConfigurer),
		fx.Invoke(func(l fx.Lifecycle, c *configurer.Configurer, r *retirer.Retirer) {
			runDuty(l, c.Run)
			runDuty(l, r.Run)
		}),
	)
}

func newConfigurer(params configurerParams) configurerResult {
	c := &configurer.Configurer{
		Table: params.Client.Table, Objects: params.Client.ObjectStore,
		Peers: &configurer.Exchanger{Members: params.Gossiper, Connector: params.Connector},
		Clock: params.Clock, Daemon: params.Settings.Name, Registerer: params.Registerer,
	}
	server := &configurer.Server{Configurer: c}
	r := &retirer.Retirer{Next: c, List: params.Client.VMList}
	return configurerResult{
		Configurer: c, Retirer: r, Source: r, ConfigSource: c, Service: server.Register,
		Seeds: func() []string { return seedAddresses(params.File.Seeds(), r.VMs()) },
	}
}
