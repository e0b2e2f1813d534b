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
	"yuccaspread/daemon/convictor"
	"yuccaspread/daemon/dispatcher"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/joiner"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// dispatchDuty handles requests from their classification to the end of the
// answer. A request that has an idempotency key runs at most once.
func dispatchDuty() fx.Option {
	return fx.Module("dispatch",
		fx.Provide(newClaimer, newKeeper, newConvictor, newDispatcher),
		fx.Invoke(func(l fx.Lifecycle, w *claimer.Writer, r *claimer.Reader, s *claimer.Sweeper, t *convictor.Teller) {
			runDuty(l, w.Run)
			runDuty(l, r.Run)
			runDuty(l, s.Run)
			runDuty(l, t.Run)
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

type keeperResult struct {
	fx.Out

	Keeper  *keeper.Keeper
	Server  *joiner.Server
	Service peerService `group:"peer_services"`
}

func newKeeper(c clock.Clock) keeperResult {
	k := &keeper.Keeper{Clock: c}
	server := &joiner.Server{Keeper: k}
	return keeperResult{Keeper: k, Server: server, Service: server.Register}
}

type convictorResult struct {
	fx.Out

	Convictor *convictor.Convictor
	Teller    *convictor.Teller
	Service   peerService `group:"peer_services"`
}

func newConvictor(c clock.Clock, source inventory.Source, view gossiper.View, peers *connector.Connector) convictorResult {
	teller := &convictor.Teller{View: view, Connector: peers, Clock: c}
	teller.Memory = func() clock.Millis { return source.Current().Limits.WithDefaults().ConvictionMS }
	convictions := &convictor.Convictor{Clock: c, Source: source, Tell: teller.Tell}
	server := &convictor.Server{Convictor: convictions, Clock: c}
	return convictorResult{Convictor: convictions, Teller: teller, Service: server.Register}
}

type dispatcherParams struct {
	fx.In

	Settings   settings
	Source     inventory.Source
	Clock      clock.Clock
	Reserver   reserver.Reserver
	Claimer    *claimer.Claimer
	Keeper     *keeper.Keeper
	Convictor  *convictor.Convictor
	View       gossiper.View
	Connector  *connector.Connector
	Platform   platform.Client
	Registerer prometheus.Registerer
}

func newDispatcher(params dispatcherParams) (*dispatcher.Dispatcher, listener.Handler) {
	d := &dispatcher.Dispatcher{
		Source: params.Source, Clock: params.Clock, Reserver: params.Reserver, Sender: &sender.Sender{},
		Claimer: params.Claimer, Keeper: params.Keeper, Convictor: params.Convictor,
		Joiner:  &joiner.Joiner{View: params.View, Connector: params.Connector},
		Objects: params.Platform.ObjectStore, Self: params.Settings.Name, Registerer: params.Registerer,
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
