package main

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/reloader"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/drainer"
	"yuccaspread/daemon/follower"
	"yuccaspread/daemon/forwarder"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/resolver"
	"yuccaspread/daemon/sender"
	"yuccaspread/platform/fetcher"
	"yuccaspread/platform/parser"
	"yuccaspread/platform/responder"
	"yuccaspread/platform/translator"
)

// hostedDuties are the duties where the platform's own forms are spoken. The
// configuration and the upstreams are followed instead of kept, and no claims
// are made: each try of a caller has an id of its own.
func hostedDuties(s settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		observationDuty(),
		fx.Provide(func() clock.Clock { return clock.System{} }),
		peerDuty(),
		membershipDuty(),
		followingDuty(),
		recordingDuty(),
		schedulingDuty(),
		forwardingDuty(),
		hostedIngressDuty(),
	)
}

// followingDuty follows the configuration and the upstreams.
func followingDuty() fx.Option {
	return fx.Module("following",
		fx.Provide(newFollower),
		fx.Invoke(func(l fx.Lifecycle, f *follower.Follower) { runDuty(l, f.Run) }),
	)
}

type followerNeeds struct {
	fx.In

	Settings   settings
	File       *settingsFile
	Clock      clock.Clock
	Gossiper   *gossiper.Gossiper
	Connector  *connector.Connector
	Registerer prometheus.Registerer
}

type followerOut struct {
	fx.Out

	Follower *follower.Follower
	Source   inventory.Source
	InForce  inForce
	Seeds    seedList
	Service  peerService `group:"peer_services"`
}

func newFollower(n followerNeeds) (out followerOut, err error) {
	store, err := url.Parse(n.Settings.Platform)
	if err != nil {
		return out, err
	}
	hosted := n.Settings.Hosted
	f := &follower.Follower{
		Register: fetcher.New(store.Host), Tables: parser.Tables(), Clock: n.Clock, Registerer: n.Registerer,
		Decoder: &parser.Parser{
			RegionOf: hosted.Regions, RetryShare: hosted.RetryShare, AddressLifetime: hosted.AddressLifetimeMS,
			CrossRegionBytes: hosted.CrossRegionBytes,
		},
	}
	peers := &follower.Exchanger{Follower: f, View: n.Gossiper, Connector: n.Connector}
	f.Peers, f.Reads = peers, peers.Reads
	return followerOut{
		Follower: f, Source: f, InForce: f, Service: peers.Register,
		Seeds: n.File.Seeds,
	}, nil
}

// forwardingDuty sends requests to upstreams.
func forwardingDuty() fx.Option {
	return fx.Module("forwarding", fx.Provide(newForwarder))
}

func newForwarder(s settings, source inventory.Source, c clock.Clock, r reserver.Reserver, view gossiper.View, registerer prometheus.Registerer) listener.Handler {
	return &forwarder.Forwarder{
		Source: source, Clock: c, Reserver: r, Sender: &sender.Sender{}, Protocol: translator.Protocol{},
		Registerer: registerer,
		Budget: &forwarder.Budget{
			Share: s.Hosted.RetryShare, Extra: s.Hosted.RetryExtra,
			Daemons: func() int { return len(view.Members()) },
		},
	}
}

// hostedIngressDuty meets callers and the platform's checks.
func hostedIngressDuty() fx.Option {
	return fx.Module("ingress",
		fx.Provide(newHostedResolver, newHostedDrainer),
		fx.Invoke(boundMemory, serveHosted),
	)
}

func newHostedResolver(g *gossiper.Gossiper, f *follower.Follower) *resolver.Resolver {
	return &resolver.Resolver{Source: f, Members: g, Ready: f.Ready, NearOnly: true}
}

// Parts of the time to stop.
const (
	// acceptPart is the part in which requests are still accepted: callers have
	// then heard of the stop, and what was accepted last has time to end.
	acceptPart = 0.375
	// finishPart is the part after which requests in progress are cut, and
	// stopPart the one after which the process ends whatever still runs.
	finishPart = 0.9
	stopPart   = 0.96
)

func newHostedDrainer(c clock.Clock, s settings, g *gossiper.Gossiper, v *resolver.Resolver) *drainer.Drainer {
	return &drainer.Drainer{
		Clock: c, Leave: g.Leave, Lifetime: v.Lifetime, Longest: part(s.Hosted.StopMS, acceptPart),
		Spread: func() clock.Millis { return drainer.Spread(len(g.Members()), gossiper.TickInterval) },
	}
}

func part(span clock.Millis, share float64) clock.Millis {
	return clock.Millis(share * float64(span))
}

// memoryPart is the part of the memory that the runtime's heap may take: the
// rest is for stacks, buffers of the kernel and what is about to be collected.
const memoryPart = 0.6

func boundMemory(s settings) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	}
}

type hostedNeeds struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  settings
	Follower  *follower.Follower
	Clock     clock.Clock
	Handler   listener.Handler
	Resolver  *resolver.Resolver
	Drainer   *drainer.Drainer
	Registry  *prometheus.Registry
}

// serveHosted opens the listening sockets at the start. At the stop it serves
// those who may still come, refuses the later ones and waits for the requests
// in progress.
func serveHosted(n hostedNeeds) {
	answers := &responder.Responder{
		Resolver: n.Resolver, Ready: func() bool { return n.Follower.Ready() && !n.Drainer.Leaving() },
	}
	accept := &listener.Listener{
		Source: n.Follower, Clock: n.Clock, Handler: n.Handler, Head: translator.Head, Refuse: translator.Refuse,
	}
	front := n.Drainer.Handler(whileServing(n.Follower.Ready, n.Drainer.Closed, accept))
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(n.Registry, promhttp.HandlerOpts{}))
	runDuty(n.Lifecycle, n.Drainer.Run)
	h := n.Settings.Hosted
	n.Lifecycle.Append(listenHTTP(h.ReadyListen, answers.Readiness()))
	n.Lifecycle.Append(listenHTTP(h.DirectoryListen, answers.Directory()))
	n.Lifecycle.Append(listenHTTP(n.Settings.Listen, boundBodies(bodyTimeout, front)))
	n.Lifecycle.Append(optional("metrics", listenHTTP(h.MetricsListen, metrics)))
	n.Lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, part(h.StopMS, finishPart).Duration())
		defer cancel()
		n.Drainer.Drain(ctx)
		n.Drainer.Finish(ctx)
		return nil
	}})
}

// whileServing refuses requests before the configuration is known and after
// the end of a planned stop's time to accept.
func whileServing(ready, closed func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refusal := refuser.New(http.StatusServiceUnavailable, "not serving", "this daemon is starting or stopping")
		switch {
		case closed():
			refusal.RetryAfter = elsewhereRetry
		case !ready():
			refusal.RetryAfter = startRetry
		default:
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		translator.Refuse(w, refusal)
	})
}

// elsewhereRetry tells callers of a daemon that stops when to come again, to
// another one.
const elsewhereRetry = 50 * clock.Millisecond

// optional lets the daemon serve although a start has failed.
func optional(what string, hook fx.Hook) fx.Hook {
	start := hook.OnStart
	hook.OnStart = func(ctx context.Context) error {
		if err := start(ctx); err != nil {
			klog.ErrorS(err, "not served", "what", what)
		}
		return nil
	}
	return hook
}

// listenHTTP serves an address from the start to the stop; empty serves none.
func listenHTTP(address string, handler http.Handler) fx.Hook {
	if address == "" {
		return fx.Hook{OnStart: func(context.Context) error { return nil }}
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: throttledLog(),
	}
	return fx.Hook{
		OnStart: func(ctx context.Context) (err error) {
			var socket net.Listener
			if socket, err = listenOn(ctx, address, reloader.Files{}); err != nil {
				return err
			}
			klog.InfoS("listening", "address", address)
			go serveOn(server, socket)
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	}
}
