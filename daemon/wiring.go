package main

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/administrator"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/dispatcher"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/resolver"
)

// duties is the table of contents: one module a duty, in the order in which
// data passes.
func duties(s settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		platformDuty(),
		configurationDuty(),
		reservationDuty(),
		dispatchDuty(),
		ingressDuty(),
	)
}

func platformDuty() fx.Option {
	return fx.Module("platform", fx.Provide(
		func() clock.Clock { return clock.System{} },
		func(s settings) platform.Client { return platform.NewHTTP(s.Platform, nil) },
	))
}

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

func reservationDuty() fx.Option {
	return fx.Module("reservation", fx.Provide(
		func(source inventory.Source, c clock.Clock) reserver.Reserver {
			return &reserver.Local{Source: source, Clock: c}
		},
	))
}

func dispatchDuty() fx.Option {
	return fx.Module("dispatch", fx.Provide(
		func(r reserver.Reserver, c clock.Clock) listener.Handler {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			return &dispatcher.Dispatcher{Reserver: r, Clock: c, Client: client}
		},
	))
}

func ingressDuty() fx.Option {
	return fx.Module("ingress",
		fx.Provide(
			func(s settings, c *configurer.Configurer) *administrator.Administrator {
				return &administrator.Administrator{Configurer: c, BootstrapTokenSHA256: s.BootstrapTokenSHA256}
			},
			func(s settings, source inventory.Source) *resolver.Resolver {
				own := resolver.Static{{Address: s.Listen, Region: s.Region}}
				return &resolver.Resolver{Source: source, Members: own}
			},
			newRouter,
		),
		fx.Invoke(serve),
	)
}

func newRouter(source inventory.Source, c clock.Clock, h listener.Handler, a *administrator.Administrator, v *resolver.Resolver, k *configurer.Configurer) *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !k.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	a.Register(router)
	v.Register(router)
	router.PathPrefix("/").Handler(&listener.Listener{Source: source, Clock: c, Handler: h})
	return router
}

// headerTimeout bounds the time that a caller may take to send its headers.
const headerTimeout = 5 * clock.Second

// serve opens the listening socket at the start and waits for the requests in
// progress at the stop.
func serve(l fx.Lifecycle, s settings, router *mux.Router) {
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout.Duration()}
	l.Append(fx.Hook{
		OnStart: func(ctx context.Context) (err error) {
			var config net.ListenConfig
			socket, err := config.Listen(ctx, "tcp", s.Listen)
			if err != nil {
				return err
			}
			klog.InfoS("listening", "address", s.Listen)
			go serveOn(server, socket)
			return nil
		},
		OnStop: server.Shutdown,
	})
}

func serveOn(server *http.Server, socket net.Listener) {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "no longer listening")
	}
}

// runDuty runs a goroutine from the start to the stop of the process.
func runDuty(l fx.Lifecycle, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				run(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	})
}
