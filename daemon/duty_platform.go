package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

type platformNeeds struct {
	fx.In

	Settings   settings
	Clock      clock.Clock
	Registerer prometheus.Registerer `optional:"true"`
}

// platformDuty calls the platform within bounds that all duties share.
func platformDuty() fx.Option {
	return fx.Module("platform", fx.Provide(
		func() clock.Clock { return clock.System{} },
		newPlatform,
	))
}

func newPlatform(n platformNeeds) platform.Client {
	guard := &platform.Guard{
		Clock: n.Clock, CallsPerSecond: n.Settings.PlatformCallsPerSecond, Registerer: n.Registerer,
	}
	return guard.Protect(platform.NewHTTP(n.Settings.Platform, nil))
}
