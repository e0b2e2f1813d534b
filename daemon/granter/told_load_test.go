package granter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestPartsOfAFleetShareUpstreams guards against parts of a fleet that can't reach each other, and
// each use all slots of the same upstreams, although these tell what runs there.
func TestPartsOfAFleetShareUpstreams(t *testing.T) {
	const (
		upstreams, slots = 3, 5
		maxOvercommit    = 1.4
		minUse           = 0.8
	)
	for _, parts := range []int{2, 3} {
		excess := map[bool]float64{}
		for _, tells := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newLimitedFleet(ctx, 12, upstreams, 2*upstreams*slots/workTime.Seconds(), region)
				f.mu.Lock()
				f.tellsLoad = tells
				f.mu.Unlock()
				time.Sleep(8 * time.Second)
				f.split(parts)
				time.Sleep(deathNotice + 4*time.Second)
				total, samples := 0, 0
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					f.mu.Lock()
					for _, running := range f.running {
						total += running
						samples++
					}
					f.mu.Unlock()
				}
				excess[tells] = float64(total) / float64(samples) / slots
				cancel()
				time.Sleep(10 * time.Second)
			})
		}
		t.Logf("%d parts: %.2f of the slots in use where upstreams tell nothing, %.2f where they do", parts, excess[false], excess[true])
		if excess[true] > maxOvercommit || excess[true] < minUse {
			t.Errorf("%d parts: %.2f of the slots are in use, want %v to %v", parts, excess[true], minUse, maxOvercommit)
		}
	}
}
