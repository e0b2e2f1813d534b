package granter

import (
	"context"
	"errors"

	"yuccaspread/common/wire"
)

// errNoHello is returned to a peer whose stream doesn't begin with a hello
// that names its daemon.
var errNoHello = errors.New("the first message of a reservation stream must be a hello")

// Server accepts the reservation streams of other daemons over drpc.
type Server struct {
	Granter *Granter
}

// Reserve implements wire.DRPCReservationServer.
func (s *Server) Reserve(stream wire.DRPCReservation_ReserveStream) (err error) {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetDaemon() == "" {
		return errNoHello
	}
	session := s.Granter.Attach(hello.GetDaemon())
	defer session.Close()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go forwardIncoming(ctx, session, stream)
	for {
		down, err := session.Recv(ctx)
		if err != nil {
			return err
		}
		if err = stream.Send(down); err != nil {
			return err
		}
	}
}

// TellLowest implements wire.DRPCReservationServer.
func (s *Server) TellLowest(_ context.Context, tier *wire.LowestTier) (reply *wire.LowestTierReply, err error) {
	s.Granter.prepare()
	s.Granter.handleLowestTier(tier)
	return &wire.LowestTierReply{}, nil
}

// forwardIncoming passes the daemon's messages to the session until the stream
// or the session ends. It can't outlive the handler, whose return closes the
// stream.
func forwardIncoming(ctx context.Context, session *Session, stream wire.DRPCReservation_ReserveStream) {
	defer session.cancel()
	for {
		up, err := stream.Recv()
		if err != nil {
			return
		}
		if err = session.Send(ctx, up); err != nil {
			return
		}
	}
}
