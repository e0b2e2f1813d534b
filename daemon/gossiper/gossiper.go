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

// Bounds of the calls between daemons.
const (
	// exchangeTimeout is the default of Timeout.
	exchangeTimeout = 400 * clock.Millisecond
	// reachTimeout bounds the probe through helpers.
	reachTimeout = 1500 * clock.Millisecond
	// settleTime is how long other daemons are looked for at the start before
	// this one takes itself for alone.
	settleTime = 2 * clock.Second
	// stopTimeout bounds the farewell at the stop.
	stopTimeout = 1 * clock.Second
)

// Gossiper keeps the membership of this daemon: it runs Core, carries out its
// effects over drpc and serves other daemons. Its exported fields are set
// before Run.
type Gossiper struct {
	// Own describes this daemon; its incarnation must be higher than at any
	// earlier start, which a reading of the clock is.
	Own       Member
	Clock     clock.Clock
	Connector *connector.Connector
	// Seeds returns addresses at which other daemons may be found; nil for none.
	Seeds func() []string
	// Report returns the load and the revision in force here; nil for zeros.
	Report func() Report
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
	// Timeout bounds one try of an exchange; 0 stands for 400 ms.
	Timeout clock.Millis

	once sync.Once
	// mu guards core.
	mu   sync.Mutex
	core *Core
	// members is what Members returned since the last message; nil before.
	members atomic.Pointer[[]Member]
	// calls counts the effects in progress.
	calls sync.WaitGroup
}

// Run takes part in the membership until ctx ends, then says goodbye.
func (g *Gossiper) Run(ctx context.Context) {
	g.setup()
	ticker := time.NewTicker(TickInterval.Duration())
	defer ticker.Stop()
	g.tick(ctx)
	for {
		select {
		case <-ticker.C:
			g.tick(ctx)
		case <-ctx.Done():
			g.farewell(context.WithoutCancel(ctx))
			return
		}
	}
}

// Self implements View.
func (g *Gossiper) Self() Member {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Self()
}

// Members implements View.
func (g *Gossiper) Members() []Member {
	g.setup()
	if members := g.members.Load(); members != nil {
		return *members
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.core.Members()
	g.members.Store(&members)
	return members
}

// Known returns all members that are remembered, the dead ones included,
// sorted by name.
func (g *Gossiper) Known() []Member {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Known()
}

// Proved returns when this daemon last exchanged a packet with any other, and
// false where it never did.
func (g *Gossiper) Proved() (last clock.Millis, found bool) {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Proved()
}

// Settled tells whether another daemon was found, or was looked for long
// enough.
func (g *Gossiper) Settled() bool {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	_, found := g.core.Proved()
	return found || g.Clock.Now()-g.core.started >= settleTime
}

// Leave tells the others that this daemon is about to stop.
func (g *Gossiper) Leave(ctx context.Context) {
	g.do(ctx, Leave{})
}

// Register adds the service for other daemons to mux.
func (g *Gossiper) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterGossip(mux, (*server)(g))
}

func (g *Gossiper) setup() {
	g.once.Do(func() {
		now := g.Clock.Now()
		g.core = NewCore(g.Own, now, uint64(now))
		if g.Registerer != nil {
			g.Registerer.MustRegister(counter{g})
		}
	})
}

func (g *Gossiper) handle(m Message) []Effect {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.Store(nil)
	return g.core.Handle(g.Clock.Now(), m)
}

// do handles the message and carries out the effects in the background.
func (g *Gossiper) do(ctx context.Context, m Message) {
	for _, e := range g.handle(m) {
		if changed, found := e.(Changed); found {
			g.log(changed.Member)
			continue
		}
		g.calls.Go(func() { g.carryOut(ctx, e) })
	}
}

func (g *Gossiper) tick(ctx context.Context) {
	if g.Seeds != nil {
		g.do(ctx, Seeds{Addresses: g.Seeds()})
	}
	if g.Report != nil {
		g.do(ctx, g.Report())
	}
	g.do(ctx, Tick{})
}

// farewell tells the others of the end and waits for calls in progress.
func (g *Gossiper) farewell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout.Duration())
	defer cancel()
	g.do(ctx, Stop{})
	g.calls.Wait()
}

func (g *Gossiper) carryOut(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case Exchange:
		g.exchange(ctx, e)
	case Reach:
		g.reach(ctx, e)
	case Reply, Changed:
	}
}

func (*Gossiper) log(m Member) {
	klog.InfoS("member", "member", m.Name, "region", m.Region, "state", m.State.String(), "incarnation", m.Incarnation)
}

// exchange tries a pooled connection first. Where that stays silent, a new
// one tells whether the member or only the connection is gone.
func (g *Gossiper) exchange(ctx context.Context, e Exchange) {
	reply, err := g.swap(ctx, e, false)
	if err != nil {
		reply, err = g.swap(ctx, e, true)
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		g.do(ctx, Answered{Packet: reply})
		return
	}
	if e.Name != "" {
		klog.V(1).InfoS("member did not answer", "member", e.Name, "err", err)
		g.do(ctx, Missed{Name: e.Name})
	}
}

func (g *Gossiper) swap(ctx context.Context, e Exchange, fresh bool) (reply Packet, err error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(g.Timeout, exchangeTimeout).Duration())
	defer cancel()
	var conn drpc.Conn
	if fresh {
		conn, err = g.Connector.Stream(ctx, e.Address)
		if err != nil {
			return reply, err
		}
	} else {
		conn = g.Connector.Call(ctx, e.Address)
	}
	defer func() { _ = conn.Close() }()
	answer, err := wire.NewDRPCGossipClient(conn).Exchange(ctx, encode(e.Packet))
	if err != nil {
		return reply, fmt.Errorf("exchange with %s: %w", e.Address, err)
	}
	reply = decode(answer)
	if e.Name != "" && reply.Sender.Name != e.Name {
		return reply, fmt.Errorf("exchange with %s: %s answers in place of %s", e.Address, reply.Sender.Name, e.Name)
	}
	return reply, nil
}

// reach asks all helpers at once; one that reaches the member is enough.
func (g *Gossiper) reach(ctx context.Context, e Reach) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout.Duration())
	defer cancel()
	results := make(chan bool, len(e.Helpers))
	for _, helper := range e.Helpers {
		go func() {
			conn := g.Connector.Call(ctx, helper)
			defer func() { _ = conn.Close() }()
			reply, err := wire.NewDRPCGossipClient(conn).Reach(ctx, &wire.ReachRequest{Name: e.Name, Address: e.Address})
			results <- err == nil && reply.GetReached()
		}()
	}
	for range e.Helpers {
		if <-results {
			g.do(ctx, Reached{Name: e.Name})
			return
		}
	}
	g.do(ctx, Unreached{Name: e.Name})
}

// server answers other daemons.
type server Gossiper

var errNoSender = errors.New("the packet names no sender")

// Exchange implements wire.DRPCGossipServer.
func (s *server) Exchange(_ context.Context, in *wire.GossipPacket) (out *wire.GossipPacket, err error) {
	if in.GetSender().GetName() == "" {
		return nil, errNoSender
	}
	for _, e := range (*Gossiper)(s).handle(Received{Packet: decode(in)}) {
		switch e := e.(type) {
		case Reply:
			out = encode(e.Packet)
		case Changed:
			(*Gossiper)(s).log(e.Member)
		}
	}
	return out, nil
}

// Reach implements wire.DRPCGossipServer.
func (s *server) Reach(ctx context.Context, in *wire.ReachRequest) (out *wire.ReachReply, err error) {
	g := (*Gossiper)(s)
	packet := Packet{Sender: g.Self()}
	_, err = g.swap(ctx, Exchange{Name: in.GetName(), Address: in.GetAddress(), Packet: packet}, true)
	return &wire.ReachReply{Reached: err == nil}, nil
}
