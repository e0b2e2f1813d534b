package gossiper

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
)

// Timeouts of the calls between daemons.
const (
	// defaultExchangeTimeout is the default of Gossiper.ExchangeTimeout.
	defaultExchangeTimeout = 400 * clock.Millisecond
	// indirectProbeTimeout bounds a probe through other members.
	indirectProbeTimeout = 1500 * clock.Millisecond
	// stopTimeout bounds the announcement of the stop to other members.
	stopTimeout = 1 * clock.Second
)

// Gossiper takes part in the membership for this daemon: it runs Core, carries
// out its effects over drpc and serves the calls of other daemons. Its exported
// fields are set before Run.
type Gossiper struct {
	// LocalMember describes this daemon. Its incarnation must be higher than at any
	// earlier start; the time of the start in milliseconds serves for that.
	LocalMember Member
	Clock       clock.Clock
	Connector   *connector.Connector
	// Seeds returns addresses at which other daemons may be found; nil means
	// that there are none.
	Seeds func() []string
	// Report returns the load and the configuration revision in force on this
	// daemon, and whether it has no path to any upstream; nil leaves all at 0.
	Report func() Report
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
	// ExchangeTimeout bounds one attempt of an exchange; 0 means 400 ms.
	ExchangeTimeout clock.Millis

	initOnce sync.Once
	// reporting is held from the call of Report until its result is handled, so that an
	// older one never follows a newer one.
	reporting sync.Mutex
	// mu guards core.
	mu   sync.Mutex
	core *Core
	// settledLogged is set once it was logged that the view is settled.
	settledLogged bool
	// cachedMembers is the result of Members since the last message that Core
	// handled; nil if Members has not been called since.
	cachedMembers atomic.Pointer[[]Member]
	// runningEffects counts the effects in progress.
	runningEffects sync.WaitGroup
}

// Run takes part in the membership until ctx ends, and then waits for the effects in
// progress.
func (g *Gossiper) Run(ctx context.Context) {
	g.initialise()
	for {
		g.tick(ctx)
		select {
		case <-time.After(g.tickAfter().Duration()):
		case <-ctx.Done():
			g.runningEffects.Wait()
			return
		}
	}
}

// Self implements View.
func (g *Gossiper) Self() Member {
	g.initialise()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Self()
}

// Members implements View.
func (g *Gossiper) Members() []Member {
	g.initialise()
	if members := g.cachedMembers.Load(); members != nil {
		return *members
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.core.Members()
	g.cachedMembers.Store(&members)
	return members
}

// AllMembers returns all members, the dead ones that are still remembered included,
// sorted by name.
func (g *Gossiper) AllMembers() []Member {
	g.initialise()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.AllMembers()
}

// LastContact returns when this daemon last exchanged a packet with any other, and
// false if it never did.
func (g *Gossiper) LastContact() (last clock.Millis, found bool) {
	g.initialise()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.LastContact()
}

// DiscoveryDone reports whether discovery at the start has ended: another daemon was
// contacted, or settleAge has passed.
func (g *Gossiper) DiscoveryDone() bool {
	g.initialise()
	g.mu.Lock()
	defer g.mu.Unlock()
	_, found := g.core.LastContact()
	return found || g.Clock.Now()-g.core.started >= settleAge
}

// Settled reports whether this daemon has found the daemons of the fleet, as far as it
// can tell. Until then its view may lack most of them.
func (g *Gossiper) Settled() bool {
	g.initialise()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Settled(g.Clock.Now())
}

// KnowsFleet reports whether what this daemon knows may be taken for the whole fleet. Other than Settled
// it waits longer where seeds are named and none answers.
func (g *Gossiper) KnowsFleet() bool {
	g.initialise()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.KnowsFleet(g.Clock.Now())
}

func (g *Gossiper) tickAfter() clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.TickAfter(g.Clock.Now())
}

// Leave announces to the other members that this daemon is about to stop.
func (g *Gossiper) Leave(ctx context.Context) {
	g.process(ctx, Leave{})
}

// Register adds the service for other daemons to mux.
func (g *Gossiper) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterGossip(mux, (*server)(g))
}

func (g *Gossiper) initialise() {
	g.initOnce.Do(func() {
		now := g.Clock.Now()
		g.core = NewCore(g.LocalMember, now, uint64(now))
		if g.Registerer != nil {
			g.Registerer.MustRegister(membersCollector{g})
		}
	})
}

func (g *Gossiper) handle(m Message) []Effect {
	g.initialise()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cachedMembers.Store(nil)
	now := g.Clock.Now()
	effects := g.core.Handle(now, m)
	if !g.settledLogged && g.core.Settled(now) {
		g.settledLogged = true
		klog.InfoS("membership is settled", "members", len(g.core.Members()), "age_ms", now-g.core.started)
	}
	return effects
}

// process handles the message and runs the effects in the background.
func (g *Gossiper) process(ctx context.Context, m Message) {
	for _, e := range g.handle(m) {
		if changed, found := e.(MemberChanged); found {
			g.logChange(changed.Member)
			continue
		}
		g.runningEffects.Go(func() { g.runEffect(ctx, e) })
	}
}

func (g *Gossiper) tick(ctx context.Context) {
	if g.Seeds != nil {
		g.process(ctx, Seeds{Addresses: g.Seeds()})
	}
	g.PublishReport(ctx)
	g.process(ctx, Tick{})
}

// PublishReport reads Report now and not only with the next tick. A change of CutOff is sent to
// the other members at once.
func (g *Gossiper) PublishReport(ctx context.Context) {
	if g.Report == nil {
		return
	}
	g.reporting.Lock()
	defer g.reporting.Unlock()
	g.process(ctx, g.Report())
}

// AnnounceStop sends the stop to the other members, once Run has returned. It does so on new
// connections, since there is no time for a second try where an open one is dead, and leaves the
// rest of the stop a part of the time until the deadline of ctx. Members that can't be told in
// time find out by themselves.
func (g *Gossiper) AnnounceStop(ctx context.Context) {
	timeout := stopTimeout.Duration()
	if deadline, found := ctx.Deadline(); found {
		timeout = min(timeout, time.Until(deadline)*3/4)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var exchanges sync.WaitGroup
	var asked int
	var told atomic.Int64
	for _, e := range g.handle(Stop{}) {
		exchange, isExchange := e.(Exchange)
		if !isExchange {
			continue
		}
		asked++
		exchanges.Go(func() {
			if _, err := g.sendPacket(ctx, exchange, true); err == nil {
				told.Add(1)
			}
		})
	}
	exchanges.Wait()
	klog.InfoS("stop announced", "members", asked, "told", told.Load(), "allowed_ms", clock.FromDuration(timeout))
}

func (g *Gossiper) runEffect(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case Exchange:
		g.exchange(ctx, e)
	case IndirectProbe:
		g.probeIndirectly(ctx, e)
	case Reply, MemberChanged:
	}
}

func (*Gossiper) logChange(m Member) {
	klog.InfoS("member joined or changed state", "member", m.Name, "region", m.Region, "state", m.State.String(), "incarnation", m.Incarnation)
}

// exchange tries a pooled connection first and, if that fails, a new one, so
// that a broken connection is not taken for the failure of the member.
func (g *Gossiper) exchange(ctx context.Context, e Exchange) {
	reply, err := g.sendPacket(ctx, e, false)
	if err != nil {
		reply, err = g.sendPacket(ctx, e, true)
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		g.process(ctx, ReplyReceived{Packet: reply})
		return
	}
	if e.Name != "" {
		klog.V(1).InfoS("member did not answer on a pooled or a new connection", "member", e.Name, "err", err)
		g.process(ctx, ExchangeFailed{Name: e.Name})
	}
}

func (g *Gossiper) sendPacket(ctx context.Context, e Exchange, newConnection bool) (reply Packet, err error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(g.ExchangeTimeout, defaultExchangeTimeout).Duration())
	defer cancel()
	var conn drpc.Conn
	if newConnection {
		conn, err = g.Connector.NewConn(ctx, e.Address)
		if err != nil {
			return reply, err
		}
	} else {
		conn = g.Connector.PooledConn(ctx, e.Address)
	}
	defer func() { _ = conn.Close() }()
	answer, err := wire.NewDRPCGossipClient(conn).Exchange(ctx, encode(e.Packet))
	if err != nil {
		return reply, fmt.Errorf("exchange with %s: %w", e.Address, err)
	}
	reply = decode(answer)
	if e.Name != "" && reply.Sender.Name != e.Name {
		return reply, fmt.Errorf("exchange with %s: reply came from member %s, want %s", e.Address, reply.Sender.Name, e.Name)
	}
	return reply, nil
}

// probeIndirectly asks all helpers at once to probe the member; one that
// reaches it is enough.
func (g *Gossiper) probeIndirectly(ctx context.Context, e IndirectProbe) {
	if g.reachThrough(ctx, e) {
		g.process(ctx, IndirectProbeSucceeded{Name: e.Name})
		return
	}
	g.process(ctx, IndirectProbeFailed{Name: e.Name})
}

// reachThrough reports whether one of the helpers reaches the member.
func (g *Gossiper) reachThrough(ctx context.Context, e IndirectProbe) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout.Duration())
	defer cancel()
	results := make(chan bool, len(e.Helpers))
	for _, helper := range e.Helpers {
		go func() {
			results <- g.askHelper(ctx, helper, e)
		}()
	}
	for range e.Helpers {
		if <-results {
			return true
		}
	}
	return false
}

// askHelper reports whether a helper reaches the member. It is asked over a new connection,
// because a pooled one may be dead.
func (g *Gossiper) askHelper(ctx context.Context, helper string, e IndirectProbe) (reached bool) {
	conn, err := g.Connector.NewConn(ctx, helper)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCGossipClient(conn).Reach(ctx, &wire.ReachRequest{Name: e.Name, Address: e.Address})
	return err == nil && reply.GetReached()
}

// server implements the drpc service for other daemons.
type server Gossiper

var errNoSender = errors.New("the packet names no sender")

// Exchange implements wire.DRPCGossipServer.
func (s *server) Exchange(_ context.Context, in *wire.GossipPacket) (out *wire.GossipPacket, err error) {
	if in.GetSender().GetName() == "" {
		return nil, errNoSender
	}
	for _, e := range (*Gossiper)(s).handle(PacketReceived{Packet: decode(in)}) {
		switch e := e.(type) {
		case Reply:
			out = encode(e.Packet)
		case MemberChanged:
			(*Gossiper)(s).logChange(e.Member)
		}
	}
	return out, nil
}

// Reach implements wire.DRPCGossipServer.
func (s *server) Reach(ctx context.Context, in *wire.ReachRequest) (out *wire.ReachReply, err error) {
	g := (*Gossiper)(s)
	packet := Packet{Sender: g.Self()}
	_, err = g.sendPacket(ctx, Exchange{Name: in.GetName(), Address: in.GetAddress(), Packet: packet}, true)
	return &wire.ReachReply{Reached: err == nil}, nil
}
