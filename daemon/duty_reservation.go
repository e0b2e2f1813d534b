package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/explainer"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/limiter"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/recorder"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sharder"
	"yuccaspread/daemon/tuner"
	"yuccaspread/daemon/watcher"
)

// reportTimeout bounds the wait for the response headers of an upstream's load
// report.
const reportTimeout = 1 * clock.Second

// reservationDuty schedules the shards of this daemon, reserves slots at the
// schedulers of all shards and polls the upstreams.
func reservationDuty() fx.Option {
	return fx.Module("reservation", schedulingDuty(), fx.Invoke(watchUpstreams))
}

// schedulingDuty is reservationDuty without the polling of the upstreams.
func schedulingDuty() fx.Option {
	return fx.Module("scheduling",
		fx.Provide(
			func(source inventory.Source, view gossiper.View, c clock.Clock) *sharder.Assigner {
				return &sharder.Assigner{Source: source, View: view, Clock: c}
			},
			func(registerer prometheus.Registerer) *noticer.Noticer {
				return &noticer.Noticer{Registerer: registerer}
			},
			newGranter,
			newRemote,
			newLimiter,
			newExplainer,
			func(l *limiter.Limiter) reserver.Reserver { return l },
		),
		fx.Invoke(func(l fx.Lifecycle, g *granter.Granter, r *reserver.Remote, limits *limiter.Limiter) {
			runDuty(l, g.Run)
			runDuty(l, r.Run)
			runDuty(l, limits.Run)
		}),
	)
}

type granterResult struct {
	fx.Out

	Granter *granter.Granter
	Service peerService `group:"peer_services"`
}

func newGranter(source inventory.Source, members *gossiper.Gossiper, a *sharder.Assigner, c clock.Clock, peers *connector.Connector, flightRecorder *recorder.Recorder, n *noticer.Noticer, registerer prometheus.Registerer) granterResult {
	var shardCount atomic.Int64
	g := &granter.Granter{
		Source: source, View: members, LastContact: members.LastContact, Assigner: a, Clock: c, Noticer: n, Registerer: registerer,
		NewDecider: func() granter.Decider {
			return &recorder.RecordedScheduler{Recorder: flightRecorder, Shard: fmt.Sprint("shard-", shardCount.Add(1))}
		},
		SendLowestTier: granter.NewLowestTierSender(peers),
	}
	service := func(mux drpc.Mux) error {
		return wire.DRPCRegisterReservation(mux, &granter.Server{Granter: g})
	}
	return granterResult{Granter: g, Service: service}
}

func newRemote(s settings, source inventory.Source, members *gossiper.Gossiper, a *sharder.Assigner, c clock.Clock, peers *connector.Connector, g *granter.Granter, n *noticer.Noticer, registerer prometheus.Registerer) *reserver.Remote {
	view := gossiper.View(members)
	region := view.Self().Region
	return &reserver.Remote{
		Source: source, View: view, Assigner: a, Clock: c, Registerer: registerer, Noticer: n, Settled: members.Settled,
		KeptPrompts: s.Hosted != nil && s.Hosted.KeptPrompts,
		Dial:        newDialer(view.Self().Name, g, reserver.NewStreamDialer(peers)),
		Probe:       reserver.NewProber(peers),
		Local: &reserver.Local{
			Source: source, Clock: c, Daemons: func() int { return a.Current().Daemons(region) },
		},
	}
}

func newExplainer(source inventory.Source, view gossiper.View, a *sharder.Assigner, c clock.Clock, r *reserver.Remote, g *granter.Granter, peers *connector.Connector) *explainer.Explainer {
	return &explainer.Explainer{
		Source: source, View: view, Assigner: a, Clock: c, Remote: r, Ask: explainer.NewAskFunc(view.Self().Name, g, peers),
	}
}

type limiterResult struct {
	fx.Out

	Limiter *limiter.Limiter
	Service peerService `group:"peer_services"`
}

// Parts of the slack of the limits that may be used up in a window of the users' platform: by
// restarts of daemons, and by daemons whose home of a limit does not answer. The rest is for
// loans that are lost and used all the same.
const (
	restartSlackFraction = 0.5
	ownPartSlackFraction = 0.25
)

// newLimiter returns a limiter that enforces the limits of organisations before
// it passes a request on to the reserver.
func newLimiter(s settings, source inventory.Source, members *gossiper.Gossiper, c clock.Clock, peers *connector.Connector, r *reserver.Remote, registerer prometheus.Registerer) limiterResult {
	view := gossiper.View(members)
	l := &limiter.Limiter{
		Next: r, Source: source, View: view, Clock: c, Registerer: registerer,
		Borrow: limiter.NewBorrowFunc(peers, view.Self().Name), AskRelease: limiter.NewReleaseFunc(peers, view.Self().Name),
		Settled: members.KnowsFleet,
	}
	if s.Hosted != nil && s.Hosted.LimitWindowS > 0 {
		slack := s.Hosted.LimitSlackTokens
		extra := restartSlackFraction * slack
		l.RestartExtra = limiter.Extra{PerSecond: extra / s.Hosted.LimitWindowS, Tokens: extra}
		l.MaxOwnPartOverdraft = int(ownPartSlackFraction * slack)
	}
	service := func(mux drpc.Mux) error {
		return wire.DRPCRegisterLimit(mux, &limiter.Server{Limiter: l})
	}
	return limiterResult{Limiter: l, Service: service}
}

// watchUpstreams polls the upstreams of this daemon's schedulers and reports
// their state to the schedulers.
func watchUpstreams(l fx.Lifecycle, source inventory.Source, c clock.Clock, g *granter.Granter) {
	transport := tuner.Transport()
	transport.MaxIdleConnsPerHost, transport.ResponseHeaderTimeout = 1, reportTimeout.Duration()
	w := &watcher.Watcher{
		Upstreams: g.Upstreams, Source: source, Send: g.Notify, Clock: c,
		Client: &http.Client{Transport: transport},
	}
	runDuty(l, w.Run)
}

// newDialer returns a dialer that connects to the schedulers of this process
// directly and to those of other daemons through dialRemote.
func newDialer(self string, g *granter.Granter, dialRemote reserver.Dialer) reserver.Dialer {
	return func(ctx context.Context, member gossiper.Member) (l reserver.Conn, err error) {
		if member.Name == self {
			return g.Attach(self), nil
		}
		return dialRemote(ctx, member)
	}
}
