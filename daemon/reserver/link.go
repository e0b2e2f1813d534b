package reserver

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/ring"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/gossiper"
)

// Times of the streams to schedulers.
const (
	heartbeatInterval = 2 * clock.Second
	// silenceLimit is how long a stream may carry nothing at all.
	silenceLimit = 6 * clock.Second
	// probePause is the silence after which a scheduler is probed while asks wait
	// for it, and askSilence the one after which they look for a slot elsewhere:
	// half of the 2 s for which callers wait at least.
	probePause = 300 * clock.Millisecond
	askSilence = 1 * clock.Second
	// idleLimit is how long a stream is kept that nobody uses.
	idleLimit = 1 * clock.Minute
	// redialPause is the time between two tries to reach a scheduler.
	redialPause = 500 * clock.Millisecond
)

// upRing bounds the messages that wait to be sent to one scheduler.
const upRing = 1024

// Link carries messages to a scheduler and back.
type Link interface {
	// Send passes a message on; it may wait.
	Send(ctx context.Context, up *wire.ReserveUp) error
	// Recv waits for the next message.
	Recv(ctx context.Context) (*wire.ReserveDown, error)
	// Close ends both directions and whatever waits on them.
	Close()
}

// Dialer opens links to schedulers.
type Dialer func(ctx context.Context, to gossiper.Member) (Link, error)

// link is the one stream to a scheduler, from the dial to its end.
type link struct {
	remote *Remote
	peer   gossiper.Member
	// again tells that the try before this one failed.
	again bool
	out   *ring.Ring[*wire.ReserveUp]
	// ctx ends when the stream is of no more use.
	ctx    context.Context
	cancel context.CancelFunc
	// ready is closed once the stream is up or has failed.
	ready chan struct{}
	// over is closed once another link to the peer may be made.
	over chan struct{}
	// heard and used are the clock's readings at the last message from the
	// scheduler and at the last one to it that was no heartbeat.
	heard atomic.Int64
	used  atomic.Int64
	// up and askedSince, when asks began to wait on it, 0 for none, are guarded by
	// the Remote's lock.
	up         bool
	askedSince clock.Millis
}

// linkTo returns the link to a scheduler and makes one where there is none.
func (r *Remote) linkTo(peer gossiper.Member) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.linkLocked(peer)
}

func (r *Remote) linkLocked(peer gossiper.Member) *link {
	if l := r.links[peer.Name]; l != nil {
		if l.peer.PeerListen == peer.PeerListen {
			return l
		}
		l.cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	l := &link{
		remote: r, peer: peer, again: r.failed[peer.Name], out: ring.New[*wire.ReserveUp](upRing),
		ctx: ctx, cancel: cancel, ready: make(chan struct{}), over: make(chan struct{}),
	}
	l.heard.Store(int64(r.Clock.Now()))
	l.used.Store(int64(r.Clock.Now()))
	r.links[peer.Name] = l
	go l.run()
	return l
}

// run keeps the link until it breaks.
func (l *link) run() {
	defer l.cancel()
	raw, err := l.open()
	if err != nil {
		klog.V(1).InfoS("no link to scheduler", "scheduler", l.peer.Name, "error", err.Error())
		l.remote.linkFailed(l)
		return
	}
	defer raw.Close()
	stop := context.AfterFunc(l.ctx, raw.Close)
	defer stop()
	go l.receive(raw)
	l.transmit(raw)
	l.remote.linkLost(l)
}

// open dials, announces what is held and declares the link up.
func (l *link) open() (raw Link, err error) {
	raw, err = l.remote.Dial(l.ctx, l.peer)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(l.ctx, raw.Close)
	defer stop()
	if err = l.greet(raw); err != nil {
		raw.Close()
		return nil, err
	}
	l.remote.linkUp(l)
	return raw, nil
}

func (l *link) greet(raw Link) (err error) {
	err = raw.Send(l.ctx, &wire.ReserveUp{Message: &wire.ReserveUp_Hello{Hello: &wire.Hello{Daemon: l.remote.View.Self().Name}}})
	if err != nil {
		return err
	}
	for _, up := range l.remote.announcements(l) {
		if err = raw.Send(l.ctx, up); err != nil {
			return err
		}
	}
	return raw.Send(l.ctx, &wire.ReserveUp{Message: &wire.ReserveUp_Announced{Announced: &wire.Announced{}}})
}

// transmit sends what waits in the ring, and heartbeats.
func (l *link) transmit(raw Link) {
	ticker := time.NewTicker(heartbeatInterval.Duration())
	defer ticker.Stop()
	for {
		var up *wire.ReserveUp
		select {
		case <-l.ctx.Done():
			return
		case up = <-l.out.Items():
		case <-ticker.C:
			up = heartbeat()
		}
		if err := raw.Send(l.ctx, up); err != nil {
			return
		}
	}
}

func heartbeat() *wire.ReserveUp {
	return &wire.ReserveUp{Message: &wire.ReserveUp_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
}

func (l *link) receive(raw Link) {
	defer l.cancel()
	for {
		down, err := raw.Recv(l.ctx)
		if err != nil {
			return
		}
		l.heard.Store(int64(l.remote.Clock.Now()))
		l.remote.take(l, down)
	}
}

// push queues a message and waits while the ring is full. A message that
// finds the link closed is of no more use, for the next link tells all anew.
func (l *link) push(up *wire.ReserveUp) {
	l.used.Store(int64(l.remote.Clock.Now()))
	_ = l.out.Push(l.ctx, up)
}

// post queues a message without waiting. Where there is no room the link is
// given up, and the next one tells all anew.
func (l *link) post(up *wire.ReserveUp) {
	if !l.out.TryPush(up) {
		l.cancel()
	}
}

// announcements moves the slots of the scheduler's shards to l.
func (r *Remote) announcements(l *link) (ups []*wire.ReserveUp) {
	assignment := r.Assigner.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		scheduler, _ := assignment.Scheduler(e.shard)
		if e.stage == held && e.link == nil && !e.expired() && scheduler.Name == l.peer.Name {
			e.link = l
			ups = append(ups, e.announce())
		}
	}
	return ups
}

func (r *Remote) linkUp(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.up = true
	l.heard.Store(int64(r.Clock.Now()))
	delete(r.failed, l.peer.Name)
	close(l.ready)
}

// linkFailed keeps the failed link in its place for a while, so that the
// scheduler is not dialled by every request.
func (r *Remote) linkFailed(l *link) {
	r.mu.Lock()
	r.failed[l.peer.Name] = true
	r.abandon(l)
	close(l.ready)
	r.mu.Unlock()
	select {
	case <-time.After(redialPause.Duration()):
	case <-r.ctx.Done():
	}
	r.remove(l)
}

// linkLost lets all that was on a broken link ask again.
func (r *Remote) linkLost(l *link) {
	l.cancel()
	r.mu.Lock()
	l.up = false
	r.abandon(l)
	r.mu.Unlock()
	r.remove(l)
}

func (r *Remote) abandon(l *link) {
	for _, e := range r.entries {
		if e.link == l {
			e.lose()
		}
	}
}

func (r *Remote) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[l.peer.Name] == l {
		delete(r.links, l.peer.Name)
	}
	close(l.over)
}

// isUp tells whether asks may be sent on the link.
func (r *Remote) isUp(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.up
}
