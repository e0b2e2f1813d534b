package attributor

import (
	"fmt"
	"slices"
	"testing"

	"yuccaspread/common/clock"
)

// sendBurst sends requests with the bad part at once, no two alike, each at the next daemon.
func (f *fleet) sendBurst(size int) {
	for i := range size {
		r := f.newRun(1)
		r.daemon = i % len(f.cores)
		f.send(r)
	}
}

// lateRequests returns how many requests with the bad part reached upstreams later than 3 s after
// the fifth crash.
func (f *fleet) lateRequests() (late int) {
	if len(f.crashes) < 5 {
		return 0
	}
	for _, at := range f.reached {
		if at > f.crashes[4]+3*clock.Second {
			late++
		}
	}
	return late
}

// TestBurstsOfBadRequestsAreBlocked guards against bursts of requests that crash upstreams and
// count as one crash each, however many upstreams they take.
func TestBurstsOfBadRequestsAreBlocked(t *testing.T) {
	for _, daemons := range []int{1, 3, 60} {
		for _, size := range []int{1, 2, 3, 4, 6, 12, 50} {
			for seed := range uint64(4) {
				f := newFleet(seed, daemons, max(10, daemons))
				rate := float64(len(f.workers)) * 2
				f.play(6*clock.Second, rate, 0, 0)
				for range 8 {
					f.sendBurst(size)
					f.play(4*clock.Second, rate, 0, 0)
				}
				if late := f.lateRequests(); late > 3 {
					t.Errorf("%d daemons, bursts of %d, seed %d: %d requests with the part reached upstreams later than 3 s after the fifth crash; %d crashes",
						daemons, size, seed, late, len(f.crashes))
				}
				if f.refused*100 > f.served {
					t.Errorf("%d daemons, bursts of %d, seed %d: %d of %d sound requests refused", daemons, size, seed, f.refused, f.served)
				}
			}
		}
	}
}

// TestBurstBesideUpstreamsThatGoDownTogether guards against a burst that is not told from a rack
// that crashes at the same moment, and against sound requests that are blamed for the rack.
func TestBurstBesideUpstreamsThatGoDownTogether(t *testing.T) {
	for seed := range uint64(12) {
		f := newFleet(seed, []int{1, 3, 60}[seed%3], 60)
		f.play(6*clock.Second, 120, 0, 0)
		for range 5 {
			f.sendBurst(6)
			f.play(150*clock.Millisecond, 120, 0, 0)
			for i := range 12 {
				f.crashWorker(&f.workers[i])
			}
			f.play(4*clock.Second, 120, 0, 0)
		}
		if late := f.lateRequests(); late > 3 {
			t.Errorf("seed %d: %d requests with the part reached upstreams later than 3 s after the fifth crash", seed, late)
		}
		if f.refused*100 > f.served {
			t.Errorf("seed %d: %d of %d sound requests refused", seed, f.refused, f.served)
		}
	}
}

// TestSoundPartIsServedAgainAfterUpstreamsWentDownTogether guards against a part that stays
// blocked because all requests with it happened to run in a rack that crashed.
func TestSoundPartIsServedAgainAfterUpstreamsWentDownTogether(t *testing.T) {
	const part, others = 7, 3
	cores := make([]*Core, others)
	for i := range cores {
		cores[i] = &Core{Retention: testRetention, Started: -provenWindow}
	}
	tell := func(effects []Effect) {
		for _, e := range effects {
			if spread, is := e.(Spread); is {
				for _, c := range cores {
					c.Step(1100, Received(spread))
				}
			}
		}
	}
	for i := range 6 {
		tell(cores[i%others].Step(1000+clock.Millis(i), Crashed{Upstream: fmt.Sprint(i), Request: uint64(90 + i), Keys: []uint64{part, uint64(90 + i)}}))
	}
	passed := 0
	for now := clock.Millis(1200); now < 1000+6*clock.Second && passed == 0; now += 50 {
		for i, c := range cores {
			request := fmt.Sprint(i, "at", now)
			verdict := c.Admit(now, request, []uint64{part, 1000}, func(_ uint64, turn int64) bool { return turn%others == int64(i) })
			if verdict.Until > 0 {
				continue
			}
			passed++
			if again := c.Admit(now+500, request, []uint64{part, 1000}, func(uint64, int64) bool { return false }); again.Until > 0 {
				t.Error("the trial is refused before its send")
			}
		}
		if passed > 1 {
			t.Errorf("%d requests passed at once", passed)
		}
	}
	if passed == 0 {
		t.Fatal("no request was tried within 6 s")
	}
	tell(cores[0].Step(4000, Completed{Keys: []uint64{part, 1000}}))
	if slices.ContainsFunc(cores, func(c *Core) bool { return blockedUntil(c, 4100, []uint64{part}) > 0 }) {
		t.Error("still refused after a request with the part was completed")
	}
}

// TestRepeatedRequestIsBlockedAcrossDaemons guards against a request that comes again at another
// daemon each time, so that no daemon sees it crash two upstreams.
func TestRepeatedRequestIsBlockedAcrossDaemons(t *testing.T) {
	for _, daemons := range []int{1, 3, 60} {
		for _, atOnce := range []int{1, 3} {
			f := newFleet(uint64(daemons), daemons, 60)
			f.play(6*clock.Second, 120, 0, 0)
			repeated := f.newRun(1)
			repeated.tries = 3
			for i := range 12 {
				for j := range atOnce {
					repeated.daemon = (atOnce*i + j) % daemons
					f.send(repeated)
				}
				f.play(2*clock.Second, 120, 0, 0)
			}
			late := 0
			for _, at := range f.reached {
				if len(f.crashes) >= 3 && at > f.crashes[2]+3*clock.Second {
					late++
				}
			}
			if late > 3 {
				t.Errorf("%d daemons, %d at once: the request reached upstreams %d times later than 3 s after its third crash", daemons, atOnce, late)
			}
		}
	}
}

// TestBurstsOfTwoBadPartsAreBlocked guards against two parts that crash upstreams at the same moments,
// in different requests, and are not told apart: ten crashes make one of them known by the fifth.
func TestBurstsOfTwoBadPartsAreBlocked(t *testing.T) {
	for _, size := range []int{4, 6, 12, 50} {
		for seed := range uint64(4) {
			f := newFleet(seed, 3, 10)
			f.badParts = 2
			f.play(6*clock.Second, 20, 0, 0)
			for range 8 {
				f.sendBurst(size)
				f.play(4*clock.Second, 20, 0, 0)
			}
			late := 0
			for _, at := range f.reached {
				if len(f.crashes) >= 10 && at > f.crashes[9]+3*clock.Second {
					late++
				}
			}
			if late > 6 {
				t.Errorf("bursts of %d, seed %d: %d requests with the parts reached upstreams later than 3 s after the tenth crash; %d crashes", size, seed, late, len(f.crashes))
			}
		}
	}
}
