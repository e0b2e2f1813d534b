package main

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"k8s.io/klog/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"yuccaspread/common/reloader"
	"yuccaspread/daemon/connector"
)

// peerService registers a drpc service for other daemons. Duties provide it
// through the fx group "peer_services".
type peerService func(mux drpc.Mux) error

type peerParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  settings
	Services  []peerService `group:"peer_services"`
}

// peerDuty serves other daemons and connects to them.
func peerDuty() fx.Option {
	return fx.Module("peers",
		fx.Provide(newConnector),
		fx.Invoke(servePeers),
	)
}

// newConnector returns the connector to other daemons, which uses TLS if the
// settings name certificate files for it.
func newConnector(l fx.Lifecycle, s settings, registerer prometheus.Registerer) (c *connector.Connector, err error) {
	var config func() *tls.Config
	if s.PeerTLS.Enabled() {
		keys, err := reloader.New(s.PeerTLS)
		if err != nil {
			return nil, err
		}
		config = keys.Client
	}
	c = connector.New(config, registerer)
	l.Append(fx.Hook{OnStop: func(context.Context) error { return c.Close() }})
	return c, nil
}

// servePeers serves other daemons from the start to the stop of the process.
func servePeers(params peerParams) (err error) {
	mux := drpcmux.New()
	for _, register := range params.Services {
		if err = register(mux); err != nil {
			return err
		}
	}
	options := drpcserver.Options{Log: peerErrorLogger(newThrottledLog())}
	ctx, cancel := context.WithCancel(context.Background())
	params.Lifecycle.Append(fx.Hook{
		OnStart: func(startCtx context.Context) (err error) {
			socket, err := listenOn(startCtx, params.Settings.PeerListen, params.Settings.PeerTLS)
			if err != nil {
				return err
			}
			go func() {
				if err := drpcserver.NewWithOptions(mux, options).Serve(ctx, socket); err != nil && ctx.Err() == nil {
					klog.ErrorS(err, "peer server failed; other daemons are no longer served")
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
	return nil
}

// peerErrorLogger returns a function that logs why a connection of another
// daemon failed, for example because of a missing certificate. Errors of
// connections that end normally are left out.
func peerErrorLogger(errorLog *log.Logger) func(err error) {
	return func(err error) {
		for _, expected := range []error{io.EOF, context.Canceled, net.ErrClosed, syscall.ECONNRESET} {
			if errors.Is(err, expected) {
				return
			}
		}
		errorLog.Printf("connection from another daemon failed: %v", err)
	}
}
