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
	"yuccaspread/daemon/attributor"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/drainer"
	"yuccaspread/daemon/explainer"
	"yuccaspread/daemon/follower"
	"yuccaspread/daemon/forwarder"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/rationer"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/rescuer"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/resolver"
	"yuccaspread/daemon/sender"
	"yuccaspread/daemon/surveyor"
	"yuccaspread/platform/fetcher"
	"yuccaspread/platform/parser"
	"yuccaspread/platform/responder"
	"yuccaspread/platform/translator"
)

// hostedDuties are the duties of a daemon that uses the platform's own formats
// and protocols. It follows the platform's configuration and upstreams instead
// of managing them, and makes no claims because each attempt of a caller has an
// id of its own.
func hostedDuties(s settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		observationDuty(),
		fx.Provide(func() clock.Clock { return clock.System{} }),
		peerDuty(),
		membershipDuty(),
		followingDuty(),
		surveyingDuty(),
		recordingDuty(),
		schedulingDuty(),
		releasingDuty(),
		forwardingDuty(),
		hostedIngressDuty(),
	)
}

// followingDuty follows the configuration and the upstreams in the platform's
// register.
func followingDuty() fx.Option {
	return fx.Module("following",
		fx.Provide(newFollower),
		fx.Invoke(func(l fx.Lifecycle, f *follower.Follower) { runDuty(l, f.Run) }),
	)
}

type followerParams struct {
	fx.In

	Settings   settings
	File       *settingsFile
	Clock      clock.Clock
	Gossiper   *gossiper.Gossiper
	Connector  *connector.Connector
	Registerer prometheus.Registerer
}

type followerResult struct {
	fx.Out

	Follower     *follower.Follower
	Register     *fetcher.Fetcher
	Source       inventory.Source
	ConfigSource configSource
	Seeds        seedLister
	Service      peerService `group:"peer_services"`
}

func newFollower(params followerParams) (out followerResult, err error) {
	registerURL, err := url.Parse(params.Settings.Platform)
	if err != nil {
		return out, err
	}
	hosted := params.Settings.Hosted
	register := fetcher.New(registerURL.Host)
	f := &follower.Follower{
		Name: params.Settings.Name, Register: register, Tables: parser.Tables(), Clock: params.Clock, Registerer: params.Registerer,
		Decoder: &parser.Parser{
			RegionByZone: hosted.Regions, RetryShare: hosted.RetryShare, AddressLifetime: hosted.AddressLifetimeMS,
			CrossRegionBytes: hosted.CrossRegionBytes, ColdExcess: hosted.ColdExcess, ColdSlack: hosted.ColdSlack,
		},
	}
	peers := &follower.Exchanger{Follower: f, View: params.Gossiper, Connector: params.Connector}
	f.Peers, f.Duty, f.ApplyBound = peers, peers.Duty, clock.Millis(hosted.ConfigApplyMS)
	return followerResult{
		Follower: f, Register: register, Source: f, ConfigSource: f, Service: peers.Register,
		Seeds: params.File.Seeds,
	}, nil
}

// forwardingDuty sends requests to upstreams.
func forwardingDuty() fx.Option {
	return fx.Module("forwarding",
		fx.Provide(newAttributor, newForwarder),
		fx.Invoke(func(l fx.Lifecycle, s *attributor.Spreader) { runDuty(l, s.Run) }),
	)
}

type attributorResult struct {
	fx.Out

	Attributor *attributor.Attributor
	Spreader   *attributor.Spreader
	Service    peerService `group:"peer_services"`
}

func newAttributor(c clock.Clock, source inventory.Source, view gossiper.View, peers *connector.Connector) attributorResult {
	a := &attributor.Attributor{Clock: c, Source: source, Started: c.Now()}
	s := &attributor.Spreader{Attributor: a, View: view, Connector: peers, Clock: c}
	a.Spread, a.Collect, a.HasTurn = s.Spread, s.Collect, s.HasTurn
	return attributorResult{Attributor: a, Spreader: s, Service: s.Register}
}

func newForwarder(s settings, source inventory.Source, c clock.Clock, r reserver.Reserver, view gossiper.View, a *attributor.Attributor, d *drainer.Drainer, m *rationer.Rationer, survey *surveyor.Surveyor, registerer prometheus.Registerer) listener.Handler {
	return &forwarder.Forwarder{
		Source: source, Clock: c, Reserver: r, Sender: &sender.Sender{}, Protocol: translator.Protocol{},
		Attributor: a, Memory: m, Stop: d, Survey: survey, Registerer: registerer,
		Peers: &forwarder.MemberPeers{View: view, Source: source}, CallerProtocol: translator.Protocol{},
		Budget: &forwarder.Budget{
			RetriesPerRequest: s.Hosted.RetryShare, ExtraRetries: s.Hosted.RetryExtra,
			Daemons: func() int { return len(view.Members()) },
		},
	}
}

// hostedIngressDuty serves callers and the platform's readiness checks.
func hostedIngressDuty() fx.Option {
	return fx.Module("ingress",
		fx.Provide(newHostedResolver, newHostedDrainer, newRationer, rescuer.New),
		fx.Invoke(limitMemory, serveHosted),
	)
}

func newHostedResolver(g *gossiper.Gossiper, f *follower.Follower) *resolver.Resolver {
	return &resolver.Resolver{Source: f, Members: g, Ready: f.Ready, OwnRegionOnly: true}
}

// Fractions of the time that the platform allows for a stop (StopMS).
const (
	// acceptFraction is the part in which requests are still accepted: by its end
	// callers have learned of the stop, and the requests accepted last still have
	// time to finish.
	acceptFraction = 0.375
	// progressFraction is the part after which requests in progress are ended, so that
	// their callers get an answer before closeFraction, when all connections are closed.
	// stopFraction is the part after which the process exits whatever still runs.
	progressFraction = 0.89
	closeFraction    = 0.91
	stopFraction     = 0.96
)

func newHostedDrainer(c clock.Clock, s settings, g *gossiper.Gossiper, r *resolver.Resolver) *drainer.Drainer {
	return &drainer.Drainer{
		Clock: c, Leave: g.Leave, AddressLifetime: r.Lifetime,
		MaxAcceptTime: fraction(s.Hosted.StopMS, acceptFraction), MaxProgressTime: fraction(s.Hosted.StopMS, progressFraction),
		PropagationTime: func() clock.Millis { return drainer.PropagationTime(len(g.Members()), gossiper.TickInterval) },
	}
}

// fraction returns the given share of a duration in milliseconds; share is between 0 and 1.
func fraction(totalMS, share float64) clock.Millis {
	return clock.Millis(share * totalMS)
}

// memoryFraction is the share of the VM's memory that is set as the memory limit
// of the Go runtime. The rest is for stacks, kernel buffers and garbage that is
// not collected yet.
const memoryFraction = 0.6

func limitMemory(s settings) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * s.MemoryMB * (1 << 20)))
	}
}

type hostedParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  settings
	Follower  *follower.Follower
	Clock     clock.Clock
	Handler   listener.Handler
	Resolver  *resolver.Resolver
	Drainer   *drainer.Drainer
	Registry  *prometheus.Registry
	Explainer *explainer.Explainer
	Memory    *rationer.Rationer
	Rescuer   *rescuer.Rescuer
}

// serveHosted opens the listening sockets on start. On stop it still accepts
// requests while callers may hold the address of this daemon, refuses later ones
// and waits for the requests in progress.
func serveHosted(params hostedParams) {
	// A daemon that is cut off from the upstreams stays ready: it accepts requests and serves them
	// through others, and callers that hold its address still come. Address answers leave it out.
	platformHandlers := &responder.Responder{
		Resolver: params.Resolver, Ready: func() bool { return params.Follower.Ready() && !params.Drainer.Leaving() },
	}
	ingress := &listener.Listener{
		Source: params.Follower, Clock: params.Clock, Handler: params.Handler, Head: translator.ParseHead, Refuse: translator.WriteRefusal,
		Memory: params.Memory, Provenance: params.Follower.Provenance, Rescuer: params.Rescuer,
	}
	requestHandler := params.Drainer.Handler(refuseUnlessServing(params.Follower.Ready, params.Drainer.Closed, ingress))
	metrics := http.NewServeMux()
	// The operators of the users' platform have no tokens of ours; what is told here is as public as
	// the metrics.
	metrics.Handle("POST /v1/admin/explain", params.Explainer)
	metrics.Handle("/metrics", promhttp.HandlerFor(params.Registry, promhttp.HandlerOpts{}))
	runDuty(params.Lifecycle, params.Drainer.Run)
	hosted := params.Settings.Hosted
	params.Lifecycle.Append(listenHTTP(hosted.ReadyListen, platformHandlers.Readiness()))
	params.Lifecycle.Append(listenHTTP(hosted.DirectoryListen, platformHandlers.Directory()))
	params.Lifecycle.Append(listenHTTP(params.Settings.Listen, limitBodyReadTime(bodyTimeout, requestHandler)))
	params.Lifecycle.Append(optionalListener("metrics", listenHTTP(hosted.MetricsListen, metrics)))
	params.Lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, fraction(hosted.StopMS, closeFraction).Duration())
		defer cancel()
		params.Drainer.Drain(ctx)
		params.Drainer.WaitIdle(ctx)
		return nil
	}})
}

// refuseUnlessServing refuses requests before the configuration is known and
// after the accept phase of a planned stop has ended.
func refuseUnlessServing(ready, closed func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refusal := refuser.New(http.StatusServiceUnavailable, "not serving", "this daemon is starting or stopping")
		switch {
		case closed():
			refusal.RetryAfter = forwarder.StoppingRetryAfter
		case !ready():
			refusal.RetryAfter = startingRetryAfter
		default:
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		classifier.MarkRefusal(w.Header(), r.Header, refusal)
		translator.WriteRefusal(w, refusal)
	})
}

// optionalListener returns hook with a start that only logs its error, so that
// the daemon serves requests without this listener.
func optionalListener(name string, hook fx.Hook) fx.Hook {
	start := hook.OnStart
	hook.OnStart = func(ctx context.Context) error {
		if err := start(ctx); err != nil {
			klog.ErrorS(err, "optional listener could not be opened; the daemon runs without it", "listener", name)
		}
		return nil
	}
	return hook
}

// listenHTTP serves an address from the start to the stop of the process. An
// empty address disables it.
func listenHTTP(address string, handler http.Handler) fx.Hook {
	if address == "" {
		return fx.Hook{OnStart: func(context.Context) error { return nil }}
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: newThrottledLog(),
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
