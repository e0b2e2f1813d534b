package gossiper_test

import (
	"fmt"
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// cluster runs several cores in one process and carries out their effects
// without delay.
type cluster struct {
	t     *testing.T
	now   clock.Millis
	cores map[string]*gossiper.Core
	names []string
	// wireBytes and packets count the traffic, replies included. They are
	// counted in benchmarks only, where t is nil.
	wireBytes int
	packets   int
	// partitioned reports whether packets between the two are dropped.
	partitioned func(a, b string) bool
	// strip reports whether a daemon is one that doesn't know of cuts; nil means that none is.
	strip func(name string) bool
}

// stripped returns the packet as a daemon reads it that doesn't know of cuts.
func stripped(p gossiper.Packet) gossiper.Packet {
	p.Sender.CutOff = false
	p.Updates = slices.Clone(p.Updates)
	for i := range p.Updates {
		p.Updates[i].CutOff = false
	}
	return p
}

func newCluster(t *testing.T, regions, membersPerRegion int) *cluster {
	c := &cluster{t: t, now: clock.Hour, cores: map[string]*gossiper.Core{}, partitioned: func(string, string) bool { return false }}
	for region := range regions {
		for i := range membersPerRegion {
			c.start(fmt.Sprintf("r%d-%d", region, i), fmt.Sprintf("r%d", region))
		}
	}
	for _, core := range c.cores {
		core.Handle(c.now, gossiper.Seeds{Addresses: []string{"r0-0"}})
	}
	return c
}

func (c *cluster) start(name, region string) {
	if _, found := c.cores[name]; !found {
		c.names = append(c.names, name)
	}
	self := gossiper.Member{Name: name, Region: region, PeerListen: name, Incarnation: int64(c.now)}
	c.cores[name] = gossiper.NewCore(self, c.now, uint64(len(c.names)))
	c.cores[name].Handle(c.now, gossiper.Seeds{Addresses: []string{"r0-0", "r0-1"}})
}

func (c *cluster) handle(name string, message gossiper.Message) {
	for _, e := range c.cores[name].Handle(c.now, message) {
		switch e := e.(type) {
		case gossiper.Exchange:
			if reply, ok := c.exchange(name, e.Address, e.Packet); ok {
				c.handle(name, gossiper.ReplyReceived{Packet: reply})
			} else if e.Name != "" {
				c.handle(name, gossiper.ExchangeFailed{Name: e.Name})
			}
		case gossiper.IndirectProbe:
			var message gossiper.Message = gossiper.IndirectProbeFailed{Name: e.Name}
			for _, helper := range e.Helpers {
				if c.canReach(name, helper) && c.canReach(helper, e.Address) {
					message = gossiper.IndirectProbeSucceeded{Name: e.Name}
				}
			}
			c.handle(name, message)
		}
	}
}

func (c *cluster) canReach(a, b string) bool {
	return c.cores[a] != nil && c.cores[b] != nil && !c.partitioned(a, b)
}

func (c *cluster) exchange(from, to string, p gossiper.Packet) (reply gossiper.Packet, ok bool) {
	if !c.canReach(from, to) {
		return reply, false
	}
	if c.strip != nil && c.strip(to) {
		p = stripped(p)
	}
	for _, e := range c.cores[to].Handle(c.now, gossiper.PacketReceived{Packet: p}) {
		if r, found := e.(gossiper.Reply); found {
			if c.t == nil {
				c.wireBytes += gossiper.PacketSize(p) + gossiper.PacketSize(r.Packet) + 2*packetOverheadBytes
				c.packets += 2
			}
			if c.strip != nil && c.strip(from) {
				return stripped(r.Packet), true
			}
			return r.Packet, true
		}
	}
	return reply, false
}

func (c *cluster) run(duration clock.Millis) {
	for end := c.now + duration; c.now < end; c.now += gossiper.TickInterval {
		for _, name := range c.names {
			if c.cores[name] != nil {
				c.handle(name, gossiper.Tick{})
			}
		}
	}
}

// requireMembers fails the test unless every running core knows exactly count
// members in the state.
func (c *cluster) requireMembers(count int, state gossiper.State) {
	c.t.Helper()
	for _, name := range c.names {
		if c.cores[name] == nil {
			continue
		}
		got := 0
		for _, m := range c.cores[name].Members() {
			if m.State == state {
				got++
			}
		}
		if got != count {
			c.t.Fatalf("%s knows %d members in state %d, want %d", name, got, state, count)
		}
	}
}

// A daemon must find all others through a single seed, those of other regions
// included.
func TestMembersDiscoverEachOtherThroughOneSeed(t *testing.T) {
	c := newCluster(t, 3, 8)
	c.run(20 * clock.Second)
	c.requireMembers(24, gossiper.Alive)
}

// A dead member must disappear from the views of all others, and must not keep
// out a new process of the same name.
func TestDeadMemberIsRemovedAndItsReplacementAdmitted(t *testing.T) {
	c := newCluster(t, 2, 4)
	c.run(20 * clock.Second)
	c.cores["r1-2"] = nil
	c.run(30 * clock.Second)
	c.requireMembers(7, gossiper.Alive)
	c.start("r1-2", "r1")
	c.run(20 * clock.Second)
	c.requireMembers(8, gossiper.Alive)
}

// A process that was suspended for a minute resumes with the incarnation at
// which the others consider it dead. It must raise it to be accepted again.
func TestPausedMemberReturnsWithHigherIncarnation(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(20 * clock.Second)
	paused := c.cores["r0-3"]
	before := paused.Self().Incarnation
	c.cores["r0-3"] = nil
	c.run(clock.Minute)
	c.requireMembers(3, gossiper.Alive)
	c.cores["r0-3"] = paused
	c.run(15 * clock.Second)
	c.requireMembers(4, gossiper.Alive)
	if paused.Self().Incarnation <= before {
		t.Fatal("the paused member kept its incarnation")
	}
}

// If two members cannot reach each other but all others reach both, indirect
// probes must keep either from being suspected.
func TestBrokenLinkBetweenTwoMembersCausesNoSuspicion(t *testing.T) {
	c := newCluster(t, 1, 5)
	c.run(20 * clock.Second)
	c.partitioned = func(a, b string) bool { return a == "r0-1" && b == "r0-2" || a == "r0-2" && b == "r0-1" }
	for range 60 {
		c.run(clock.Second)
		c.requireMembers(5, gossiper.Alive)
	}
}

// Both sides of a partition declare each other dead, and regular probes skip
// dead members. They must find each other again when the partition ends.
func TestRegionPartitionedForAnHourRejoins(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.run(30 * clock.Second)
	c.partitioned = func(a, b string) bool { return (a[:2] == "r2") != (b[:2] == "r2") }
	c.run(clock.Hour)
	for _, name := range c.names {
		want := 12
		if name[:2] == "r2" {
			want = 6
		}
		if got := len(c.cores[name].Members()); got != want {
			t.Fatalf("%s knows %d members while cut off, want %d", name, got, want)
		}
	}
	c.partitioned = func(string, string) bool { return false }
	c.run(40 * clock.Second)
	c.requireMembers(18, gossiper.Alive)
}

// A planned stop must be known as such and not as a failure, and the member
// must be gone at once when its process stops.
func TestLeavingMemberIsKnownUntilItsProcessStops(t *testing.T) {
	c := newCluster(t, 2, 4)
	c.run(20 * clock.Second)
	c.handle("r0-1", gossiper.Leave{})
	c.run(10 * clock.Second)
	c.requireMembers(1, gossiper.Leaving)
	c.requireMembers(7, gossiper.Alive)
	c.handle("r0-1", gossiper.Stop{})
	c.cores["r0-1"] = nil
	c.run(5 * clock.Second)
	c.requireMembers(0, gossiper.Leaving)
	c.requireMembers(7, gossiper.Alive)
}

// Changes of load and revision are sent after all others and do not show in the
// digest. They must still reach every member of the region.
func TestRevisionAndLoadPropagate(t *testing.T) {
	c := newCluster(t, 1, 6)
	c.run(10 * clock.Second)
	c.handle("r0-4", gossiper.Report{Load: 0.5, Revision: 7})
	c.run(15 * clock.Second)
	for _, name := range c.names {
		for _, m := range c.cores[name].Members() {
			if m.Name == "r0-4" && (m.Load != 0.5 || m.Revision != 7) {
				t.Fatalf("%s knows load %v and revision %d", name, m.Load, m.Revision)
			}
		}
	}
}

// A daemon that tries one seed at a time can take minutes to find the only live
// one among many dead ones.
func TestManyDeadSeedsDontHideALiveOne(t *testing.T) {
	c := newCluster(t, 1, 2)
	seeds := make([]string, 0, 101)
	for i := range 100 {
		seeds = append(seeds, fmt.Sprintf("gone-%d", i))
	}
	for _, core := range c.cores {
		core.Handle(c.now, gossiper.Seeds{Addresses: append(seeds, "r0-0")})
	}
	c.run(clock.Minute)
	c.requireMembers(2, gossiper.Alive)
}
