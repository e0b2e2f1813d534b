package main

import (
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/configurer"
)

func configurationDuty() fx.Option {
	return fx.Module("configuration",
		fx.Provide(
			func(client platform.Client, c clock.Clock) *configurer.Configurer {
				return &configurer.Configurer{Table: client.Table, Clock: c}
			},
			func(c *configurer.Configurer) inventory.Source { return c },
		),
		fx.Invoke(func(l fx.Lifecycle, c *configurer.Configurer) { runDuty(l, c.Run) }),
	)
}
