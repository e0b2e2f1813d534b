package main

import (
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/reserver"
)

func reservationDuty() fx.Option {
	return fx.Module("reservation", fx.Provide(
		func(source inventory.Source, c clock.Clock) reserver.Reserver {
			return &reserver.Local{Source: source, Clock: c}
		},
	))
}
