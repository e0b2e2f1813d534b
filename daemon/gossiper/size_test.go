package gossiper_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// changeEvery is the mean time between two configuration changes at 15,000 a
// day, after each of which every daemon tells a new revision.
const changeEvery = clock.Day / 15_000

// frameBytes are added to each packet by drpc and by TCP with its answer.
const frameBytes = 120

// BenchmarkGossip runs members of up to six regions, each of which changes
// its load all the time and its revision with each change, and tells what one
// of them sends and computes.
func BenchmarkGossip(b *testing.B) {
	for _, members := range []int{10, 60, 350} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			regions := min(6, members/5)
			for b.Loop() {
				g := newGroup(nil, regions, (members+regions-1)/regions)
				g.run(30 * clock.Second)
				start := g.now
				g.bytes, g.sent = 0, 0
				for g.now-start < clock.Minute {
					revision := int64(g.now / changeEvery)
					for i, name := range g.names {
						load := float64((int64(i)+int64(g.now/clock.Second))%10) / 10
						g.handle(name, gossiper.Report{Load: load, Revision: revision})
					}
					g.run(clock.Second)
				}
				seconds := float64((g.now - start) / clock.Second)
				b.ReportMetric(float64(g.bytes)/seconds/float64(len(g.names)), "B/s/daemon")
				b.ReportMetric(float64(g.sent)/seconds/float64(len(g.names)), "packets/s/daemon")
			}
			// The start, half a minute, is part of the time but not of the bytes.
			total := b.Elapsed().Seconds() / float64(b.N) / 90 / float64(members)
			b.ReportMetric(100*total, "%core/daemon")
		})
	}
}

// BenchmarkMembers is what each request asks of the view at full size.
func BenchmarkMembers(b *testing.B) {
	g := &gossiper.Gossiper{Own: gossiper.Member{Name: "self", Region: "r"}, Clock: clock.System{}}
	g.Learn(350)
	b.ReportAllocs()
	for b.Loop() {
		if len(g.Members()) != 351 {
			b.Fatal("members are missing")
		}
	}
}
