package main

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/claimer"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/dispatcher"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/joiner"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/quarantiner"
	"yuccaspread/daemon/rescuer"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// dispatchDuty handles requests from their classification to the end of the
// answer. A request that has an idempotency key runs at most once.
func dispatchDuty() fx.Option {
	return fx.Module("dispatch",
		fx.Provide(newClaimer, newDeduplicator, newQuarantiner, newDispatcher),
		fx.Invoke(func(l fx.Lifecycle, w *claimer.Writer, r *claimer.Reader, s *claimer.Sweeper, b *quarantiner.DeathBroadcaster) {
			runDuty(l, w.Run)
			runDuty(l, r.Run)
			runDuty(l, s.Run)
			runDuty(l, b.Run)
		}),
		fx.Invoke(drainDispatch),
	)
}

type claimerResult struct {
	fx.Out

	Writer  *claimer.Writer
	Reader  *claimer.Reader
	Claimer *claimer.Claimer
	Sweeper *claimer.Sweeper
	Service peerService `group:"peer_services"`
}

type claimerParams struct {
	fx.In

	Settings   settings
	Source     inventory.Source
	Clock      clock.Clock
	View       gossiper.View
	Connector  *connector.Connector
	Platform   platform.Client
	Registerer prometheus.Registerer
}

func newClaimer(params claimerParams) claimerResult {
	writer := &claimer.Writer{Table: params.Platform.Table, Clock: params.Clock}
	writer.Spacing = func() clock.Millis { return claimer.Spacing(len(params.Source.Current().Regions)) }
	reader := &claimer.Reader{Table: params.Platform.Table}
	server := &claimer.Server{Local: writer, Clock: params.Clock}
	return claimerResult{
		Writer: writer, Reader: reader, Service: server.Register,
		Claimer: &claimer.Claimer{
			Committer: &claimer.Router{Local: writer, View: params.View, Connector: params.Connector, Clock: params.Clock},
			Reader:    reader, Clock: params.Clock, Holder: params.Settings.Name, Registerer: params.Registerer,
		},
		Sweeper: &claimer.Sweeper{
			Table: params.Platform.Table, Objects: params.Platform.ObjectStore, Clock: params.Clock, Source: params.Source, View: params.View,
		},
	}
}

type deduplicatorResult struct {
	fx.Out

	Deduplicator *deduplicator.Deduplicator
	Server       *joiner.Server
	Service      peerService `group:"peer_services"`
}

func newDeduplicator(c clock.Clock) deduplicatorResult {
	d := &deduplicator.Deduplicator{Clock: c}
	server := &joiner.Server{Deduplicator: d}
	return deduplicatorResult{Deduplicator: d, Server: server, Service: server.Register}
}

type quarantinerResult struct {
	fx.Out

	Quarantiner *quarantiner.Quarantiner
	Broadcaster *quarantiner.DeathBroadcaster
	Service     peerService `group:"peer_services"`
}

func newQuarantiner(c clock.Clock, source inventory.Source, view gossiper.View, peers *connector.Connector) quarantinerResult {
	broadcaster := &quarantiner.DeathBroadcaster{View: view, Connector: peers, Clock: c}
	broadcaster.Retention = func() clock.Millis { return source.Current().Limits.WithDefaults().QuarantineMS }
	q := &quarantiner.Quarantiner{Clock: c, Source: source, BroadcastDeath: broadcaster.Broadcast}
	server := &quarantiner.Server{Quarantiner: q, Clock: c}
	return quarantinerResult{Quarantiner: q, Broadcaster: broadcaster, Service: server.Register}
}

type dispatcherParams struct {
	fx.In

	Settings     settings
	Source       inventory.Source
	Clock        clock.Clock
	Reserver     reserver.Reserver
	Claimer      *claimer.Claimer
	Deduplicator *deduplicator.Deduplicator
	Quarantiner  *quarantiner.Quarantiner
	View         gossiper.View
	Connector    *connector.Connector
	Platform     platform.Client
	Rescuer      *rescuer.Rescuer
	Registerer   prometheus.Registerer
}

func newDispatcher(params dispatcherParams) (*dispatcher.Dispatcher, listener.Handler) {
	d := &dispatcher.Dispatcher{
		Source: params.Source, Clock: params.Clock, Reserver: params.Reserver, Sender: &sender.Sender{},
		Claimer: params.Claimer, Deduplicator: params.Deduplicator, Quarantiner: params.Quarantiner,
		Joiner:  &joiner.Joiner{View: params.View, Connector: params.Connector, Clock: params.Clock},
		Objects: params.Platform.ObjectStore, Name: params.Settings.Name, Rescuer: params.Rescuer, Registerer: params.Registerer,
	}
	return d, d
}

// drainDispatch waits during shutdown for requests that still run although
// their callers have disconnected, and for calls of other daemons that joined
// a request running here.
func drainDispatch(l fx.Lifecycle, d *dispatcher.Dispatcher, server *joiner.Server) {
	l.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		err := d.Wait(ctx)
		joinersServed := make(chan struct{})
		go func() {
			defer close(joinersServed)
			server.Wait()
		}()
		select {
		case <-joinersServed:
		case <-ctx.Done():
			err = errors.Join(err, ctx.Err())
		}
		return err
	}})
}
