package main

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sender"
	"yuccaspread/daemon/surveyor"
)

// surveyingDuty judges whether this daemon has a path to the upstreams.
func surveyingDuty() fx.Option {
	return fx.Module("surveying",
		fx.Provide(newSurveyor),
		fx.Invoke(func(l fx.Lifecycle, s *surveyor.Surveyor) { runDuty(l, s.Run) }),
	)
}

func newSurveyor(s settings, source inventory.Source, c clock.Clock, g *gossiper.Gossiper, registerer prometheus.Registerer) *surveyor.Surveyor {
	// A device before an upstream may accept connections that lead nowhere, so that only an answer counts.
	probe := (&sender.Sender{}).Probe
	return &surveyor.Surveyor{Source: source, Clock: c, Region: s.Region, OnChange: g.PublishReport, Dial: probe, Registerer: registerer}
}
