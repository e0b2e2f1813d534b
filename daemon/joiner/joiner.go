// Package joiner streams the answer of a request to a repeat of it. If a request
// repeats an idempotency key, the daemon that received it joins the running
// request, or the stored answer, at the daemon that holds it.
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
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/refuser"
)

// Timing of a join.
const (
	// keepAliveInterval is the time between keep-alive messages while no part of
	// the answer arrives.
	keepAliveInterval = 1 * clock.Second
	// messageTimeout is the time without any message after which a join fails.
	messageTimeout = 4 * clock.Second
	// retryAfter is the Retry-After time for callers whose join failed.
	retryAfter = 1 * clock.Second
)

// ErrIncomplete is returned if the join ends before the answer is complete.
var ErrIncomplete = errors.New("the joined answer was cut")

// Joiner joins requests that other daemons hold. Its exported fields are set
// before use.
type Joiner struct {
	View      gossiper.View
	Connector *connector.Connector
}

// Join copies the answer that the daemon holder has for the request into answer.
// The error is a *refuser.Refusal if nothing was copied.
func (j *Joiner) Join(ctx context.Context, holder string, req *classifier.Request, answer *deduplicator.Answer) (err error) {
	address, found := j.holderAddress(holder)
	if !found {
		return refuser.NewUnknown(http.StatusConflict, "holder gone", "the daemon that ran the request is gone; the request may have run")
	}
	err = j.copyAnswer(ctx, address, req, answer)
	var refusal *refuser.Refusal
	if err == nil || answer.HasHead() || errors.As(err, &refusal) {
		return err
	}
	refusal = refuser.NewUnknown(http.StatusServiceUnavailable, "holder silent", "the daemon that runs the request did not answer: "+err.Error())
	refusal.RetryAfter = retryAfter
	return refusal
}

func (j *Joiner) holderAddress(holder string) (address string, found bool) {
	for _, m := range j.View.Members() {
		if m.Name == holder && m.State != gossiper.Dead {
			return m.PeerListen, true
		}
	}
	return "", false
}

func (j *Joiner) copyAnswer(ctx context.Context, address string, req *classifier.Request, answer *deduplicator.Answer) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(messageTimeout.Duration(), cancel)
	defer watchdog.Stop()
	conn, err := j.Connector.NewConn(ctx, address)
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
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		watchdog.Reset(messageTimeout.Duration())
		end, err := applyPiece(ctx, piece, answer)
		if end || err != nil {
			return err
		}
	}
}

// applyPiece applies a message of the stream to the answer; end reports whether
// the answer is complete. The error is a *refuser.Refusal if the holder refused.
func applyPiece(ctx context.Context, message *wire.JoinPiece, answer *deduplicator.Answer) (end bool, err error) {
	switch piece := message.GetPiece().(type) {
	case *wire.JoinPiece_Head:
		header := http.Header{}
		for _, h := range piece.Head.GetHeaders() {
			header[h.GetName()] = h.GetValues()
		}
		answer.SetHead(deduplicator.Head{Status: int(piece.Head.GetStatus()), Header: header})
	case *wire.JoinPiece_Body:
		return false, answer.Append(ctx, piece.Body)
	case *wire.JoinPiece_End:
		return true, nil
	case *wire.JoinPiece_Refusal:
		refusal := piece.Refusal
		if refusal.GetNotRun() {
			return false, refuser.New(int(refusal.GetStatus()), refusal.GetTitle(), refusal.GetDetail())
		}
		return false, refuser.NewUnknown(int(refusal.GetStatus()), refusal.GetTitle(), refusal.GetDetail())
	}
	return false, nil
}
