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

// Intervals and limits of the streams to schedulers.
const (
	heartbeatInterval = 2 * clock.Second
	// silenceLimit is how long a stream may receive nothing before it is closed.
	silenceLimit = 6 * clock.Second
	// While asks wait for a scheduler, and after a slot was freed, it is sent a heartbeat
	// after a silence of probeSilenceLimit; after askSilenceLimit the asks look for
	// a slot elsewhere. Callers wait for at least 2 s, of which askSilenceLimit is half.
	probeSilenceLimit = 300 * clock.Millisecond
	askSilenceLimit   = 1 * clock.Second
	// idleLimit is how long an unused stream is kept open.
	idleLimit = 1 * clock.Minute
	// redialInterval is the time between two attempts to reach a scheduler.
	redialInterval = 500 * clock.Millisecond
)

// upRingSize bounds the messages that wait to be sent to one scheduler.
const upRingSize = 1024

// Conn carries messages to a scheduler and back.
type Conn interface {
	// Send sends a message to the scheduler; it may block.
	Send(ctx context.Context, up *wire.ReserveUp) error
	// Recv waits for the scheduler's next message.
	Recv(ctx context.Context) (*wire.ReserveDown, error)
	// Close closes both directions and unblocks pending calls.
	Close()
}

// Dialer opens links to schedulers.
type Dialer func(ctx context.Context, to gossiper.Member) (Conn, error)

// link is the stream to one scheduler, from the dial to its end. A daemon has at
// most one link to each scheduler.
type link struct {
	remote *Remote
	peer   gossiper.Member
	// afterFailure means that the previous attempt to reach the scheduler failed.
	afterFailure bool
	outgoing     *ring.Queue[*wire.ReserveUp]
	// ctx ends when the stream must not be used any more.
	ctx    context.Context
	cancel context.CancelFunc
	// ready is closed once the stream is up or has failed.
	ready chan struct{}
	// replaceable is closed once another link to the peer may be created.
	replaceable chan struct{}
	// answered is closed with the first heartbeat that the scheduler answers.
	answered chan struct{}
	// lastHeard is when the last message from the scheduler arrived, lastUsed when
	// the last message but a heartbeat was queued, freedAt when the last one that
	// frees a slot was, and heartbeatAt when the oldest heartbeat was queued that
	// nothing was heard after, 0 for none. All are in milliseconds of Remote.Clock.
	lastHeard   atomic.Int64
	lastUsed    atomic.Int64
	freedAt     atomic.Int64
	heartbeatAt atomic.Int64
	// hasSpoken is set with the first message from the scheduler.
	hasSpoken atomic.Bool
	// The fields below are guarded by Remote.mu.
	connected bool
	// hasWaiting is set if asks waited on the link at the last look, and
	// waitingSince is when they began to, 0 for none.
	hasWaiting   bool
	waitingSince clock.Millis
	// answerTime is how long the scheduler took for its last answer to a heartbeat.
	answerTime clock.Millis
	// probes counts the probes over new connections, probedAt is when the last one
	// began, and probeError what came of it, empty for an answer.
	probes     int
	probedAt   clock.Millis
	probeError string
	// isDead means that the link was closed since its connection is dead while the
	// scheduler is sound.
	isDead bool
}

// linkTo returns the link to a scheduler and opens one where there is none.
func (r *Remote) linkTo(peer gossiper.Member) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.linkToLocked(peer)
}

// linkToLocked is linkTo; it is called with mu held.
func (r *Remote) linkToLocked(peer gossiper.Member) *link {
	if l := r.links[peer.Name]; l != nil {
		if l.peer.PeerListen == peer.PeerListen {
			return l
		}
		l.cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	l := &link{
		remote: r, peer: peer, afterFailure: r.unreachable[peer.Name], outgoing: ring.NewQueue[*wire.ReserveUp](upRingSize),
		ctx: ctx, cancel: cancel, ready: make(chan struct{}), replaceable: make(chan struct{}),
		answered: make(chan struct{}),
	}
	l.lastHeard.Store(int64(r.Clock.Now()))
	l.lastUsed.Store(int64(r.Clock.Now()))
	r.links[peer.Name] = l
	go l.run()
	return l
}

// run opens the link and transfers messages until the link breaks or is
// cancelled.
func (l *link) run() {
	defer l.cancel()
	conn, err := l.open()
	if err != nil {
		klog.V(1).InfoS("failed to open the stream to a scheduler; not dialling it again for 500 ms", "scheduler", l.peer.Name, "error", err.Error())
		l.remote.handleLinkFailed(l)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(l.ctx, conn.Close)
	defer stop()
	go l.receive(conn)
	l.transmit(conn)
	l.remote.handleLinkLost(l)
}

// open dials the scheduler, announces the held slots and marks the link as
// connected.
func (l *link) open() (conn Conn, err error) {
	conn, err = l.remote.Dial(l.ctx, l.peer)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(l.ctx, conn.Close)
	defer stop()
	if err = l.sendHello(conn); err != nil {
		conn.Close()
		return nil, err
	}
	l.remote.handleLinkUp(l)
	// The answer shows that the scheduler reads the stream, so that its connection may be found dead.
	l.sendHeartbeat(l.remote.Clock.Now())
	return conn, nil
}

// sendHello sends the first messages of a stream: the hello, the slots that are
// held on the scheduler's shards, and the end of this list.
func (l *link) sendHello(conn Conn) (err error) {
	err = conn.Send(l.ctx, &wire.ReserveUp{Message: &wire.ReserveUp_Hello{Hello: &wire.Hello{Daemon: l.remote.View.Self().Name}}})
	if err != nil {
		return err
	}
	for _, up := range l.remote.announceSlots(l) {
		if err = conn.Send(l.ctx, up); err != nil {
			return err
		}
	}
	return conn.Send(l.ctx, &wire.ReserveUp{Message: &wire.ReserveUp_Announced{Announced: &wire.Announced{}}})
}

// transmit sends the queued messages, and heartbeats, until the link ends.
func (l *link) transmit(conn Conn) {
	ticker := clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		var up *wire.ReserveUp
		select {
		case <-l.ctx.Done():
			return
		case up = <-l.outgoing.Items():
		case <-ticker.C:
			up = heartbeatMessage()
			l.heartbeatAt.CompareAndSwap(0, int64(l.remote.Clock.Now()))
		}
		if err := conn.Send(l.ctx, up); err != nil {
			return
		}
	}
}

func heartbeatMessage() *wire.ReserveUp {
	return &wire.ReserveUp{Message: &wire.ReserveUp_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
}

func (l *link) receive(conn Conn) {
	defer l.cancel()
	for {
		down, err := conn.Recv(l.ctx)
		if err != nil {
			return
		}
		l.lastHeard.Store(int64(l.remote.Clock.Now()))
		l.hasSpoken.Store(true)
		l.remote.handleMessage(l, down)
	}
}

// pushOrWait queues a message and waits while the queue is full. A message for a
// closed link is dropped: the next link announces the current state.
func (l *link) pushOrWait(up *wire.ReserveUp) {
	l.noteUse(up)
	_ = l.outgoing.Push(l.ctx, up)
}

// pushOrClose queues a message without waiting. Where the queue is full the link
// is closed, and the next link announces the current state.
func (l *link) pushOrClose(up *wire.ReserveUp) {
	l.noteUse(up)
	if !l.outgoing.TryPush(up) {
		l.cancel()
	}
}

// noteUse records that a message is to be sent.
func (l *link) noteUse(up *wire.ReserveUp) {
	now := int64(l.remote.Clock.Now())
	l.lastUsed.Store(now)
	if up.GetEnd() != nil || up.GetCancel() != nil {
		l.freedAt.Store(now)
	}
}

// announceSlots attaches the held slots of the scheduler's shards to l and returns
// the messages that announce them.
func (r *Remote) announceSlots(l *link) (ups []*wire.ReserveUp) {
	assignment := r.Assigner.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, res := range r.reservations {
		scheduler, _ := assignment.Scheduler(res.shard)
		if res.stage == stageHeld && res.link == nil && !res.isExpired() && scheduler.Name == l.peer.Name {
			res.link = l
			ups = append(ups, res.announceMessage())
		}
	}
	return ups
}

// handleLinkUp marks the link as connected.
func (r *Remote) handleLinkUp(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.connected = true
	l.lastHeard.Store(int64(r.Clock.Now()))
	delete(r.unreachable, l.peer.Name)
	close(l.ready)
}

// handleLinkFailed keeps the failed link registered for redialInterval, so that
// not every request dials the scheduler.
func (r *Remote) handleLinkFailed(l *link) {
	r.mu.Lock()
	r.unreachable[l.peer.Name] = true
	r.detachReservations(l)
	close(l.ready)
	r.mu.Unlock()
	select {
	case <-time.After(redialInterval.Duration()):
	case <-r.ctx.Done():
	}
	r.removeLink(l)
}

// handleLinkLost detaches all reservations from a broken link; the waiting ones
// ask again.
func (r *Remote) handleLinkLost(l *link) {
	l.cancel()
	r.mu.Lock()
	l.connected = false
	r.detachReservations(l)
	isDead := l.isDead
	r.mu.Unlock()
	r.removeLink(l)
	if isDead {
		// The scheduler has to learn which slots have ended, though nobody asks it now.
		r.linkTo(l.peer)
	}
}

// detachReservations detaches all reservations from the link. It is called with
// mu held.
func (r *Remote) detachReservations(l *link) {
	for _, res := range r.reservations {
		if res.link == l {
			res.detachLink()
		}
	}
}

// removeLink removes the link and allows another one to its peer.
func (r *Remote) removeLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[l.peer.Name] == l {
		delete(r.links, l.peer.Name)
	}
	close(l.replaceable)
}

// isConnected reports whether asks may be sent on the link.
func (r *Remote) isConnected(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.connected
}

// noteAnswer records that the scheduler has answered a heartbeat. It is called with Remote.mu held.
func (l *link) noteAnswer() {
	select {
	case <-l.answered:
	default:
		close(l.answered)
	}
}
