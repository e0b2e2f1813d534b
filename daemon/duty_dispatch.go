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

// dispatchDuty takes a request from its classification to the end of its
// answer, at most once where that is asked for.
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

type claimerOut struct {
	fx.Out

	Writer  *claimer.Writer
	Reader  *claimer.Reader
	Claimer *claimer.Claimer
	Sweeper *claimer.Sweeper
	Service peerService `group:"peer_services"`
}

type claimerNeeds struct {
	fx.In

	Settings   settings
	Source     inventory.Source
	Clock      clock.Clock
	View       gossiper.View
	Connector  *connector.Connector
	Platform   platform.Client
	Registerer prometheus.Registerer
}

func newClaimer(n claimerNeeds) claimerOut {
	writer := &claimer.Writer{Table: n.Platform.Table, Clock: n.Clock}
	writer.Spacing = func() clock.Millis { return claimer.Spacing(len(n.Source.Current().Regions)) }
	reader := &claimer.Reader{Table: n.Platform.Table}
	server := &claimer.Server{Local: writer, Clock: n.Clock}
	return claimerOut{
		Writer: writer, Reader: reader, Service: server.Register,
		Claimer: &claimer.Claimer{
			Committer: &claimer.Router{Local: writer, View: n.View, Connector: n.Connector, Clock: n.Clock},
			Reader:    reader, Clock: n.Clock, Holder: n.Settings.Name, Registerer: n.Registerer,
		},
		Sweeper: &claimer.Sweeper{
			Table: n.Platform.Table, Objects: n.Platform.ObjectStore, Clock: n.Clock, Source: n.Source, View: n.View,
		},
	}
}

type keeperOut struct {
	fx.Out

	Keeper  *keeper.Keeper
	Server  *joiner.Server
	Service peerService `group:"peer_services"`
}

func newKeeper(c clock.Clock) keeperOut {
	k := &keeper.Keeper{Clock: c}
	server := &joiner.Server{Keeper: k}
	return keeperOut{Keeper: k, Server: server, Service: server.Register}
}

type convictorOut struct {
	fx.Out

	Convictor *convictor.Convictor
	Teller    *convictor.Teller
	Service   peerService `group:"peer_services"`
}

func newConvictor(c clock.Clock, source inventory.Source, view gossiper.View, peers *connector.Connector) convictorOut {
	teller := &convictor.Teller{View: view, Connector: peers, Clock: c}
	teller.Memory = func() clock.Millis { return source.Current().Limits.WithDefaults().ConvictionMS }
	judge := &convictor.Convictor{Clock: c, Source: source, Tell: teller.Tell}
	server := &convictor.Server{Convictor: judge, Clock: c}
	return convictorOut{Convictor: judge, Teller: teller, Service: server.Register}
}

type dispatcherNeeds struct {
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

func newDispatcher(n dispatcherNeeds) (*dispatcher.Dispatcher, listener.Handler) {
	d := &dispatcher.Dispatcher{
		Source: n.Source, Clock: n.Clock, Reserver: n.Reserver, Sender: &sender.Sender{},
		Claimer: n.Claimer, Keeper: n.Keeper, Convictor: n.Convictor,
		Joiner:  &joiner.Joiner{View: n.View, Connector: n.Connector},
		Objects: n.Platform.ObjectStore, Self: n.Settings.Name, Registerer: n.Registerer,
	}
	return d, d
}

// drainDispatch waits at the stop for the requests that run on without their
// callers and for the daemons that joined one here.
func drainDispatch(l fx.Lifecycle, d *dispatcher.Dispatcher, server *joiner.Server) {
	l.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		err := d.Wait(ctx)
		joined := make(chan struct{})
		go func() {
			defer close(joined)
			server.Wait()
		}()
		select {
		case <-joined:
		case <-ctx.Done():
			err = errors.Join(err, ctx.Err())
		}
		return err
	}})
}
