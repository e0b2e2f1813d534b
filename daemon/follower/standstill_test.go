package follower

import (
	"context"
	"testing"

	"yuccaspread/common/clock"
)

// lateRegister is a register whose replies are read late.
type lateRegister struct {
	clock *manualClock
	// waited is how long a call takes until its reply is sent, and late how much later the reply
	// is read.
	waited, late clock.Millis
	rows         []Row
}

func (r lateRegister) List(context.Context, string) (rows []Row, version Version, err error) {
	r.clock.now += r.waited + r.late
	return r.rows, 1, nil
}

func (r lateRegister) Changes(context.Context, string, Version, clock.Millis) (rows []Row, version Version, err error) {
	r.clock.now += r.waited + r.late
	return r.rows, 1, nil
}

// TestReplyThatIsReadLateConfirmsNothingLater guards against a daemon that takes its rows for
// current, and says so to its peers, because it read an old reply of the register late.
func TestReplyThatIsReadLateConfirmsNothingLater(t *testing.T) {
	const start, wait = 10_000, 1600
	row := newContentRow('x', "a", 1)
	for name, c := range map[string]struct {
		register lateRegister
		position Version
		want     clock.Millis
	}{
		"without changes":       {lateRegister{waited: wait, late: 5000}, 1, start + wait},
		"without changes, soon": {lateRegister{waited: 4}, 1, start + 4},
		"with changes":          {lateRegister{waited: 100, late: 5000, rows: []Row{row}}, 1, start},
		"listing":               {lateRegister{waited: 4, late: 5000}, positionUnlisted, start},
	} {
		f := newIdleFollower()
		now := &manualClock{now: start}
		c.register.clock = now
		f.Clock, f.Register, f.ApplyBound = now, c.register, 4000
		f.bootTime = func() clock.Millis { return 1 }
		if _, _, err := f.readOnce(t.Context(), "t", c.position, callTiming{wait: wait, margin: 1000}); err != nil {
			t.Fatal(err)
		}
		if at := f.freshness["t"].confirmedAt; at != c.want {
			t.Errorf("%s: confirmed as of %d, want %d", name, at, c.want)
		}
	}
}

// TestNothingIsConfirmedAfterAStandstill guards against ages that don't count the time for which
// the process stood still, or its VM was suspended: of what is known, and of messages that waited.
func TestNothingIsConfirmedAfterAStandstill(t *testing.T) {
	for name, steadyClockGoesOn := range map[string]bool{"stopped": true, "suspended": false} {
		now, boot := &manualClock{now: 10_000}, clock.Millis(50_000)
		f, peer := newIdleFollower(), newIdleFollower()
		pass := func(span clock.Millis, steady bool) {
			boot += span
			if steady {
				now.now += span
			}
		}
		for _, d := range []*Follower{f, peer} {
			d.Clock, d.ApplyBound, d.bootTime = now, 4000, func() clock.Millis { return boot }
			d.replica.ApplyListing("t", []Row{newContentRow('x', "a", 1)}, 1)
			d.checkStandstill()
		}
		hear := func() (confirmedMSAgo int64) {
			peer.checkStandstill()
			peer.freshness["t"].confirm(now.now-1, "reader")
			f.noteConfirmations(peer.knownVersions())
			return f.knownVersions()[1].GetConfirmedMsAgo()
		}
		if hear() != 1 {
			t.Fatalf("%s: not confirmed before the standstill", name)
		}
		pass(5000, steadyClockGoesOn)
		if ago := hear(); ago != 0 {
			t.Errorf("%s: the peer's word that came meanwhile is believed, %d ms old", name, ago)
		}
		for range syncTimeout / standstillTick {
			pass(standstillTick, true)
			f.checkStandstill()
		}
		pass(standstillTick, true)
		if hear() != 1 {
			t.Errorf("%s: a later word of the peer is not believed", name)
		}
	}
}
