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

// peerService registers a service for other daemons; duties provide it
// through the fx group "peer_services".
type peerService func(mux drpc.Mux) error

type peerNeeds struct {
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

// newConnector uses TLS towards other daemons where the settings ask for it.
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

// servePeers listens for other daemons until the stop.
func servePeers(n peerNeeds) (err error) {
	mux := drpcmux.New()
	for _, register := range n.Services {
		if err = register(mux); err != nil {
			return err
		}
	}
	options := drpcserver.Options{Log: peerLog(throttledLog())}
	ctx, cancel := context.WithCancel(context.Background())
	n.Lifecycle.Append(fx.Hook{
		OnStart: func(start context.Context) (err error) {
			socket, err := listenOn(start, n.Settings.PeerListen, n.Settings.PeerTLS)
			if err != nil {
				return err
			}
			go func() {
				if err := drpcserver.NewWithOptions(mux, options).Serve(ctx, socket); err != nil && ctx.Err() == nil {
					klog.ErrorS(err, "no longer serving daemons")
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

// peerLog tells which connections were refused, for example because of a
// missing certificate; those that end in the usual ways are left out.
func peerLog(out *log.Logger) func(err error) {
	return func(err error) {
		for _, usual := range []error{io.EOF, context.Canceled, net.ErrClosed, syscall.ECONNRESET} {
			if errors.Is(err, usual) {
				return
			}
		}
		out.Printf("connection of a daemon failed: %v", err)
	}
}
