// Package joiner lets a repeat of a key join the running request, or the kept
// answer, at whichever daemon holds it.
package joiner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/refuser"
)

// Spans of a join.
const (
	// aliveInterval is the time between signs of life while no answer comes.
	aliveInterval = 1 * clock.Second
	// silence is the time without any message after which a join is given up.
	silence = 4 * clock.Second
	// retryAfter is told to callers whose join failed.
	retryAfter = 1 * clock.Second
)

// ErrCut means that the join ended before the answer was whole.
var ErrCut = errors.New("the joined answer was cut")

// Joiner joins requests at other daemons. Its exported fields are set before
// use.
type Joiner struct {
	View      gossiper.View
	Connector *connector.Connector
}

// Join copies the answer that holder has for the request into the given one.
// The error is a *refuser.Refusal where nothing was copied.
func (j *Joiner) Join(ctx context.Context, holder string, req *classifier.Request, into *keeper.Answer) (err error) {
	address, found := j.address(holder)
	if !found {
		return refuser.NewUnknown(http.StatusConflict, "holder gone", "the daemon that ran the request is gone; the request may have run")
	}
	err = j.copy(ctx, address, req, into)
	var refusal *refuser.Refusal
	if err == nil || into.Begun() || errors.As(err, &refusal) {
		return err
	}
	refusal = refuser.NewUnknown(http.StatusServiceUnavailable, "holder silent", "the daemon that runs the request did not answer: "+err.Error())
	refusal.RetryAfter = retryAfter
	return refusal
}

func (j *Joiner) address(holder string) (address string, found bool) {
	for _, m := range j.View.Members() {
		if m.Name == holder && m.State != gossiper.Dead {
			return m.PeerListen, true
		}
	}
	return "", false
}

func (j *Joiner) copy(ctx context.Context, address string, req *classifier.Request, into *keeper.Answer) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(silence.Duration(), cancel)
	defer quiet.Stop()
	conn, err := j.Connector.Stream(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCJoiningClient(conn).Join(ctx, &wire.JoinRequest{
		Organisation: req.Organisation, Key: req.Key, Fingerprint: req.Fingerprint,
	})
	if err != nil {
		return err
	}
	for {
		piece, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrCut, err)
		}
		quiet.Reset(silence.Duration())
		end, err := take(ctx, piece, into)
		if end || err != nil {
			return err
		}
	}
}

// take adds a piece to the answer; end tells that it is whole.
func take(ctx context.Context, message *wire.JoinPiece, into *keeper.Answer) (end bool, err error) {
	switch piece := message.GetPiece().(type) {
	case *wire.JoinPiece_Head:
		header := http.Header{}
		for _, h := range piece.Head.GetHeaders() {
			header[h.GetName()] = h.GetValues()
		}
		into.Begin(keeper.Head{Status: int(piece.Head.GetStatus()), Header: header})
	case *wire.JoinPiece_Body:
		return false, into.Append(ctx, piece.Body)
	case *wire.JoinPiece_End:
		return true, nil
	case *wire.JoinPiece_Refusal:
		r := piece.Refusal
		if r.GetNotRun() {
			return false, refuser.New(int(r.GetStatus()), r.GetTitle(), r.GetDetail())
		}
		return false, refuser.NewUnknown(int(r.GetStatus()), r.GetTitle(), r.GetDetail())
	}
	return false, nil
}
