package gossiper

import (
	"math"

	"yuccaspread/common/clock"
)

// received merges the packet of a caller and returns the reply.
func (c *Core) received(now clock.Millis, p Packet) Packet {
	c.mergePacket(now, p)
	return c.packet(p.Sender.Name, p.Whole)
}

// answered merges a reply; rows that differ are compared whole.
func (c *Core) answered(now clock.Millis, p Packet) []Effect {
	c.mergePacket(now, p)
	r, found := c.rows[p.Sender.Name]
	if !found || p.Whole || p.Digest == c.digest() || now-c.lastRepair < repairInterval {
		return nil
	}
	c.lastRepair = now
	return []Effect{c.exchange(r, true)}
}

func (c *Core) mergePacket(now clock.Millis, p Packet) {
	for _, m := range p.Updates {
		c.merge(now, m)
	}
	c.merge(now, p.Sender)
	if r, found := c.rows[p.Sender.Name]; found && r.Incarnation == p.Sender.Incarnation {
		r.proved = now
		r.Heard = now
		r.digest = p.Digest
	}
}

// merge takes over what is newer in m than in the row that is known.
func (c *Core) merge(now clock.Millis, m Member) {
	m.Heard = now
	if m.Name == c.self.Name {
		c.refute(now, m)
		return
	}
	old, found := c.rows[m.Name]
	switch {
	case !found:
		c.rows[m.Name] = &row{Member: m, since: now}
		c.changed = append(c.changed, m)
		if m.State != Dead {
			c.news.add(m.Name, false)
		}
	case m.Incarnation > old.Incarnation,
		m.Incarnation == old.Incarnation && m.State > old.State:
		if m.State != old.State {
			c.changed = append(c.changed, m)
		}
		old.Member = m
		old.since = now
		c.news.add(m.Name, false)
	case m.Incarnation == old.Incarnation && m.State == old.State && m.Beat > old.Beat:
		old.Member = m
		// Load and revision are told on inside of the member's region alone.
		if m.Region == c.self.Region {
			c.news.add(m.Name, true)
		}
	}
}

// refute answers a rumour about this daemon by a higher incarnation. An
// earlier process of the same name is overruled in the same way.
func (c *Core) refute(now clock.Millis, m Member) {
	same := m.Incarnation == c.self.Incarnation && m.State <= c.self.State && m.PeerListen == c.self.PeerListen
	if m.Incarnation < c.self.Incarnation || same && m.State != Suspect {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
	c.self.Heard = now
}

// turn changes this daemon's own state.
func (c *Core) turn(now clock.Millis, state State) {
	if c.self.State >= state {
		return
	}
	c.self.State = state
	c.self.Incarnation++
	c.self.Heard = now
}

// tellReport raises the beat where load or revision changed enough.
func (c *Core) tellReport(now clock.Millis) {
	step := math.Abs(c.reported.Load-c.self.Load) >= loadStep
	if !step && c.reported.Revision == c.self.Revision {
		return
	}
	if now-c.lastReport < reportInterval && c.lastReport > 0 {
		return
	}
	c.lastReport = now
	c.self.Load = c.reported.Load
	c.self.Revision = c.reported.Revision
	c.self.Beat++
	c.self.Heard = now
}

// tellAll takes on a state that ends the membership and tells it at once to
// every member of the region and to those who talk for the other regions.
func (c *Core) tellAll(now clock.Millis, state State) (effects []Effect) {
	c.turn(now, state)
	for _, name := range c.names() {
		r := c.rows[name]
		if r.State != Dead && r.Region == c.self.Region {
			effects = append(effects, c.exchange(r, false))
		}
	}
	for _, name := range c.remoteDelegates() {
		effects = append(effects, c.exchange(c.rows[name], false))
	}
	return effects
}
