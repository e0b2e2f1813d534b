package main

import (
	"net/http"

	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/dispatcher"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/reserver"
)

func dispatchDuty() fx.Option {
	return fx.Module("dispatch", fx.Provide(
		func(r reserver.Reserver, c clock.Clock) listener.Handler {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			return &dispatcher.Dispatcher{Reserver: r, Clock: c, Client: client}
		},
	))
}
