package granter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"yuccaspread/common/ring"
	"yuccaspread/common/wire"
)

// downRing bounds the messages that wait for a daemon to take them.
const downRing = 1024

// errClosed is returned by a session that has ended.
var errClosed = errors.New("session is closed")

// Session joins one asking daemon with the shards that are carried here. The
// asking daemon of this very process uses one without any network.
type Session struct {
	granter *Granter
	daemon  string
	out     *ring.Ring[*wire.ReserveDown]
	// ctx ends when the session does.
	ctx    context.Context
	cancel context.CancelFunc
	// heard is the clock's reading at the last message.
	heard atomic.Int64

	mu sync.Mutex
	// shards maps the number of each ask in progress to its shard.
	shards map[uint64]string
}

// Attach opens a session for a daemon and replaces an earlier one of it.
func (g *Granter) Attach(daemon string) *Session {
	g.prepare()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Session{
		granter: g, daemon: daemon, out: ring.New[*wire.ReserveDown](downRing),
		ctx: ctx, cancel: cancel, shards: map[uint64]string{},
	}
	s.heard.Store(int64(g.Clock.Now()))
	g.mu.Lock()
	old := g.sessions[daemon]
	g.sessions[daemon] = s
	delete(g.gone, daemon)
	g.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	return s
}

// Close ends the session. What the daemon holds is freed unless it attaches
// again within the grace period.
func (s *Session) Close() {
	s.granter.mu.Lock()
	defer s.granter.mu.Unlock()
	s.granter.detach(s)
}

// Recv waits for the next message to the daemon.
func (s *Session) Recv(ctx context.Context) (down *wire.ReserveDown, err error) {
	select {
	case down = <-s.out.Items():
		return down, nil
	case <-s.ctx.Done():
		return nil, errClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Send passes a message of the daemon on. It waits while the shard's ring is
// full, so that a busy scheduler slows down those who ask.
func (s *Session) Send(ctx context.Context, up *wire.ReserveUp) (err error) {
	if s.ctx.Err() != nil {
		return errClosed
	}
	now := s.granter.Clock.Now()
	s.heard.Store(int64(now))
	switch m := up.GetMessage().(type) {
	case *wire.ReserveUp_Ask:
		return s.open(ctx, m.Ask, input{message: toAsk(s.daemon, now, m.Ask)})
	case *wire.ReserveUp_Announce:
		return s.open(ctx, m.Announce.GetAsk(), input{
			message: toAnnounce(s.daemon, now, m.Announce), version: m.Announce.GetVersion(),
		})
	case *wire.ReserveUp_Confirm:
		return s.report(ctx, m.Confirm.GetAskId(), false, toConfirm(s.daemon, m.Confirm))
	case *wire.ReserveUp_FirstToken:
		return s.report(ctx, m.FirstToken.GetAskId(), false, toFirstToken(s.daemon, m.FirstToken))
	case *wire.ReserveUp_Cancel:
		return s.report(ctx, m.Cancel.GetAskId(), true, toCancel(s.daemon, m.Cancel))
	case *wire.ReserveUp_End:
		return s.report(ctx, m.End.GetAskId(), true, toEnd(s.daemon, m.End))
	case *wire.ReserveUp_Announced:
		for _, r := range s.granter.all() {
			if err = s.push(ctx, r, input{announced: true}); err != nil {
				return err
			}
		}
	case *wire.ReserveUp_Heartbeat:
		s.out.TryPush(&wire.ReserveDown{Message: &wire.ReserveDown_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
	}
	return nil
}

// open passes on what begins the life of an ask here.
func (s *Session) open(ctx context.Context, ask *wire.Ask, in input) (err error) {
	r := s.granter.runner(ask.GetShard())
	if r == nil {
		refuseNotCarried(s, ask.GetAskId())
		return nil
	}
	s.mu.Lock()
	s.shards[ask.GetAskId()] = ask.GetShard()
	s.mu.Unlock()
	return s.push(ctx, r, in)
}

// report passes on what follows an ask; last forgets the ask.
func (s *Session) report(ctx context.Context, number uint64, last bool, in input) (err error) {
	s.mu.Lock()
	shard, found := s.shards[number]
	if last {
		delete(s.shards, number)
	}
	s.mu.Unlock()
	if !found {
		return nil
	}
	if r := s.granter.runner(shard); r != nil {
		return s.push(ctx, r, in)
	}
	return nil
}

func (s *Session) push(ctx context.Context, r *runner, in input) (err error) {
	in.session = s
	return r.in.Push(ctx, in)
}

// forget drops an ask that was refused.
func (s *Session) forget(number uint64) {
	s.mu.Lock()
	delete(s.shards, number)
	s.mu.Unlock()
}

// deliver queues a message to the daemon. A daemon that does not take its
// messages loses the session instead of slowing down the shard.
func (s *Session) deliver(down *wire.ReserveDown) {
	if !s.out.TryPush(down) {
		s.cancel()
	}
}
