package main

import (
	"go.uber.org/fx"

	"yuccaspread/daemon/gossiper"
)

// membershipDuty knows the daemons that are alive.
func membershipDuty() fx.Option {
	return fx.Module("membership", fx.Provide(
		func(s settings) gossiper.View {
			return gossiper.Lone{
				Name: s.Name, Region: s.Region, FailureDomain: s.FailureDomain,
				Listen: s.Listen, PeerListen: s.PeerListen,
			}
		},
	))
}
