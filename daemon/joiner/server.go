package joiner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"storj.io/drpc"

	"yuccaspread/common/wire"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/refuser"
)

// Server serves the joins of other daemons. Its exported fields are set
// before Register.
type Server struct {
	Keeper *keeper.Keeper

	serving sync.WaitGroup
}

// Register adds the service to mux.
func (s *Server) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterJoining(mux, s)
}

// Wait waits for the joins in progress.
func (s *Server) Wait() { s.serving.Wait() }

// Join implements the service.
func (s *Server) Join(req *wire.JoinRequest, stream wire.DRPCJoining_JoinStream) (err error) {
	s.serving.Add(1)
	defer s.serving.Done()
	entry, found := s.Keeper.Find(keeper.Key{Organisation: req.GetOrganisation(), Key: req.GetKey()})
	if !found {
		return refuse(stream, refuser.NewUnknown(http.StatusConflict, "no answer kept", "the holder of the key no longer runs the request"))
	}
	if entry.Fingerprint != req.GetFingerprint() {
		return refuse(stream, refuser.NewUnknown(http.StatusUnprocessableEntity, "key reused", "the key came with another body before"))
	}
	reader, err := entry.Answer.Read()
	if err != nil {
		return refuse(stream, refuser.NewUnknown(http.StatusConflict, "runs", "the request runs and its answer is too large to be joined"))
	}
	defer reader.Close()
	return give(stream, reader)
}

// give sends the answer as it comes, and signs of life while it does not.
func give(stream wire.DRPCJoining_JoinStream, reader *keeper.Reader) (err error) {
	ctx := stream.Context()
	var head keeper.Head
	err = awake(ctx, stream, func(ctx context.Context) (err error) {
		head, err = reader.Head(ctx)
		return err
	})
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refuse(stream, refusal)
	}
	if err != nil {
		return err
	}
	start := &wire.JoinHead{Status: int32(head.Status)}
	for name, values := range head.Header {
		start.Headers = append(start.Headers, &wire.JoinHeader{Name: name, Values: values})
	}
	if err = stream.Send(&wire.JoinPiece{Piece: &wire.JoinPiece_Head{Head: start}}); err != nil {
		return err
	}
	for {
		var piece []byte
		err = awake(ctx, stream, func(ctx context.Context) (err error) {
			piece, err = reader.Next(ctx)
			return err
		})
		if errors.Is(err, io.EOF) {
			return stream.Send(&wire.JoinPiece{Piece: &wire.JoinPiece_End{End: &wire.JoinEnd{}}})
		}
		if err != nil {
			return err
		}
		if err = stream.Send(&wire.JoinPiece{Piece: &wire.JoinPiece_Body{Body: piece}}); err != nil {
			return err
		}
	}
}

// awake repeats wait until it has something, with a sign of life in between.
func awake(ctx context.Context, stream wire.DRPCJoining_JoinStream, wait func(ctx context.Context) error) (err error) {
	for {
		limited, cancel := context.WithTimeout(ctx, aliveInterval.Duration())
		err = wait(limited)
		late := limited.Err() != nil && errors.Is(err, limited.Err())
		cancel()
		if !late || ctx.Err() != nil {
			return err
		}
		if err = stream.Send(&wire.JoinPiece{Piece: &wire.JoinPiece_Alive{Alive: &wire.JoinAlive{}}}); err != nil {
			return err
		}
	}
}

func refuse(stream wire.DRPCJoining_JoinStream, r *refuser.Refusal) error {
	return stream.Send(&wire.JoinPiece{Piece: &wire.JoinPiece_Refusal{Refusal: &wire.JoinRefusal{
		Status: int32(r.Status), Title: r.Title, Detail: r.Detail, NotRun: r.Outcome == refuser.NotRun,
	}}})
}
