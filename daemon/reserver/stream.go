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
	return func(ctx context.Context, to gossiper.Member) (l Link, err error) {
		conn, err := c.Stream(ctx, to.PeerListen)
		if err != nil {
			return nil, err
		}
		return NewLink(ctx, conn)
	}
}

// NewLink opens a link on conn and takes ownership of conn.
func NewLink(ctx context.Context, conn drpc.Conn) (l Link, err error) {
	stream, err := wire.NewDRPCReservationClient(conn).Reserve(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &streamLink{conn: conn, stream: stream}, nil
}

// streamLink is a Link over drpc. Send and Recv ignore their context: they end
// with the context that was passed to NewLink, or on Close.
type streamLink struct {
	conn   drpc.Conn
	stream wire.DRPCReservation_ReserveClient
}

// Send implements Link.
func (s *streamLink) Send(_ context.Context, up *wire.ReserveUp) error { return s.stream.Send(up) }

// Recv implements Link.
func (s *streamLink) Recv(context.Context) (*wire.ReserveDown, error) { return s.stream.Recv() }

// Close implements Link.
func (s *streamLink) Close() { _ = s.conn.Close() }
