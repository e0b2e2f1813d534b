package gossiper_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// group joins cores by delivering their effects at once.
type group struct {
	t     *testing.T
	now   clock.Millis
	cores map[string]*gossiper.Core
	names []string
	// bytes and sent count what went over the wire, answers included.
	bytes int
	sent  int
	// cut tells whether no packet passes between the two.
	cut func(a, b string) bool
}

func newGroup(t *testing.T, regions, each int) *group {
	g := &group{t: t, now: clock.Hour, cores: map[string]*gossiper.Core{}, cut: func(string, string) bool { return false }}
	for r := range regions {
		for i := range each {
			g.start(fmt.Sprintf("r%d-%d", r, i), fmt.Sprintf("r%d", r))
		}
	}
	for _, core := range g.cores {
		core.Handle(g.now, gossiper.Seeds{Addresses: []string{"r0-0"}})
	}
	return g
}

func (g *group) start(name, region string) {
	if _, found := g.cores[name]; !found {
		g.names = append(g.names, name)
	}
	own := gossiper.Member{Name: name, Region: region, PeerListen: name, Incarnation: int64(g.now)}
	g.cores[name] = gossiper.NewCore(own, g.now, uint64(len(g.names)))
	g.cores[name].Handle(g.now, gossiper.Seeds{Addresses: []string{"r0-0", "r0-1"}})
}

func (g *group) handle(name string, m gossiper.Message) {
	for _, e := range g.cores[name].Handle(g.now, m) {
		switch e := e.(type) {
		case gossiper.Exchange:
			if reply, ok := g.send(name, e.Address, e.Packet); ok {
				g.handle(name, gossiper.Answered{Packet: reply})
			} else if e.Name != "" {
				g.handle(name, gossiper.Missed{Name: e.Name})
			}
		case gossiper.Reach:
			var m gossiper.Message = gossiper.Unreached{Name: e.Name}
			for _, helper := range e.Helpers {
				if g.passes(name, helper) && g.passes(helper, e.Address) {
					m = gossiper.Reached{Name: e.Name}
				}
			}
			g.handle(name, m)
		}
	}
}

func (g *group) passes(a, b string) bool {
	return g.cores[a] != nil && g.cores[b] != nil && !g.cut(a, b)
}

func (g *group) send(from, to string, p gossiper.Packet) (reply gossiper.Packet, ok bool) {
	if !g.passes(from, to) {
		return reply, false
	}
	for _, e := range g.cores[to].Handle(g.now, gossiper.Received{Packet: p}) {
		if r, found := e.(gossiper.Reply); found {
			if g.t == nil {
				g.bytes += gossiper.Bytes(p) + gossiper.Bytes(r.Packet) + 2*frameBytes
				g.sent += 2
			}
			return r.Packet, true
		}
	}
	return reply, false
}

func (g *group) run(span clock.Millis) {
	for end := g.now + span; g.now < end; g.now += gossiper.TickInterval {
		for _, name := range g.names {
			if g.cores[name] != nil {
				g.handle(name, gossiper.Tick{})
			}
		}
	}
}

// wantLive checks that every running core knows exactly the wanted number of
// members and that all of them are in the state.
func (g *group) wantLive(count int, state gossiper.State) {
	g.t.Helper()
	for _, name := range g.names {
		if g.cores[name] == nil {
			continue
		}
		live := 0
		for _, m := range g.cores[name].Members() {
			if m.State == state {
				live++
			}
		}
		if live != count {
			g.t.Fatalf("%s knows %d members in state %d, want %d", name, live, state, count)
		}
	}
}

func TestAllFindEachOtherThroughOneSeed(t *testing.T) {
	g := newGroup(t, 3, 8)
	g.run(20 * clock.Second)
	g.wantLive(24, gossiper.Alive)
}

func TestDeadMemberIsDroppedAndItsReplacementTaken(t *testing.T) {
	g := newGroup(t, 2, 4)
	g.run(20 * clock.Second)
	g.cores["r1-2"] = nil
	g.run(30 * clock.Second)
	g.wantLive(7, gossiper.Alive)
	g.start("r1-2", "r1")
	g.run(20 * clock.Second)
	g.wantLive(8, gossiper.Alive)
}

func TestPausedMemberComesBackAsNewIncarnation(t *testing.T) {
	g := newGroup(t, 1, 4)
	g.run(20 * clock.Second)
	paused := g.cores["r0-3"]
	before := paused.Self().Incarnation
	g.cores["r0-3"] = nil
	g.run(clock.Minute)
	g.wantLive(3, gossiper.Alive)
	g.cores["r0-3"] = paused
	g.run(15 * clock.Second)
	g.wantLive(4, gossiper.Alive)
	if paused.Self().Incarnation <= before {
		t.Fatal("the paused member kept its incarnation")
	}
}

func TestBrokenWayBetweenTwoIsNoDeath(t *testing.T) {
	g := newGroup(t, 1, 5)
	g.run(20 * clock.Second)
	g.cut = func(a, b string) bool { return a == "r0-1" && b == "r0-2" || a == "r0-2" && b == "r0-1" }
	for range 60 {
		g.run(clock.Second)
		g.wantLive(5, gossiper.Alive)
	}
}

func TestRegionCutOffForAnHourMergesAgain(t *testing.T) {
	g := newGroup(t, 3, 6)
	g.run(30 * clock.Second)
	g.cut = func(a, b string) bool { return (a[:2] == "r2") != (b[:2] == "r2") }
	g.run(clock.Hour)
	for _, name := range g.names {
		want := 12
		if name[:2] == "r2" {
			want = 6
		}
		if got := len(g.cores[name].Members()); got != want {
			t.Fatalf("%s knows %d members while cut off, want %d", name, got, want)
		}
	}
	g.cut = func(string, string) bool { return false }
	g.run(40 * clock.Second)
	g.wantLive(18, gossiper.Alive)
}

func TestLeavingIsKnownAndEndsWithTheProcess(t *testing.T) {
	g := newGroup(t, 2, 4)
	g.run(20 * clock.Second)
	g.handle("r0-1", gossiper.Leave{})
	g.run(10 * clock.Second)
	g.wantLive(1, gossiper.Leaving)
	g.wantLive(7, gossiper.Alive)
	g.handle("r0-1", gossiper.Stop{})
	g.cores["r0-1"] = nil
	g.run(5 * clock.Second)
	g.wantLive(0, gossiper.Leaving)
	g.wantLive(7, gossiper.Alive)
}

func TestRevisionAndLoadAreTold(t *testing.T) {
	g := newGroup(t, 1, 6)
	g.run(10 * clock.Second)
	g.handle("r0-4", gossiper.Report{Load: 0.5, Revision: 7})
	g.run(15 * clock.Second)
	for _, name := range g.names {
		for _, m := range g.cores[name].Members() {
			if m.Name == "r0-4" && (m.Load != 0.5 || m.Revision != 7) {
				t.Fatalf("%s knows load %v and revision %d", name, m.Load, m.Revision)
			}
		}
	}
}

func TestManyDeadSeedsDontHideALiveOne(t *testing.T) {
	g := newGroup(t, 1, 2)
	seeds := make([]string, 0, 101)
	for i := range 100 {
		seeds = append(seeds, fmt.Sprintf("gone-%d", i))
	}
	for _, core := range g.cores {
		core.Handle(g.now, gossiper.Seeds{Addresses: append(seeds, "r0-0")})
	}
	g.run(clock.Minute)
	g.wantLive(2, gossiper.Alive)
}
