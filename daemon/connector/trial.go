package connector

import (
	"context"
	"maps"
	"time"

	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
)

const (
	// minSilenceLimit is how long a call that may be repeated waits for its first byte at least.
	minSilenceLimit = 100 * clock.Millisecond
	// maxTrialLifetime is how long the result of a trial counts at most.
	maxTrialLifetime = 1 * clock.Second
	// verdictDelay is how long an answer on an old connection may come after one on a new
	// connection: a daemon that has stood still answers on both at once.
	verdictDelay = 20 * clock.Millisecond
)

// trial is a call that is repeated on a new connection, because an old one to its address is
// silent. There is one at a time for each address.
type trial struct {
	// done is closed at the end; the other fields are set before and don't change after.
	done    chan struct{}
	endedAt clock.Millis
	// countsUntil is when the result ends to count. One that found no dead connection holds the next
	// trial off for as long as its call took, so that a daemon that is slow gets few new connections.
	countsUntil clock.Millis
	// isSevered means that the daemon answered on the new connection, the old one being silent.
	isSevered bool
}

// isDone reports whether the trial has ended.
func (t *trial) isDone() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// joinTrial returns the trial whose result a call goes by that began at a time. If isNew, the
// caller makes it and calls endTrial.
func (c *Connector) joinTrial(address string, began clock.Millis) (t *trial, isNew bool) {
	now := clock.System{}.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.trials, func(_ string, t *trial) bool { return t.isDone() && now >= t.countsUntil })
	t = c.trials[address]
	if t == nil || t.isDone() && t.isSevered && began >= t.endedAt {
		t = &trial{done: make(chan struct{})}
		c.trials[address] = t
		return t, true
	}
	return t, false
}

// endTrial ends a trial for a call that began at a time.
func (c *Connector) endTrial(t *trial, began clock.Millis, isSevered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.endedAt, t.isSevered = clock.System{}.Now(), isSevered
	t.countsUntil = t.endedAt + maxTrialLifetime
	if !isSevered {
		t.countsUntil = t.endedAt + min(t.endedAt-began, maxTrialLifetime)
	}
	close(t.done)
}

// call is a call whose message is encoded.
type call struct {
	rpc     string
	content []byte
}

// reply is the encoded reply to a call, or its error.
type reply struct {
	content []byte
	err     error
}

// rawEncoding passes on messages that are encoded.
type rawEncoding struct{}

// Marshal implements drpc.Encoding.
func (rawEncoding) Marshal(msg drpc.Message) (raw []byte, err error) {
	return *msg.(*[]byte), nil
}

// Unmarshal implements drpc.Encoding.
func (rawEncoding) Unmarshal(raw []byte, msg drpc.Message) error {
	*msg.(*[]byte) = append([]byte{}, raw...)
	return nil
}

// start makes a call on a connection, or on the one that take returns if conn is nil.
func (p *pooledConn) start(ctx context.Context, conn *callConn, take func(ctx context.Context) (*callConn, error), c call) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		var r reply
		if conn == nil {
			conn, r.err = take(ctx)
		}
		if r.err == nil {
			r.err = p.invokeOn(ctx, conn, c.rpc, rawEncoding{}, &c.content, &r.content)
		}
		replies <- r
	}()
	return replies
}

// invokeRepeatably makes a call on a connection and repeats it once on another one if this one
// breaks without a byte, or if nothing comes and a trial tells that connections may be dead.
func (p *pooledConn) invokeRepeatably(ctx context.Context, old *callConn, c call) (content []byte, err error) {
	began, bytes, limit := clock.System{}.Now(), old.socket.bytes.Load(), old.silenceLimit()
	// The call that comes second is cancelled.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := p.start(ctx, old, nil, c)
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	select {
	case r := <-first:
		if r.err != nil && ctx.Err() == nil && old.socket.bytes.Load() == bytes {
			p.isRepeated.Store(true)
			r = <-p.start(ctx, nil, p.dial, c)
		}
		return r.content, r.err
	case <-timer.C:
	}
	for old.socket.bytes.Load() == bytes {
		t, isNew := p.connector.joinTrial(p.address, began)
		if isNew {
			return p.tryAnew(ctx, t, began, first, c)
		}
		select {
		case r := <-first:
			return r.content, r.err
		case <-t.done:
		}
		if t.isSevered {
			p.isRepeated.Store(true)
			r, _ := firstReply(ctx, first, p.start(ctx, nil, p.take, c))
			return r.content, r.err
		}
		timer.Reset((t.countsUntil - clock.System{}.Now()).Duration())
		select {
		case r := <-first:
			return r.content, r.err
		case <-timer.C:
		}
	}
	r := <-first
	return r.content, r.err
}

// tryAnew makes a trial for a call that began at a time.
func (p *pooledConn) tryAnew(ctx context.Context, t *trial, began clock.Millis, first <-chan reply, c call) (content []byte, err error) {
	isSevered := false
	defer func() { p.connector.endTrial(t, began, isSevered) }()
	p.isRepeated.Store(true)
	r, isSecond := firstReply(ctx, first, p.start(ctx, nil, p.dial, c))
	if !isSecond || r.err != nil {
		return r.content, r.err
	}
	verdict := time.NewTimer(verdictDelay.Duration())
	defer verdict.Stop()
	select {
	case old := <-first:
		isSevered = old.err != nil
	case <-verdict.C:
		isSevered = true
	}
	if isSevered {
		closed := 1 + p.connector.closeSilent(p.address, began)
		p.connector.severed.WithLabelValues("answers").Add(float64(closed))
		klog.InfoS("daemon answers on a new connection while old ones are silent; closing these", "address", p.address, "rpc", c.rpc,
			"silent_ms", clock.System{}.Now()-began, "closed", closed)
	}
	return r.content, r.err
}

// firstReply returns the reply that comes first, or the other one if that is an error before ctx
// ends.
func firstReply(ctx context.Context, first, second <-chan reply) (r reply, isSecond bool) {
	select {
	case r = <-first:
		if r.err != nil && ctx.Err() == nil {
			return <-second, true
		}
	case r = <-second:
		if r.err != nil && ctx.Err() == nil {
			return <-first, false
		}
		isSecond = true
	}
	return r, isSecond
}
