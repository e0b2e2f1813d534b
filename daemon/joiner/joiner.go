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

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
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
	// connectionSilence is the time without any message after which the answer is asked for on a
	// new connection. A holder that only pauses loses nothing by it.
	connectionSilence = keepAliveInterval + keepAliveInterval/2
	// beginTimeout is the time without any message, on any connection, after which a join whose
	// answer has not begun fails, and restTimeout that of one that has.
	beginTimeout = 4 * clock.Second
	restTimeout  = 10 * clock.Second
	// rejoinPause is the pause before a new connection.
	rejoinPause = 100 * clock.Millisecond
	// retryAfter is the Retry-After time for callers whose join failed.
	retryAfter = 1 * clock.Second
)

// ErrIncomplete is returned if the join ends before the answer is complete.
var ErrIncomplete = errors.New("the joined answer was cut")

var (
	errSilent = errors.New("no message from the holder")
	// errOtherAnswer means that the holder has another answer than the one that was begun.
	errOtherAnswer = errors.New("the holder has another answer by now")
)

// Joiner joins requests that other daemons hold. Its exported fields are set
// before use.
type Joiner struct {
	View      gossiper.View
	Connector *connector.Connector
	Clock     clock.Clock
}

// Join copies the answer that the daemon holder has for the request into answer. It goes on over
// a new connection if the one to the holder is silent, or ends within the answer.
// The error is a *refuser.Refusal if nothing was copied.
func (j *Joiner) Join(ctx context.Context, holder string, req *classifier.Request, answer *deduplicator.Answer) (err error) {
	c := &copier{answer: answer, heardAt: j.Clock.Now()}
	for {
		address, found := j.holderAddress(holder)
		if !found {
			err = refuser.NewUnknown(http.StatusConflict, "holder gone", "the daemon that ran the request is gone; the request may have run")
			break
		}
		err = j.copyAnswer(ctx, address, req, c)
		if ctx.Err() != nil || !c.mayGoOn(err) || j.timeLeft(c) <= 0 {
			break
		}
		klog.InfoS("joined answer is asked for again on a new connection", logger.KeyRequest, req.ID, "holder", holder,
			"silent_ms", j.Clock.Now()-c.heardAt, "copied_bytes", c.size, "reason", err.Error())
		clock.Sleep(ctx, rejoinPause)
	}
	var refusal *refuser.Refusal
	switch {
	case err == nil:
		return nil
	case answer.HasHead():
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	case errors.As(err, &refusal):
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

// timeLeft returns how much longer the holder may be silent.
func (j *Joiner) timeLeft(c *copier) clock.Millis {
	timeout := beginTimeout
	if c.answer.HasHead() {
		timeout = restTimeout
	}
	return c.heardAt + timeout - j.Clock.Now()
}

// copyAnswer copies what is missing of the answer over one connection.
func (j *Joiner) copyAnswer(ctx context.Context, address string, req *classifier.Request, c *copier) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(min(connectionSilence, j.timeLeft(c)).Duration(), func() { cancel(errSilent) })
	defer watchdog.Stop()
	defer func() {
		if cause := context.Cause(ctx); err != nil && errors.Is(cause, errSilent) {
			err = cause
		}
	}()
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
	c.begin()
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		// A reader of the copy that is slow is no silence of the holder.
		watchdog.Stop()
		end, err := c.apply(ctx, message)
		if end || err != nil {
			return err
		}
		c.heardAt = j.Clock.Now()
		watchdog.Reset(connectionSilence.Duration())
	}
}
