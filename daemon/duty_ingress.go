package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"yuccaspread/common/catcher"
	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/reloader"
	"yuccaspread/daemon/administrator"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/drainer"
	"yuccaspread/daemon/explainer"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/rationer"
	"yuccaspread/daemon/recorder"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/rescuer"
	"yuccaspread/daemon/resolver"
	"yuccaspread/daemon/retirer"
	"yuccaspread/daemon/tuner"
)

// ingressDuty serves callers and operators on the listening socket.
func ingressDuty() fx.Option {
	return fx.Module("ingress",
		fx.Provide(
			newRationer,
			rescuer.New,
			newAdministrator,
			newResolver,
			newDrainer,
			newRouter,
		),
		fx.Invoke(
			func(l fx.Lifecycle, d *drainer.Drainer) { runDuty(l, d.Run) },
			serveIngress,
		),
	)
}

func newAdministrator(s settings, c *configurer.Configurer, clk clock.Clock, signals *catcher.Catcher, r *recorder.Recorder, x *explainer.Explainer) *administrator.Administrator {
	return &administrator.Administrator{
		Explain:    x.ServeAs,
		Configurer: c, Clock: clk, Daemon: s.Name, BootstrapTokenSHA256: s.BootstrapTokenSHA256,
		Recorder: r, Stop: signals.RequestStop,
	}
}

// isolationTimeout is how long both the platform's table and all other daemons
// have to be silent before this daemon considers itself cut off.
const isolationTimeout = 10 * clock.Second

func newResolver(g *gossiper.Gossiper, c *configurer.Configurer, r *retirer.Retirer, clk clock.Clock) *resolver.Resolver {
	return &resolver.Resolver{
		Source: c, Members: g, Ready: c.Ready,
		Retired: func(m gossiper.Member) bool { return r.IsDaemonLeaving(m.Name, m.PeerListen) },
		Isolated: func() bool {
			lastTableReply, _ := c.LastTableRead()
			lastPeerContact, _ := g.LastContact()
			return clk.Now()-max(lastTableReply, lastPeerContact) > isolationTimeout
		},
	}
}

func newDrainer(c clock.Clock, g *gossiper.Gossiper, r *resolver.Resolver) *drainer.Drainer {
	return &drainer.Drainer{
		Clock: c, Leave: g.Leave, AddressLifetime: r.Lifetime,
		PropagationTime: func() clock.Millis { return drainer.PropagationTime(len(g.Members()), gossiper.TickInterval) },
	}
}

// newRationer returns the bound on what is held for requests, by the memory of the VM if that is set.
func newRationer(s settings, registerer prometheus.Registerer) *rationer.Rationer {
	return rationer.New(int64(rationer.MemoryFraction*s.MemoryMB*(1<<20)), registerer)
}

// routeRegistrar adds the routes of a duty to the router of the listening
// socket. Duties provide it through the fx group "routes".
type routeRegistrar func(router *mux.Router)

type routerParams struct {
	fx.In

	Source          inventory.Source
	Clock           clock.Clock
	Handler         listener.Handler
	Administrator   *administrator.Administrator
	Resolver        *resolver.Resolver
	Configurer      *configurer.Configurer
	Drainer         *drainer.Drainer
	Memory          *rationer.Rationer
	Rescuer         *rescuer.Rescuer
	RouteRegistrars []routeRegistrar `group:"routes"`
}

func newRouter(params routerParams) *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !params.Configurer.Ready() || params.Drainer.Leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	params.Administrator.Register(router)
	params.Resolver.Register(router)
	for _, register := range params.RouteRegistrars {
		register(router)
	}
	ingress := &listener.Listener{
		Source: params.Source, Clock: params.Clock, Handler: params.Handler, Memory: params.Memory, Rescuer: params.Rescuer,
	}
	router.PathPrefix("/").Handler(params.Drainer.Handler(refuseUntilReady(params.Configurer.Ready, ingress)))
	return router
}

// startingRetryAfter is the Retry-After of refusals while this daemon starts
// and does not know the configuration in force yet.
const startingRetryAfter = 1 * clock.Second

// refuseUntilReady refuses requests until ready returns true, which is when the
// configuration in force is known.
func refuseUntilReady(ready func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ready() {
			next.ServeHTTP(w, r)
			return
		}
		refusal := refuser.New(http.StatusServiceUnavailable, "not ready", "the configuration in force is not known here yet")
		refusal.RetryAfter = startingRetryAfter
		refusal.Write(w)
	})
}

// Limits of the HTTP servers.
const (
	// headerTimeout is the time that a caller may take to send its headers.
	headerTimeout = 5 * clock.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 2 * clock.Minute
	// bodyTimeout is the time that a caller may take to send the body of a
	// request, whichever the route; the listener package sets a deadline of its
	// own for the requests that it handles.
	bodyTimeout = 30 * clock.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 32 << 10
)

// listenOn listens on a TCP address, with TLS if certificate files are set.
func listenOn(ctx context.Context, address string, files reloader.Files) (socket net.Listener, err error) {
	var keys *reloader.Reloader
	if files.Enabled() {
		if keys, err = reloader.New(files); err != nil {
			return nil, err
		}
	}
	config := tuner.ListenConfig()
	socket, err = config.Listen(ctx, "tcp", address)
	if err != nil || keys == nil {
		return socket, err
	}
	return tls.NewListener(socket, keys.Server()), nil
}

// limitBodyReadTime sets a read deadline for the body of every request, so that
// a caller that never completes its body can't hold a connection indefinitely,
// whichever the route.
func limitBodyReadTime(timeout clock.Millis, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout.Duration()))
		next.ServeHTTP(w, r)
	})
}

// serveIngress opens the listening socket on start. On stop it drains, which
// means that it still accepts requests while callers may hold the address of
// this daemon, and then waits for the requests in progress.
func serveIngress(l fx.Lifecycle, s settings, router *mux.Router, d *drainer.Drainer) {
	server := &http.Server{
		Handler:           limitBodyReadTime(bodyTimeout, router),
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newThrottledLog(),
	}
	l.Append(fx.Hook{
		OnStart: func(ctx context.Context) (err error) {
			socket, err := listenOn(ctx, s.Listen, s.TLS)
			if err != nil {
				return err
			}
			klog.InfoS("listening", "address", s.Listen)
			go serveOn(server, socket)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			d.Drain(ctx)
			return server.Shutdown(ctx)
		},
	})
}

func serveOn(server *http.Server, socket net.Listener) {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "HTTP server failed; the address is no longer served")
	}
}
