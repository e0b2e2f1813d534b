package main

import (
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

func platformDuty() fx.Option {
	return fx.Module("platform", fx.Provide(
		func() clock.Clock { return clock.System{} },
		func(s settings) platform.Client { return platform.NewHTTP(s.Platform, nil) },
	))
}
