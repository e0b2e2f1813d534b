// Package connector opens and keeps the drpc connections between daemons.
package connector

import (
	"context"
	"crypto/tls"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/tuner"
)

// Bounds of the connections to other daemons.
const (
	idleTimeout   = 30 * clock.Second
	poolSize      = 64
	poolPerDaemon = 4
)

// Connector reaches other daemons. Its exported fields are set before use.
type Connector struct {
	// TLS returns the configuration of a new connection; nil sends in the clear.
	TLS func() *tls.Config

	bytes *prometheus.CounterVec
	// pool keeps idle connections for single calls by address.
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// New returns a connector without connections. registerer takes the metrics; nil
// for none.
func New(config func() *tls.Config, registerer prometheus.Registerer) *Connector {
	return &Connector{TLS: config, bytes: newBytes(registerer), pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout.Duration(), Capacity: poolSize, KeyCapacity: poolPerDaemon,
	})}
}

// Call returns a connection for single calls to the daemon at address. It is
// dialled at the first call, is reused where it can be, and must be closed.
func (c *Connector) Call(ctx context.Context, address string) drpcpool.Conn {
	return c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return c.open(ctx, address)
	})
}

// Stream opens a connection for one long-lived stream; the caller closes it.
func (c *Connector) Stream(ctx context.Context, address string) (conn drpc.Conn, err error) {
	return c.open(ctx, address)
}

// Close closes the idle connections.
func (c *Connector) Close() error {
	return c.pool.Close()
}

func (c *Connector) open(ctx context.Context, address string) (conn drpcpool.Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("connect to daemon %s: %w", address, err)
		}
	}()
	dialer := tuner.Dialer()
	if c.TLS == nil {
		plain, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return counted{drpcconn.New(plain), c.bytes}, nil
	}
	secure, err := (&tls.Dialer{NetDialer: dialer, Config: c.TLS()}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return counted{drpcconn.New(secure), c.bytes}, nil
}
