package granter_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// die ends a daemon's granter and every connection of the others to it.
func (c *cluster) die(n *node, others ...*node) {
	n.kill()
	for _, other := range others {
		other.mu.Lock()
		for _, conn := range other.conns {
			_ = conn.Close()
		}
		other.mu.Unlock()
	}
}

func (c *cluster) name(n *node) string {
	for name, other := range c.nodes {
		if other == n {
			return name
		}
	}
	return ""
}

func TestAsksAndGrantsOutliveTheirScheduler(t *testing.T) {
	c := newCluster(t, 2)
	c.start("d1", region)
	c.start("d2", region)
	c.start("d3", region)
	old := c.scheduler()
	ingress := c.other(old)
	first, second := mustReserve(t, ingress), mustReserve(t, ingress)
	third := reserving(t, ingress)
	eventually(t, "the third request waits", func() bool { r, w := old.counts(); return r == 2 && w == 1 })

	c.die(old, ingress)
	c.remove(c.name(old))
	next := c.scheduler()
	eventually(t, "the new scheduler knows both grants and the ask", func() bool {
		r, w := next.counts()
		return r == 2 && w == 1
	})
	first.End(reserver.Usage{})
	(<-third).End(reserver.Usage{})
	second.End(reserver.Usage{})
	eventually(t, "all slots are free", func() bool { r, w := next.counts(); return r == 0 && w == 0 })
}

func TestTheLocalShareServesWhileNoSchedulerAnswers(t *testing.T) {
	c := newCluster(t, 4)
	c.start("d1", region)
	c.start("d2", region)
	old := c.scheduler()
	ingress := c.other(old)
	held := mustReserve(t, ingress)
	c.die(old, ingress)
	// The dead daemon stays in the view. Half of four slots are the ingress's
	// share, and one of these it holds already.
	local := mustReserve(t, ingress)
	waiting := reserving(t, ingress)
	held.End(reserver.Usage{})
	third := <-waiting
	c.remove(c.name(old))
	next := c.scheduler()
	eventually(t, "the slots of the share are announced", func() bool { r, _ := next.counts(); return r == 2 })
	third.End(reserver.Usage{})
	local.End(reserver.Usage{})
	eventually(t, "all slots are free", func() bool { r, _ := next.counts(); return r == 0 })
}

func TestTwoSchedulersForAMomentLeaveNoSlotBehind(t *testing.T) {
	c := newCluster(t, 1)
	c.start("d1", region)
	old := c.scheduler()
	slot := mustReserve(t, old)
	waiting := reserving(t, old)
	eventually(t, "one waits", func() bool { _, w := old.counts(); return w == 1 })
	var next *node
	for _, name := range []string{"d2", "d3", "d4", "d5", "d6", "d7", "d8"} {
		c.start(name, region)
		if next = c.scheduler(); next != old {
			break
		}
	}
	eventually(t, "the new scheduler has the grant and the ask", func() bool { r, w := next.counts(); return r == 1 && w == 1 })
	slot.End(reserver.Usage{})
	(<-waiting).End(reserver.Usage{})
	eventually(t, "all slots are free", func() bool { r, w := next.counts(); return r == 0 && w == 0 })
}

func TestTheSlotsOfADeadIngressAreFreed(t *testing.T) {
	c := newCluster(t, 1)
	c.start("d1", region)
	c.start("d2", region)
	sched := c.scheduler()
	ingress := c.other(sched)
	mustReserve(t, ingress)
	waiting := reserving(t, sched)
	eventually(t, "one waits", func() bool { _, w := sched.counts(); return w == 1 })
	c.die(ingress, ingress)
	c.remove(c.name(ingress))
	(<-waiting).End(reserver.Usage{})
}

func TestABrokenStreamFreesNothing(t *testing.T) {
	c := newCluster(t, 1)
	c.start("d1", region)
	c.start("d2", region)
	sched := c.scheduler()
	ingress := c.other(sched)
	slot := mustReserve(t, ingress)
	before := len(ingress.conns)
	for range 3 {
		ingress.mu.Lock()
		_ = ingress.conns[len(ingress.conns)-1].Close()
		ingress.mu.Unlock()
		waiting := reserving(t, ingress)
		eventually(t, "the grant and the ask are known again", func() bool { r, w := sched.counts(); return r == 1 && w == 1 })
		slot.End(reserver.Usage{})
		slot = <-waiting
	}
	slot.End(reserver.Usage{})
	if len(ingress.conns) < before+3 {
		t.Errorf("the stream was opened %d times", len(ingress.conns))
	}
}

// muffled is a connection whose bytes stop to arrive on demand, in both
// directions and without an error.
type muffled struct {
	net.Conn
	silent chan struct{}
}

func (m *muffled) Write(p []byte) (int, error) {
	select {
	case <-m.silent:
		return len(p), nil
	default:
		return m.Conn.Write(p)
	}
}

func (m *muffled) Read(p []byte) (int, error) {
	for {
		n, err := m.Conn.Read(p)
		select {
		case <-m.silent:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

func TestASilentStreamIsReplaced(t *testing.T) {
	c := newCluster(t, 1)
	c.start("d1", region)
	c.start("d2", region)
	sched := c.scheduler()
	ingress := c.other(sched)
	silent := make(chan struct{})
	dials := 0
	ingress.remote.Dial = func(ctx context.Context, to gossiper.Member) (reserver.Link, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.PeerListen)
		if err != nil {
			return nil, err
		}
		if dials++; dials == 1 {
			conn = &muffled{Conn: conn, silent: silent}
		}
		return reserver.OnConn(ctx, drpcconn.New(conn))
	}
	slot := mustReserve(t, ingress)
	close(silent)
	waiting := reserving(t, ingress)
	slot.End(reserver.Usage{})
	(<-waiting).End(reserver.Usage{})
	eventually(t, "all slots are free", func() bool { r, w := sched.counts(); return r == 0 && w == 0 })
}

// TestAnAskLeavesASchedulerThatFellSilent lets a VM lose its power: no connection
// ends, and new ones are not answered.
func TestAnAskLeavesASchedulerThatFellSilent(t *testing.T) {
	c := newCluster(t, 4)
	c.start("d1", region)
	c.start("d2", region)
	sched := c.scheduler()
	ingress := c.other(sched)
	silent := make(chan struct{})
	ingress.remote.Dial = func(ctx context.Context, to gossiper.Member) (reserver.Link, error) {
		select {
		case <-silent:
			<-ctx.Done()
			return nil, ctx.Err()
		default:
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.PeerListen)
		if err != nil {
			return nil, err
		}
		return reserver.OnConn(ctx, drpcconn.New(&muffled{Conn: conn, silent: silent}))
	}
	mustReserve(t, ingress).End(reserver.Usage{})
	close(silent)
	// The caller leaves long before a stream without asks counts as silent.
	slot, err := ingress.remote.Reserve(t.Context(), request(4*clock.Second), nil)
	if err != nil {
		t.Fatalf("no slot of the local share: %v", err)
	}
	slot.End(reserver.Usage{})
}

func TestNobodyWaitsForASlotOfTheLocalShareInVain(t *testing.T) {
	c := newCluster(t, 2)
	c.start("d1", region)
	c.start("d2", region)
	ingress := c.other(c.scheduler())
	ingress.remote.Dial = func(context.Context, gossiper.Member) (reserver.Link, error) {
		return nil, net.ErrClosed
	}
	// One of two slots is the ingress's share.
	slot := mustReserve(t, ingress)
	defer slot.End(reserver.Usage{})
	const patience = 1 * clock.Second
	waits := request(30 * clock.Second)
	waits.Arrived, waits.Patience = clock.System{}.Now(), patience
	ctx, cancel := context.WithTimeout(t.Context(), 5*patience.Duration())
	defer cancel()
	_, err := ingress.remote.Reserve(ctx, waits, nil)
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
}

func TestASlotIsConfirmedOnceTheRequestIsSent(t *testing.T) {
	c := newCluster(t, 3)
	n := c.start("d1", region)
	confirmed := func() int {
		f := n.decider()
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.confirmed
	}
	unsent, sent := mustReserve(t, n), mustReserve(t, n)
	if !sent.Confirm() {
		t.Fatal("a fresh slot was lost")
	}
	eventually(t, "the scheduler knows that one was sent", func() bool { return confirmed() == 1 })
	// Every grant of this scheduler lasts for a second.
	time.Sleep(clock.Second.Duration())
	if unsent.Confirm() {
		t.Error("an expired slot was confirmed")
	}
	if confirmed() != 1 {
		t.Errorf("%d were confirmed", confirmed())
	}
	unsent.End(reserver.Usage{Outcome: reserver.NotSent})
	sent.End(reserver.Usage{Outcome: reserver.Whole})
	eventually(t, "all slots are free", func() bool { r, w := n.counts(); return r == 0 && w == 0 })
}

// stuck is a Decider that stands still until it is let go.
type stuck struct{ free chan struct{} }

func (s *stuck) Update(clock.Millis, scheduler.Message) []scheduler.Effect {
	<-s.free
	return nil
}

func TestAFullRingPushesBack(t *testing.T) {
	c := newCluster(t, 1)
	s := &stuck{free: make(chan struct{})}
	defer close(s.free)
	c.decide = func() granter.Decider { return s }
	n := c.start("d1", region)
	session := n.granter.Attach("asker")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	const far = 1 << 20
	sent := 0
	for ; sent < far; sent++ {
		up := &wire.ReserveUp{Message: &wire.ReserveUp_Ask{Ask: &wire.Ask{
			AskId: uint64(sent + 1), Shard: region + "/" + pool + "/0", RemainingMs: int64(clock.Minute),
		}}}
		if err := session.Send(ctx, up); err != nil {
			break
		}
	}
	if sent == far {
		t.Fatal("a shard that stands still took every ask")
	}
}

func TestAStrangerWithoutHelloIsTurnedAway(t *testing.T) {
	c := newCluster(t, 1)
	c.start("d1", region)
	conn, err := (&net.Dialer{}).Dial("tcp", c.members[0].PeerListen)
	if err != nil {
		t.Fatal(err)
	}
	link, err := reserver.OnConn(context.Background(), drpcconn.New(conn))
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	if err := link.Send(context.Background(), &wire.ReserveUp{Message: &wire.ReserveUp_Heartbeat{}}); err != nil {
		t.Fatal(err)
	}
	if _, err := link.Recv(context.Background()); err == nil {
		t.Error("a stream without a hello was served")
	}
}
