package gossiper_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// countCutOff returns how many running cores of the region know the member as cut off, and how
// many cores there are; an empty region stands for all.
func (c *cluster) countCutOff(member, region string) (know, cores int) {
	for _, name := range c.names {
		if c.cores[name] == nil || region != "" && c.cores[name].Self().Region != region {
			continue
		}
		cores++
		for _, m := range c.cores[name].Members() {
			if m.Name == member && m.CutOff {
				know++
			}
		}
	}
	return know, cores
}

func (c *cluster) requireCutOff(member, region string, want bool) {
	c.t.Helper()
	if know, cores := c.countCutOff(member, region); know != 0 && !want || know != cores && want {
		c.t.Fatalf("%s: %d of %d daemons of %q know it as cut off, want all or none: %t", member, know, cores, region, want)
	}
}

// Callers are sent to a daemon that is cut off until the others know it.
func TestCutSpreadsAtOnce(t *testing.T) {
	c := newCluster(t, 3, 20)
	c.run(20 * clock.Second)
	const member = "r0-4"
	version := c.cores[member].Self().ReportVersion
	for i, cutOff := range []bool{true, false, true} {
		for j, name := range c.names {
			if name != member {
				c.handle(name, gossiper.Report{Load: float64((i+j)%2) / 2, Revision: 1})
			}
		}
		c.handle(member, gossiper.Report{Load: 0.5, Revision: 1, CutOff: cutOff})
		c.requireCutOff(member, "r0", cutOff)
		c.run(3 * gossiper.TickInterval)
		c.requireCutOff(member, "", cutOff)
	}
	if got := c.cores[member].Self(); got.ReportVersion != version+3 || got.Incarnation != int64(clock.Hour) {
		t.Fatalf("got %+v, want 3 reports and no other incarnation", got)
	}
}

// deliver lets the daemon of the name handle the row of another one, and loses the reply.
func (c *cluster) deliver(to, from string) {
	c.cores[to].Handle(c.now, gossiper.PacketReceived{Packet: gossiper.Packet{Sender: c.cores[from].Self()}})
}

// A region that missed the end of a cut must not keep the daemon from its callers for good.
func TestEndOfCutThatWasMissedIsLearned(t *testing.T) {
	c := newCluster(t, 2, 5)
	c.run(20 * clock.Second)
	c.handle("r0-0", gossiper.Report{CutOff: true})
	c.run(5 * clock.Second)
	c.requireCutOff("r0-0", "", true)
	c.partitioned = func(a, b string) bool { return (a == "r0-0" || b == "r0-0") && a[1] != b[1] }
	c.cores["r0-0"].Handle(c.now, gossiper.Report{})
	for _, name := range []string{"r0-1", "r0-2", "r0-3", "r0-4"} {
		for range 100 {
			c.deliver(name, "r0-0")
		}
	}
	c.requireCutOff("r0-0", "r0", false)
	c.requireCutOff("r0-0", "r1", true)
	c.run(20 * clock.Second)
	c.requireCutOff("r0-0", "", false)
	if got := c.cores["r0-0"].Self().Incarnation; got != int64(clock.Hour) {
		t.Fatalf("incarnation %d, want that of the start", got)
	}
}

// Older daemons pass rows on without the cut; newer ones that hear of it through them must learn it.
func TestCutIsKnownInAFleetWithOlderDaemons(t *testing.T) {
	c := newCluster(t, 2, 10)
	isOld := func(name string) bool { return name[len(name)-1]%2 == 1 }
	c.strip = isOld
	c.run(20 * clock.Second)
	for _, cutOff := range []bool{true, false} {
		c.partitioned = func(a, b string) bool { return a == "r0-4" && !isOld(b) || b == "r0-4" && !isOld(a) }
		c.handle("r0-4", gossiper.Report{CutOff: cutOff})
		c.run(4 * clock.Second)
		c.partitioned = func(string, string) bool { return false }
		c.run(10 * clock.Second)
		c.requireMembers(20, gossiper.Alive)
		for _, name := range c.names {
			for _, m := range c.cores[name].Members() {
				if m.Name == "r0-4" && m.CutOff != (cutOff && !isOld(name)) {
					t.Errorf("cut off %t: %s knows %t", cutOff, name, m.CutOff)
				}
			}
		}
	}
}
