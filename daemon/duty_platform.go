package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

type platformParams struct {
	fx.In

	Settings   settings
	Clock      clock.Clock
	Registerer prometheus.Registerer `optional:"true"`
}

// platformDuty provides the platform's client, whose rate limit all duties
// share.
func platformDuty() fx.Option {
	return fx.Module("platform", fx.Provide(
		func() clock.Clock { return clock.System{} },
		newPlatform,
	))
}

func newPlatform(params platformParams) platform.Client {
	guard := &platform.Guard{
		Clock: params.Clock, CallsPerSecond: params.Settings.PlatformCallsPerSecond, Registerer: params.Registerer,
	}
	return guard.Protect(platform.NewHTTP(params.Settings.Platform, nil))
}
