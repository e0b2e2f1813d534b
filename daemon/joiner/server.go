package joiner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"storj.io/drpc"

	"yuccaspread/common/wire"
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/refuser"
)

// Server serves the joins of other daemons at the daemon that holds the
// requests. Its exported fields are set before Register.
type Server struct {
	Deduplicator *deduplicator.Deduplicator

	activeJoins sync.WaitGroup
}

// Register adds the service to mux.
func (s *Server) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterJoining(mux, s)
}

// Wait returns once no join is in progress.
func (s *Server) Wait() { s.activeJoins.Wait() }

// Join implements wire.DRPCJoiningServer.
func (s *Server) Join(req *wire.JoinRequest, stream wire.DRPCJoining_JoinStream) (err error) {
	s.activeJoins.Add(1)
	defer s.activeJoins.Done()
	entry, found := s.Deduplicator.Find(deduplicator.Key{Organisation: req.GetOrganisation(), Key: req.GetKey()})
	if !found {
		return sendRefusal(stream, refuser.NewUnknown(http.StatusConflict, "no answer kept", "the holder of the key no longer runs the request"))
	}
	if entry.Fingerprint != req.GetFingerprint() {
		return sendRefusal(stream, refuser.NewUnknown(http.StatusUnprocessableEntity, "key reused", "the key came with another body before"))
	}
	reader, err := entry.Answer.Read()
	if err != nil {
		return sendRefusal(stream, refuser.NewUnknown(http.StatusConflict, "runs", "the request runs and its answer is too large to be joined"))
	}
	defer reader.Close()
	return streamAnswer(stream, reader)
}

// streamAnswer sends the answer as it arrives, with keep-alive messages in
// between.
func streamAnswer(stream wire.DRPCJoining_JoinStream, reader *deduplicator.Reader) (err error) {
	ctx := stream.Context()
	var head deduplicator.Head
	err = waitWithKeepAlive(ctx, stream, func(ctx context.Context) (err error) {
		head, err = reader.Head(ctx)
		return err
	})
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return sendRefusal(stream, refusal)
	}
	if err != nil {
		return err
	}
	headMessage := &wire.JoinHead{Status: int32(head.Status)}
	for name, values := range head.Header {
		headMessage.Headers = append(headMessage.Headers, &wire.JoinHeader{Name: name, Values: values})
	}
	if err = stream.Send(&wire.JoinPiece{Piece: &wire.JoinPiece_Head{Head: headMessage}}); err != nil {
		return err
	}
	for {
		var piece []byte
		err = waitWithKeepAlive(ctx, stream, func(ctx context.Context) (err error) {
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

// waitWithKeepAlive calls wait until it returns anything but a timeout of
// keepAliveInterval, and sends a keep-alive message after each such timeout.
func waitWithKeepAlive(ctx context.Context, stream wire.DRPCJoining_JoinStream, wait func(ctx context.Context) error) (err error) {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, keepAliveInterval.Duration())
		err = wait(waitCtx)
		timedOut := waitCtx.Err() != nil && errors.Is(err, waitCtx.Err())
		cancel()
		if !timedOut || ctx.Err() != nil {
			return err
		}
		if err = stream.Send(&wire.JoinPiece{Piece: &wire.JoinPiece_Alive{Alive: &wire.JoinAlive{}}}); err != nil {
			return err
		}
	}
}

func sendRefusal(stream wire.DRPCJoining_JoinStream, refusal *refuser.Refusal) error {
	return stream.Send(&wire.JoinPiece{Piece: &wire.JoinPiece_Refusal{Refusal: &wire.JoinRefusal{
		Status: int32(refusal.Status), Title: refusal.Title, Detail: refusal.Detail, NotRun: refusal.Outcome == refuser.NotRun,
	}}})
}
