package limiter_test

import (
	"context"
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/reserver"
)

// TestNothingIsRefusedBelowTheLimitWhileAHomeLeaves guards against refusals in a planned
// restart of the home, until the last daemon has heard that it leaves.
func TestNothingIsRefusedBelowTheLimitWhileAHomeLeaves(t *testing.T) {
	for _, leaving := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of the first homes leave at once", leaving), func(t *testing.T) {
			t.Parallel()
			const rate = 47_000
			f := newChurningFleet(t, 80, inventory.Organisation{TokensPerSecond: rate, TokenBurst: rate, TokensInAdvance: true})
			f.losesNoCall = true
			// Two fifths of the limit, in requests that most parts of it don't hold.
			const interval, tokens = 50 * clock.Millisecond, rate / 50
			sent, refused := 0, 0
			for now := clock.Millis(0); now < 6*clock.Second; now += interval {
				if now == 2*clock.Second {
					for range leaving {
						f.leave(f.home())
					}
				}
				if now%clock.Second == 0 {
					f.tick()
				}
				d := f.daemons[f.random.IntN(len(f.daemons))]
				req := &classifier.Request{Organisation: "o", ChargedTokens: tokens}
				sent++
				if slot, err := d.limiter.Reserve(context.Background(), req, nil); err != nil {
					refused++
				} else {
					slot.End(reserver.Usage{})
				}
				f.clock.Advance(interval)
			}
			if refused > 0 {
				t.Errorf("%d of %d requests were refused", refused, sent)
			}
		})
	}
}
