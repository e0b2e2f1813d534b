package elector_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/elector"
)

const leaseSpan = 1000 * clock.Millisecond

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// table is a table with the lease row and injected faults.
type table struct {
	version int64
	lease   elector.Lease
	down    bool
}

// lateWrite is a write that was sent and has not taken effect yet.
type lateWrite struct {
	from  int
	write elector.Write
}

// contender is an elector whose clock has its own rate and offset.
type contender struct {
	elector.Elector
	rate        float64
	offset      clock.Millis
	pausedUntil int
	// pendingReply is the result of a call that is delivered by the next step.
	pendingReply elector.Message
}

// now returns the contender's clock at a simulated time in milliseconds.
func (c *contender) now(elapsed int) clock.Millis {
	return c.offset + clock.Millis(float64(elapsed)*c.rate)
}

func (t *table) apply(w elector.Write) bool {
	if w.Version != t.version {
		return false
	}
	t.version++
	t.lease = w.Lease
	return true
}

// execute executes an effect with the given fault. Fault 1 fails a read, or loses
// the reply of a write that took effect; fault 2 delays a write.
func (t *table) execute(c *contender, id, elapsed int, effect elector.Effect, fault int, lateWrites *[]lateWrite) elector.Message {
	now := c.now(elapsed)
	switch e := effect.(type) {
	case elector.Read:
		if t.down || fault == 1 {
			return elector.ReadDone{At: now, Failed: true}
		}
		return elector.ReadDone{At: now, Version: t.version, Lease: t.lease}
	case elector.Write:
		switch {
		case t.down:
			return elector.WriteDone{At: now, Unknown: fault > 2}
		case fault == 1:
			t.apply(e)
			return elector.WriteDone{At: now, Unknown: true}
		case fault == 2:
			*lateWrites = append(*lateWrites, lateWrite{id, e})
			return elector.WriteDone{At: now, Unknown: true}
		}
		if t.apply(e) {
			return elector.WriteDone{At: now, Applied: true, Version: t.version}
		}
		return elector.WriteDone{At: now}
	}
	return nil
}

// TestOneLeaderAtATime guards against two leaders at the same time and against an
// epoch with two leaders. It runs three contenders, whose clock rates are up to
// half a percent off, with pauses, lost replies, late writes and table outages.
func TestOneLeaderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contenders := make([]*contender, 3)
		for i := range contenders {
			contenders[i] = &contender{
				Elector: elector.Elector{Name: string(rune('a' + i)), Span: leaseSpan},
				rate:    1 + float64(rapid.IntRange(-5, 5).Draw(t, "rate"))/1000,
				offset:  clock.Millis(rapid.IntRange(1, 100_000).Draw(t, "offset")),
			}
		}
		var leaseTable table
		var lateWrites []lateWrite
		leaderOfEpoch := map[int64]int{}
		for elapsed := 0; elapsed < 12_000; elapsed += 50 {
			if rapid.IntRange(0, 99).Draw(t, "outage") == 0 {
				leaseTable.down = !leaseTable.down
			}
			if len(lateWrites) > 0 && rapid.IntRange(0, 9).Draw(t, "arrives") == 0 {
				leaseTable.apply(lateWrites[0].write)
				lateWrites = lateWrites[1:]
			}
			leading := 0
			for id, c := range contenders {
				if c.pausedUntil > elapsed {
					// A paused process takes no step but keeps its state.
					continue
				}
				if rapid.IntRange(0, 79).Draw(t, "pause") == 0 {
					c.pausedUntil = elapsed + rapid.IntRange(0, 3000).Draw(t, "span")
					continue
				}
				message := c.pendingReply
				c.pendingReply = nil
				if message == nil {
					message = elector.Tick{At: c.now(elapsed)}
				}
				if effect := c.Step(message); effect != nil {
					c.pendingReply = leaseTable.execute(c, id, elapsed, effect, rapid.IntRange(0, 12).Draw(t, "fault"), &lateWrites)
				}
				if !c.Leads(c.now(elapsed), 0) {
					continue
				}
				leading++
				if previous, found := leaderOfEpoch[c.Epoch()]; found && previous != id {
					t.Fatalf("epoch %d has two leaders: contenders %d and %d", c.Epoch(), previous, id)
				}
				leaderOfEpoch[c.Epoch()] = id
			}
			for _, c := range contenders {
				if c.pausedUntil > elapsed && c.Leads(c.now(elapsed), 0) {
					leading++
				}
			}
			if leading > 1 {
				t.Fatalf("%d leaders at the same time, at %d ms", leading, elapsed)
			}
		}
	})
}

// runContender runs one contender without injected faults. from and to are
// simulated times in milliseconds.
func runContender(c *contender, leaseTable *table, from, to int) {
	var lateWrites []lateWrite
	for elapsed := from; elapsed < to; elapsed += 50 {
		message := c.pendingReply
		c.pendingReply = nil
		if message == nil {
			message = elector.Tick{At: c.now(elapsed)}
		}
		if effect := c.Step(message); effect != nil {
			c.pendingReply = leaseTable.execute(c, 0, elapsed, effect, 0, &lateWrites)
		}
	}
}

// TestLeadershipPassesOnAfterLapseAndResignation guards against a lapsed lease that
// no other contender takes with a higher epoch, and against a resignation that
// frees the lease only after its span.
func TestLeadershipPassesOnAfterLapseAndResignation(t *testing.T) {
	var leaseTable table
	a := &contender{Elector: elector.Elector{Name: "a", Span: leaseSpan}, rate: 1, offset: 1}
	b := &contender{Elector: elector.Elector{Name: "b", Span: leaseSpan}, rate: 1, offset: 1}
	runContender(a, &leaseTable, 0, 500)
	runContender(b, &leaseTable, 0, 500)
	if !a.Leads(a.now(500), 0) || b.Leads(b.now(500), 0) {
		t.Fatal("first contender is not the only leader")
	}
	runContender(b, &leaseTable, 500, 3000)
	if !b.Leads(b.now(3000), 0) || b.Epoch() != 2 {
		t.Fatalf("second contender does not lead with epoch 2 after the first lease lapsed, epoch %d", b.Epoch())
	}
	b.pendingReply = elector.Resign{At: b.now(3000)}
	runContender(b, &leaseTable, 3000, 3500)
	runContender(a, &leaseTable, 3500, 4000)
	if !a.Leads(a.now(4000), 0) || a.Epoch() != 3 {
		t.Fatalf("first contender does not lead with epoch 3 after the resignation, epoch %d", a.Epoch())
	}
}

// TestLeadershipLapsesDuringTableOutage guards against a leader that can't renew
// its lease and leads beyond its end, or that leads again with the old epoch.
func TestLeadershipLapsesDuringTableOutage(t *testing.T) {
	var leaseTable table
	a := &contender{Elector: elector.Elector{Name: "a", Span: leaseSpan}, rate: 1, offset: 1}
	runContender(a, &leaseTable, 0, 500)
	leaseTable.down = true
	runContender(a, &leaseTable, 500, 2000)
	if a.Leads(a.now(2000), 0) {
		t.Fatal("still leads after the lease has ended during the outage")
	}
	leaseTable.down = false
	runContender(a, &leaseTable, 2000, 3000)
	if !a.Leads(a.now(3000), 0) || a.Epoch() != 2 {
		t.Fatalf("does not lead with epoch 2 after the outage, epoch %d", a.Epoch())
	}
}
