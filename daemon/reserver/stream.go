package reserver

import (
	"context"

	"storj.io/drpc"

	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

// NewStreamDialer returns a Dialer that opens a connection of its own for each link.
func NewStreamDialer(c *connector.Connector) Dialer {
	return func(ctx context.Context, to gossiper.Member) (l Conn, err error) {
		conn, err := c.NewConn(ctx, to.PeerListen)
		if err != nil {
			return nil, err
		}
		return NewConn(ctx, conn)
	}
}

// NewConn opens a link on conn and takes ownership of conn.
func NewConn(ctx context.Context, conn drpc.Conn) (l Conn, err error) {
	stream, err := wire.NewDRPCReservationClient(conn).Reserve(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &streamLink{conn: conn, stream: stream}, nil
}

// NewProber returns a Prober that opens a connection for each probe.
func NewProber(c *connector.Connector) Prober {
	return func(ctx context.Context, to gossiper.Member) (err error) {
		conn, err := c.NewConn(ctx, to.PeerListen)
		if err != nil {
			return err
		}
		return ProbeConn(ctx, conn)
	}
}

// ProbeConn asks the daemon at the other end of conn for a sign of life, and closes conn. It returns an error if
// ctx ends first.
func ProbeConn(ctx context.Context, conn drpc.Conn) (err error) {
	defer func() { _ = conn.Close() }()
	// It names no shard, so that it changes nothing.
	_, err = wire.NewDRPCReservationClient(conn).TellLowest(ctx, &wire.LowestTier{})
	return err
}

// streamLink is a Conn over drpc. Send and Recv ignore their context: they end
// with the context that was passed to NewConn, or on Close.
type streamLink struct {
	conn   drpc.Conn
	stream wire.DRPCReservation_ReserveClient
}

// Send implements Conn.
func (s *streamLink) Send(_ context.Context, up *wire.ReserveUp) error { return s.stream.Send(up) }

// Recv implements Conn.
func (s *streamLink) Recv(context.Context) (*wire.ReserveDown, error) { return s.stream.Recv() }

// Close implements Conn.
func (s *streamLink) Close() { _ = s.conn.Close() }
