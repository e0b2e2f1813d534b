package gossiper_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// TestRestartedDaemonWithoutSeedsIsFoundSoon guards against a daemon that starts again after it was killed and
// schedules alone, as its seeds reach nobody and the others suspect it or take it for dead.
func TestRestartedDaemonWithoutSeedsIsFoundSoon(t *testing.T) {
	for down := clock.Second; down <= 20*clock.Second; down += clock.Second {
		t.Run(fmt.Sprintf("after %d ms", down), func(t *testing.T) {
			c := newCluster(t, 1, 3)
			c.run(20 * clock.Second)
			delete(c.cores, "r0-0")
			c.run(down)
			c.start("r0-0", "r0")
			c.cores["r0-0"].Handle(c.now, gossiper.Seeds{Addresses: []string{"r0-0"}})
			ticks := 0
			for ; len(c.cores["r0-0"].Members()) < 3 && ticks < 20; ticks++ {
				c.run(gossiper.TickInterval)
			}
			if ticks > 1 {
				t.Errorf("found after %d ticks", ticks)
			}
		})
	}
}
