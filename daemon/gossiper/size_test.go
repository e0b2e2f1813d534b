package gossiper_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// configChangeInterval is the mean time between two configuration changes at
// 15,000 a day, after each of which every daemon publishes a new revision.
const configChangeInterval = clock.Day / 15_000

// packetOverheadBytes is what drpc and TCP, acknowledgements included, add to
// each packet.
const packetOverheadBytes = 120

// BenchmarkGossip runs members of up to six regions, each of which changes its
// load all the time and its revision with each configuration change, and
// reports the traffic and the CPU time of one of them.
func BenchmarkGossip(b *testing.B) {
	for _, members := range []int{10, 60, 350} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			regions := min(6, members/5)
			for b.Loop() {
				c := newCluster(nil, regions, (members+regions-1)/regions)
				c.run(30 * clock.Second)
				start := c.now
				c.wireBytes, c.packets = 0, 0
				for c.now-start < clock.Minute {
					revision := int64(c.now / configChangeInterval)
					for i, name := range c.names {
						load := float64((int64(i)+int64(c.now/clock.Second))%10) / 10
						c.handle(name, gossiper.Report{Load: load, Revision: revision})
					}
					c.run(clock.Second)
				}
				seconds := float64((c.now - start) / clock.Second)
				b.ReportMetric(float64(c.wireBytes)/seconds/float64(len(c.names)), "B/s/daemon")
				b.ReportMetric(float64(c.packets)/seconds/float64(len(c.names)), "packets/s/daemon")
			}
			// The time includes the 30 s of the start, the traffic does not.
			total := b.Elapsed().Seconds() / float64(b.N) / 90 / float64(members)
			b.ReportMetric(100*total, "%core/daemon")
		})
	}
}

// BenchmarkMembers measures Members, which each request calls, with 350 other
// members.
func BenchmarkMembers(b *testing.B) {
	g := &gossiper.Gossiper{LocalMember: gossiper.Member{Name: "self", Region: "r"}, Clock: clock.System{}}
	g.AddMembers(350)
	b.ReportAllocs()
	for b.Loop() {
		if len(g.Members()) != 351 {
			b.Fatal("members are missing")
		}
	}
}
