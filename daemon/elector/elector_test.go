package elector_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/elector"
)

const span = 1000 * clock.Millisecond

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// table is a faulty table with the one row.
type table struct {
	version int64
	lease   elector.Lease
	down    bool
}

// late is a write that has been sent and not taken effect.
type late struct {
	from  int
	write elector.Write
}

// contender is an elector with a clock of its own rate.
type contender struct {
	elector.Elector
	rate   float64
	offset clock.Millis
	paused int
	// reply waits to be delivered.
	reply elector.Message
}

func (c *contender) now(at int) clock.Millis {
	return c.offset + clock.Millis(float64(at)*c.rate)
}

func (t *table) apply(w elector.Write) bool {
	if w.Version != t.version {
		return false
	}
	t.version++
	t.lease = w.Lease
	return true
}

// run executes an effect with the drawn fault.
func (t *table) run(c *contender, id, at int, effect elector.Effect, fault int, lates *[]late) elector.Message {
	now := c.now(at)
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
			*lates = append(*lates, late{id, e})
			return elector.WriteDone{At: now, Unknown: true}
		}
		if t.apply(e) {
			return elector.WriteDone{At: now, Applied: true, Version: t.version}
		}
		return elector.WriteDone{At: now}
	}
	return nil
}

// TestOneLeaderAtATime runs three contenders with clock rates half a percent
// off through pauses, lost replies, late writes and outages.
func TestOneLeaderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]*contender, 3)
		for i := range all {
			all[i] = &contender{
				Elector: elector.Elector{Name: string(rune('a' + i)), Span: span},
				rate:    1 + float64(rapid.IntRange(-5, 5).Draw(t, "rate"))/1000,
				offset:  clock.Millis(rapid.IntRange(1, 100_000).Draw(t, "offset")),
			}
		}
		var tab table
		var lates []late
		leaders := map[int64]int{}
		for at := 0; at < 12_000; at += 50 {
			if rapid.IntRange(0, 99).Draw(t, "outage") == 0 {
				tab.down = !tab.down
			}
			if len(lates) > 0 && rapid.IntRange(0, 9).Draw(t, "arrives") == 0 {
				tab.apply(lates[0].write)
				lates = lates[1:]
			}
			holders := 0
			for id, c := range all {
				if c.paused > at {
					// A paused process acts on nothing, yet believes what it did.
					continue
				}
				if rapid.IntRange(0, 79).Draw(t, "pause") == 0 {
					c.paused = at + rapid.IntRange(0, 3000).Draw(t, "span")
					continue
				}
				message := c.reply
				c.reply = nil
				if message == nil {
					message = elector.Tick{At: c.now(at)}
				}
				if effect := c.Step(message); effect != nil {
					c.reply = tab.run(c, id, at, effect, rapid.IntRange(0, 12).Draw(t, "fault"), &lates)
				}
				if !c.Leads(c.now(at), 0) {
					continue
				}
				holders++
				if first, found := leaders[c.Epoch()]; found && first != id {
					t.Fatalf("epoch %d has the leaders %d and %d", c.Epoch(), first, id)
				}
				leaders[c.Epoch()] = id
			}
			for _, c := range all {
				if c.paused > at && c.Leads(c.now(at), 0) {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("%d leaders at %d", holders, at)
			}
		}
	})
}

// settle runs one contender against a sound table for a while.
func settle(c *contender, tab *table, from, to int) {
	var lates []late
	for at := from; at < to; at += 50 {
		message := c.reply
		c.reply = nil
		if message == nil {
			message = elector.Tick{At: c.now(at)}
		}
		if effect := c.Step(message); effect != nil {
			c.reply = tab.run(c, 0, at, effect, 0, &lates)
		}
	}
}

func TestLeadershipPassesOn(t *testing.T) {
	var tab table
	a := &contender{Elector: elector.Elector{Name: "a", Span: span}, rate: 1, offset: 1}
	b := &contender{Elector: elector.Elector{Name: "b", Span: span}, rate: 1, offset: 1}
	settle(a, &tab, 0, 500)
	settle(b, &tab, 0, 500)
	if !a.Leads(a.now(500), 0) || b.Leads(b.now(500), 0) {
		t.Fatal("the first contender does not lead alone")
	}
	settle(b, &tab, 500, 3000)
	if !b.Leads(b.now(3000), 0) || b.Epoch() != 2 {
		t.Fatalf("the second contender does not lead after the first lapsed, epoch %d", b.Epoch())
	}
	b.reply = elector.Resign{At: b.now(3000)}
	settle(b, &tab, 3000, 3500)
	settle(a, &tab, 3500, 4000)
	if !a.Leads(a.now(4000), 0) || a.Epoch() != 3 {
		t.Fatalf("a planned stop does not pass leadership on at once, epoch %d", a.Epoch())
	}
}

func TestHolderLapsesWithoutTheTable(t *testing.T) {
	var tab table
	a := &contender{Elector: elector.Elector{Name: "a", Span: span}, rate: 1, offset: 1}
	settle(a, &tab, 0, 500)
	tab.down = true
	settle(a, &tab, 500, 2000)
	if a.Leads(a.now(2000), 0) {
		t.Fatal("leads without the table")
	}
	tab.down = false
	settle(a, &tab, 2000, 3000)
	if !a.Leads(a.now(3000), 0) || a.Epoch() != 2 {
		t.Fatalf("does not lead again with a new epoch, epoch %d", a.Epoch())
	}
}
