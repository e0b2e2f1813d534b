package granter

import (
	"context"
	"errors"

	"yuccaspread/common/wire"
)

// errNoHello is returned to a peer whose stream begins otherwise.
var errNoHello = errors.New("the first message of a reservation stream must be a hello")

// Server serves the sessions of other daemons over drpc.
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
	go receive(ctx, session, stream)
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
	s.Granter.takeLowest(tier)
	return &wire.LowestTierReply{}, nil
}

// receive passes the daemon's messages on until the stream or the session
// ends. It ends with the stream, since a finished handler closes that.
func receive(ctx context.Context, session *Session, stream wire.DRPCReservation_ReserveStream) {
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
