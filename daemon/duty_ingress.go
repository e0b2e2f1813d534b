package main

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/reloader"
	"yuccaspread/daemon/administrator"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/drainer"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/recorder"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/resolver"
	"yuccaspread/daemon/retirer"
	"yuccaspread/daemon/throttler"
	"yuccaspread/daemon/tuner"
)

func ingressDuty() fx.Option {
	return fx.Module("ingress",
		fx.Provide(
			newAdministrator,
			newResolver,
			newDrainer,
			newRouter,
		),
		fx.Invoke(
			func(l fx.Lifecycle, d *drainer.Drainer) { runDuty(l, d.Run) },
			serve,
		),
	)
}

func newAdministrator(s settings, c *configurer.Configurer, now clock.Clock, stopper fx.Shutdowner, r *recorder.Recorder) *administrator.Administrator {
	return &administrator.Administrator{
		Configurer: c, Clock: now, Daemon: s.Name, BootstrapTokenSHA256: s.BootstrapTokenSHA256,
		Recorder: r,
		Stop: func() {
			if err := stopper.Shutdown(); err != nil {
				klog.ErrorS(err, "planned stop not begun")
			}
		},
	}
}

// silence is how long neither the table nor any other daemon may answer until
// this daemon takes itself for cut off.
const silence = 10 * clock.Second

func newResolver(g *gossiper.Gossiper, c *configurer.Configurer, r *retirer.Retirer, now clock.Clock) *resolver.Resolver {
	return &resolver.Resolver{
		Source: c, Members: g, Ready: c.Ready,
		Retired: func(m gossiper.Member) bool { return r.DaemonLeaving(m.Name, m.PeerListen) },
		CutOff: func() bool {
			stored, _ := c.Stored()
			proved, _ := g.Proved()
			return now.Now()-max(stored, proved) > silence
		},
	}
}

func newDrainer(c clock.Clock, g *gossiper.Gossiper, v *resolver.Resolver) *drainer.Drainer {
	return &drainer.Drainer{
		Clock: c, Leave: g.Leave, Lifetime: v.Lifetime,
		Spread: func() clock.Millis { return drainer.Spread(len(g.Members()), gossiper.TickInterval) },
	}
}

// pageSet is a group of handlers that a duty adds to the listening router
// through the fx group "pages".
type pageSet func(router *mux.Router)

type routerNeeds struct {
	fx.In

	Source        inventory.Source
	Clock         clock.Clock
	Handler       listener.Handler
	Administrator *administrator.Administrator
	Resolver      *resolver.Resolver
	Configurer    *configurer.Configurer
	Drainer       *drainer.Drainer
	Pages         []pageSet `group:"pages"`
}

func newRouter(n routerNeeds) *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Configurer.Ready() || n.Drainer.Leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	n.Administrator.Register(router)
	n.Resolver.Register(router)
	for _, page := range n.Pages {
		page(router)
	}
	accept := &listener.Listener{Source: n.Source, Clock: n.Clock, Handler: n.Handler}
	router.PathPrefix("/").Handler(n.Drainer.Handler(whenReady(n.Configurer.Ready, accept)))
	return router
}

// startRetry tells callers when a daemon that has just started may be ready.
const startRetry = 1 * clock.Second

// whenReady refuses requests until the configuration in force is known.
func whenReady(ready func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ready() {
			next.ServeHTTP(w, r)
			return
		}
		refusal := refuser.New(http.StatusServiceUnavailable, "not ready", "the configuration in force is not known here yet")
		refusal.RetryAfter = startRetry
		refusal.Write(w)
	})
}

// Bounds towards callers.
const (
	// headerTimeout is the time that a caller may take to send its headers.
	headerTimeout = 5 * clock.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 2 * clock.Minute
	// bodyTimeout is the time that the body of a request to any page may take;
	// the listener sets its own.
	bodyTimeout = 30 * clock.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 32 << 10
)

// listenOn opens a socket, with TLS where the files ask for it.
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

// boundBodies gives every request a span in which its body has to arrive, so
// that half a body holds no connection for ever on whichever page.
func boundBodies(span clock.Millis, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(span.Duration()))
		next.ServeHTTP(w, r)
	})
}

// serve opens the listening socket at the start. At the stop it serves those
// who may still come, then waits for the requests in progress.
func serve(l fx.Lifecycle, s settings, router *mux.Router, d *drainer.Drainer) {
	server := &http.Server{
		Handler:           boundBodies(bodyTimeout, router),
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          throttledLog(),
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

// throttledLog is a log for what callers and daemons can cause at any rate.
func throttledLog() *log.Logger {
	return log.New(throttler.New(logLine{}), "", 0)
}

// logLine is a writer that logs each Write as one message.
type logLine struct{}

// Write implements io.Writer.
func (logLine) Write(line []byte) (n int, err error) {
	klog.InfoS(strings.TrimSpace(string(line)))
	return len(line), nil
}

func serveOn(server *http.Server, socket net.Listener) {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "no longer listening")
	}
}
