package connector

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
)

// timedSocket is a socket that notes what is received.
type timedSocket struct {
	net.Conn

	// bytes is the number of received bytes, receivedAt when the last ones came.
	bytes, receivedAt atomic.Int64
}

// Read implements net.Conn.
func (s *timedSocket) Read(p []byte) (n int, err error) {
	n, err = s.Conn.Read(p)
	if n > 0 {
		s.bytes.Add(int64(n))
		s.receivedAt.Store(int64(clock.System{}.Now()))
	}
	return n, err
}

// callConn is an open connection for single calls, which runs one at a time.
type callConn struct {
	countedConn

	socket *timedSocket
	// isUsed means that a call was answered on it. It belongs to the call that runs.
	isUsed bool
	// answerTime is how long the last answered call took, or the dial before the first one.
	answerTime clock.Millis
}

// hasReceivedAfter reports whether something was received after a time.
func (c *callConn) hasReceivedAfter(since clock.Millis) bool {
	return clock.Millis(c.socket.receivedAt.Load()) > since
}

// silenceLimit returns how long a call on the connection may go without a byte until it is
// repeated on another one: it may have to travel far, as the last one did.
func (c *callConn) silenceLimit() clock.Millis {
	return max(minSilenceLimit, 2*c.answerTime)
}

// pooledConn makes each call on an idle connection, or on a new one if there is none.
type pooledConn struct {
	// Conn opens streams.
	drpc.Conn

	connector *Connector
	address   string
	// isRepeatable means that the daemon may get a call twice, isRepeated that it may have.
	isRepeatable bool
	isRepeated   atomic.Bool
}

// IsRepeated reports whether a call on a connection from Connector.RepeatingConn may have reached
// the daemon twice, or may do so later.
func IsRepeated(conn drpc.Conn) bool {
	p, isPooled := conn.(*pooledConn)
	return isPooled && p.isRepeated.Load()
}

// Invoke implements drpc.Conn.
func (p *pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) (err error) {
	conn, err := p.take(ctx)
	if err != nil {
		return err
	}
	if !p.isRepeatable {
		return p.invokeOn(ctx, conn, rpc, enc, in, out)
	}
	content, err := enc.Marshal(in)
	if err != nil {
		p.connector.pool.Put(p.address, conn)
		return err
	}
	reply, err := p.invokeRepeatably(ctx, conn, call{rpc, content})
	if err != nil {
		return err
	}
	return enc.Unmarshal(reply, out)
}

func (p *pooledConn) take(ctx context.Context) (conn *callConn, err error) {
	if conn, found := p.connector.pool.Take(p.address); found {
		return conn, nil
	}
	return p.dial(ctx)
}

func (p *pooledConn) dial(ctx context.Context) (conn *callConn, err error) {
	return p.connector.dialForCalls(ctx, p.address)
}

// invokeOn makes a call on a connection, which is idle then or closed.
func (p *pooledConn) invokeOn(ctx context.Context, conn *callConn, rpc string, enc drpc.Encoding, in, out drpc.Message) (err error) {
	began, bytes := clock.System{}.Now(), conn.socket.bytes.Load()
	err = conn.Invoke(ctx, rpc, enc, in, out)
	if conn.socket.bytes.Load() > bytes {
		conn.isUsed, conn.answerTime = true, clock.System{}.Now()-began
		p.connector.pool.Put(p.address, conn)
		return err
	}
	_ = conn.Close()
	if !conn.isUsed || errors.Is(ctx.Err(), context.Canceled) {
		return err
	}
	// What ended this connection may have ended the others. That tells nothing of the daemon.
	if closed := p.connector.closeSilent(p.address, began); closed > 0 {
		p.connector.severed.WithLabelValues("unknown").Add(float64(closed + 1))
		klog.InfoS("call to a daemon ended without a byte; its idle connections without one are closed too", "address", p.address, "rpc", rpc,
			"waited_ms", clock.System{}.Now()-began, "closed", closed, "err", err)
	}
	return err
}

// closeSilent closes the idle connections to an address on which nothing was received after a
// time, and returns their number.
func (c *Connector) closeSilent(address string, since clock.Millis) (closed int) {
	var sound []*callConn
	for conn, found := c.pool.Take(address); found; conn, found = c.pool.Take(address) {
		if conn.hasReceivedAfter(since) {
			sound = append(sound, conn)
			continue
		}
		_ = conn.Close()
		closed++
	}
	for _, conn := range sound {
		c.pool.Put(address, conn)
	}
	return closed
}
