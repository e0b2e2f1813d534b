package granter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"yuccaspread/common/clock"
	"yuccaspread/common/ring"
	"yuccaspread/common/wire"
)

// downRingSize bounds the messages that wait to be sent to one daemon.
const downRingSize = 1024

// While a message waits for a shard whose queue is full, its daemon is sent a heartbeat each busyInterval, so that
// it does not take its connection for dead. A shard that takes nothing for busyLimit counts as silent.
const (
	busyInterval = 100 * clock.Millisecond
	busyLimit    = 1 * clock.Second
)

// errSessionClosed is returned by a session that has ended.
var errSessionClosed = errors.New("session is closed")

// Session connects one asking daemon with the shards that are scheduled here.
// The reserver of this process uses a session directly, without a network
// stream.
type Session struct {
	granter  *Granter
	daemon   string
	outgoing *ring.Queue[*wire.ReserveDown]
	// ctx ends with the session.
	ctx    context.Context
	cancel context.CancelFunc
	// lastHeard is when the last message arrived, in milliseconds of the
	// granter's clock.
	lastHeard atomic.Int64
	// isAnnounced is set once the daemon has announced its slots and was told what this one knows: to it, the
	// first heartbeat ends that.
	isAnnounced atomic.Bool
	// isReplaced is set once the daemon has opened a newer session.
	isReplaced atomic.Bool

	mu sync.Mutex
	// shardByAsk maps the number of each ask in progress to the ID of its shard.
	shardByAsk map[uint64]string
}

// Attach opens a session for a daemon and ends an earlier session of the same
// daemon.
func (g *Granter) Attach(daemon string) *Session {
	g.prepare()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Session{
		granter: g, daemon: daemon, outgoing: ring.NewQueue[*wire.ReserveDown](downRingSize),
		ctx: ctx, cancel: cancel, shardByAsk: map[uint64]string{},
	}
	s.lastHeard.Store(int64(g.Clock.Now()))
	g.mu.Lock()
	old := g.sessions[daemon]
	g.sessions[daemon] = s
	delete(g.graceEnds, daemon)
	if old != nil {
		old.isReplaced.Store(true)
		old.cancel()
	}
	g.mu.Unlock()
	return s
}

// Close ends the session. The daemon's slots are freed unless it attaches again
// within reconnectGrace.
func (s *Session) Close() {
	s.granter.mu.Lock()
	defer s.granter.mu.Unlock()
	s.granter.detach(s)
}

// Recv returns the next message to the daemon and waits until there is one. It
// fails once the session or ctx has ended.
func (s *Session) Recv(ctx context.Context) (down *wire.ReserveDown, err error) {
	select {
	case down = <-s.outgoing.Items():
		return down, nil
	case <-s.ctx.Done():
		return nil, errSessionClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Send passes a message of the daemon to its shard. It waits while the shard's
// queue is full, so that a busy scheduler applies backpressure to the daemons
// that ask.
func (s *Session) Send(ctx context.Context, up *wire.ReserveUp) (err error) {
	if s.ctx.Err() != nil {
		return errSessionClosed
	}
	now := s.granter.Clock.Now()
	s.lastHeard.Store(int64(now))
	switch m := up.GetMessage().(type) {
	case *wire.ReserveUp_Ask:
		return s.openAsk(ctx, m.Ask, input{message: toAsk(s.daemon, s.granter.tierOrder(), now, m.Ask)})
	case *wire.ReserveUp_Announce:
		return s.openAsk(ctx, m.Announce.GetAsk(), input{
			message: toAnnounce(s.daemon, s.granter.tierOrder(), now, m.Announce), version: m.Announce.GetVersion(),
		})
	case *wire.ReserveUp_Confirm:
		return s.forwardReport(ctx, m.Confirm.GetAskId(), false, toConfirm(s.daemon, m.Confirm))
	case *wire.ReserveUp_FirstToken:
		return s.forwardReport(ctx, m.FirstToken.GetAskId(), false, toFirstToken(s.daemon, m.FirstToken))
	case *wire.ReserveUp_Cancel:
		return s.forwardReport(ctx, m.Cancel.GetAskId(), true, toCancel(s.daemon, m.Cancel))
	case *wire.ReserveUp_End:
		return s.forwardReport(ctx, m.End.GetAskId(), true, toEnd(s.daemon, m.End))
	case *wire.ReserveUp_Notice:
		if r := s.granter.runner(m.Notice.GetShard()); r != nil {
			return s.pushTo(ctx, r, toNotice(now, m.Notice))
		}
	case *wire.ReserveUp_Announced:
		s.tellWords()
		s.isAnnounced.Store(true)
		for _, r := range s.granter.allRunners() {
			if err = s.pushTo(ctx, r, input{allAnnounced: true}); err != nil {
				return err
			}
		}
	case *wire.ReserveUp_Heartbeat:
		s.sendHeartbeat()
	}
	return nil
}

// openAsk passes the first message of an ask, an Ask or an Announce, to the
// ask's shard.
func (s *Session) openAsk(ctx context.Context, ask *wire.Ask, in input) (err error) {
	r := s.granter.runner(ask.GetShard())
	if r == nil {
		refuseNotScheduler(s, ask.GetAskId())
		return nil
	}
	s.mu.Lock()
	s.shardByAsk[ask.GetAskId()] = ask.GetShard()
	s.mu.Unlock()
	for _, notice := range ask.GetNotices() {
		if err = s.pushTo(ctx, r, toNotice(s.granter.Clock.Now(), notice)); err != nil {
			return err
		}
	}
	return s.pushTo(ctx, r, in)
}

// forwardReport passes a later message of an ask to its shard; isLast means
// that no further message of the ask follows. Unknown asks are ignored.
func (s *Session) forwardReport(ctx context.Context, askID uint64, isLast bool, in input) (err error) {
	s.mu.Lock()
	shard, found := s.shardByAsk[askID]
	if isLast {
		delete(s.shardByAsk, askID)
	}
	s.mu.Unlock()
	if !found {
		return nil
	}
	if r := s.granter.runner(shard); r != nil {
		return s.pushTo(ctx, r, in)
	}
	return nil
}

func (s *Session) pushTo(ctx context.Context, r *runner, in input) (err error) {
	in.session = s
	if r.inputs.TryPush(in) {
		return nil
	}
	pushed, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.tellBusy(pushed)
	return r.inputs.Push(ctx, in)
}

// tellBusy sends the daemon heartbeats until ctx ends, for busyLimit.
func (s *Session) tellBusy(ctx context.Context) {
	if !s.isAnnounced.Load() {
		return
	}
	for waited := busyInterval; waited <= busyLimit && clock.Sleep(ctx, busyInterval); waited += busyInterval {
		s.sendHeartbeat()
	}
}

func (s *Session) sendHeartbeat() {
	s.outgoing.TryPush(&wire.ReserveDown{Message: &wire.ReserveDown_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
}

// removeAsk removes an ask that was refused.
func (s *Session) removeAsk(askID uint64) {
	s.mu.Lock()
	delete(s.shardByAsk, askID)
	s.mu.Unlock()
}

// deliver queues a message to the daemon. Where the queue is full the session
// ends, so that a slow daemon does not block the shard.
func (s *Session) deliver(down *wire.ReserveDown) {
	if !s.outgoing.TryPush(down) {
		s.cancel()
	}
}
