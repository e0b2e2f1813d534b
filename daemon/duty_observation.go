package main

import (
	"context"
	"os"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"yuccaspread/common/tracer"
)

// observationDuty collects metrics and traces. Duties get the
// prometheus.Registerer from fx; spans go through the global tracer.
func observationDuty() fx.Option {
	return fx.Module("observation",
		fx.Provide(
			newRegistry,
			func(r *prometheus.Registry) prometheus.Registerer { return r },
			fx.Annotate(metricsRoutes, fx.ResultTags(`group:"routes"`)),
		),
		fx.Invoke(startTracing),
	)
}

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

func metricsRoutes(registry *prometheus.Registry) routeRegistrar {
	return func(router *mux.Router) {
		router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	}
}

func startTracing(l fx.Lifecycle, s settings) {
	var stop func(context.Context) error
	l.Append(fx.Hook{
		OnStart: func(ctx context.Context) (err error) {
			stop, err = tracer.Start(ctx, s.Trace, "yuccaspread", s.Name, os.Stdout)
			return err
		},
		OnStop: func(ctx context.Context) error { return stop(ctx) },
	})
}
