// Package connector opens and pools the drpc connections between daemons.
package connector

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/tuner"
)

// Limits of the pooled idle connections to other daemons.
const (
	idleTimeout      = 30 * clock.Second
	maxIdleConns     = 64
	maxIdlePerDaemon = 4
)

// Connector opens connections to other daemons. Create it with New.
type Connector struct {
	// TLS returns the configuration of a new connection; nil disables TLS. It is
	// set before use.
	TLS func() *tls.Config

	bytes *prometheus.CounterVec
	// severed counts the connections for single calls that were closed because they were silent.
	severed *prometheus.CounterVec
	// pool holds idle connections for single calls by address.
	pool *drpcpool.Pool[string, *callConn]

	mu sync.Mutex
	// trials holds the last trial of each address, until its result is too old to count.
	trials map[string]*trial
}

// New returns a connector without connections. registerer registers the metrics; nil
// registers none.
func New(config func() *tls.Config, registerer prometheus.Registerer) *Connector {
	return &Connector{
		TLS: config, trials: map[string]*trial{}, bytes: newBytesCounter(registerer), severed: newSeveredCounter(registerer),
		pool: drpcpool.New[string, *callConn](drpcpool.Options{
			Expiration: idleTimeout.Duration(), Capacity: maxIdleConns, KeyCapacity: maxIdlePerDaemon,
		}),
	}
}

// PooledConn returns a connection for single calls to the daemon at address. The
// connection is dialled at the first call unless an idle one can be reused. A call is
// sent once at most. The caller closes the connection.
func (c *Connector) PooledConn(ctx context.Context, address string) drpc.Conn {
	return &pooledConn{Conn: c.pool.Get(ctx, address, c.dialForCalls), connector: c, address: address}
}

// RepeatingConn returns a connection as PooledConn does, for calls that the daemon may get
// twice: one that gets no byte for a while on its connection is repeated on a new one.
func (c *Connector) RepeatingConn(ctx context.Context, address string) drpc.Conn {
	return &pooledConn{Conn: c.pool.Get(ctx, address, c.dialForCalls), connector: c, address: address, isRepeatable: true}
}

// NewConn opens a connection for one long-lived stream; the caller closes it.
func (c *Connector) NewConn(ctx context.Context, address string) (conn drpc.Conn, err error) {
	socket, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countedConn{drpcconn.New(socket), c.bytes}, nil
}

// Close closes the idle connections.
func (c *Connector) Close() error {
	return c.pool.Close()
}

func (c *Connector) dialForCalls(ctx context.Context, address string) (conn *callConn, err error) {
	began := clock.System{}.Now()
	socket, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	timed := &timedSocket{Conn: socket}
	return &callConn{countedConn: countedConn{drpcconn.New(timed), c.bytes}, socket: timed, answerTime: clock.System{}.Now() - began}, nil
}

func (c *Connector) dial(ctx context.Context, address string) (socket net.Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("connect to daemon %s: %w", address, err)
		}
	}()
	dialer := tuner.Dialer()
	if c.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: c.TLS()}).DialContext(ctx, "tcp", address)
}
