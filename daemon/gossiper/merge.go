package gossiper

import (
	"math"

	"yuccaspread/common/clock"
)

// handlePacket merges the packet of another daemon and returns the reply.
func (c *Core) handlePacket(now clock.Millis, p Packet) Packet {
	c.mergePacket(now, p)
	switch {
	case p.FullTable:
		return c.buildFullTable(now)
	case len(p.Known) > 0:
		return c.buildComparison(now, p.Known)
	default:
		return c.buildPacket(now, p.Sender.Name)
	}
}

// handleReply merges a reply. To a comparison it answers with the members that the
// peer lacks; after any other reply it starts one if the tables differ.
func (c *Core) handleReply(now clock.Millis, p Packet) []Effect {
	c.mergePacket(now, p)
	peer, found := c.peers[p.Sender.Name]
	switch {
	case !found:
		return nil
	case len(p.Known) > 0:
		return c.sendMissing(now, peer, p.Known)
	case p.FullTable || p.Digest == c.digest() || !c.compareDue(now):
		return nil
	}
	c.lastCompare = now
	return []Effect{Exchange{Name: peer.Name, Address: peer.PeerListen, Packet: c.buildComparison(now, nil)}}
}

// mergePacket merges what a packet holds. Members that a comparison brings are not
// spread further: whoever lacks them compares too.
func (c *Core) mergePacket(now clock.Millis, p Packet) {
	for _, m := range p.Updates {
		c.merge(now, m, !p.FullTable && !p.Compared)
	}
	c.merge(now, p.Sender, true)
	if peer, found := c.peers[p.Sender.Name]; found && peer.Incarnation == p.Sender.Incarnation {
		peer.lastContact = now
		peer.LastHeard = now
		peer.digest = p.Digest
	}
	c.noteAgreement(now, p)
}

// noteAgreement records whether the sender of a packet has the same table.
func (c *Core) noteAgreement(now clock.Millis, p Packet) {
	if c.settled || p.Digest != c.digest() || len(c.changedMembers) > 0 {
		return
	}
	c.agreements++
	c.settled = p.Settled || c.agreements >= agreeingPackets && now-c.changedAt >= agreementTime
}

// merge replaces what is known of the member m if m is newer. With spread, a member
// that was not known before is sent to others; changes of known ones always are.
func (c *Core) merge(now clock.Millis, m Member, spread bool) {
	m.LastHeard = now
	if m.Name == c.self.Name {
		c.refute(now, m)
		return
	}
	known, found := c.peers[m.Name]
	switch {
	case !found:
		c.peers[m.Name] = &peerState{Member: m, stateSince: now}
		c.changedMembers = append(c.changedMembers, m)
		if m.State != Dead && spread {
			c.updates.enqueue(m.Name, false)
		}
	case m.Incarnation > known.Incarnation,
		m.Incarnation == known.Incarnation && m.State > known.State:
		if m.State != known.State {
			c.changedMembers = append(c.changedMembers, m)
		}
		known.Member = m
		known.stateSince = now
		c.updates.enqueue(m.Name, false)
	case m.Incarnation == known.Incarnation && m.State == known.State:
		c.mergeReport(known, m)
	}
}

// mergeReport replaces what is known of a member by its newer report m. Load and revision
// are forwarded only within the member's own region, and after all other news; a change of
// CutOff is forwarded as a change of state is.
func (c *Core) mergeReport(known *peerState, m Member) {
	urgent := m.CutOff != known.CutOff
	switch {
	case m.ReportVersion > known.ReportVersion:
		known.Member = m
		if urgent || m.Region == c.self.Region {
			c.updates.enqueue(m.Name, !urgent)
		}
	case m.ReportVersion == known.ReportVersion && m.CutOff && urgent:
		// A daemon that doesn't know of cuts passed the row on without it.
		known.CutOff = true
		c.updates.enqueue(m.Name, false)
	}
}

// refute handles m, the entry of this daemon in the table of another one. It
// raises the incarnation of this daemon above that of m if m shows this daemon as
// suspected or in a later state than its own, or if m describes another process
// of the same name: one with a higher incarnation or another address. It ignores
// entries of a lower incarnation.
func (c *Core) refute(now clock.Millis, m Member) {
	matchesSelf := m.Incarnation == c.self.Incarnation && m.State <= c.self.State && m.PeerListen == c.self.PeerListen
	if m.Incarnation < c.self.Incarnation || matchesSelf && m.State != Suspect {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
	c.self.LastHeard = now
}

// setOwnState changes the state of this daemon. A state never goes back to an
// earlier one.
func (c *Core) setOwnState(now clock.Millis, state State) {
	if c.self.State >= state {
		return
	}
	c.self.State = state
	c.self.Incarnation++
	c.self.LastHeard = now
}

// handleReport publishes the local report where that is due, and a change of CutOff at
// once.
func (c *Core) handleReport(now clock.Millis, m Report) []Effect {
	c.localReport = m
	urgent := m.CutOff != c.self.CutOff
	c.publishReport(now)
	if !urgent {
		return nil
	}
	return c.broadcast(now)
}

// publishReport copies the local report to self and raises its version, if
// the revision changed or the load changed by minLoadChange or more, and
// reportInterval has passed since the last time, or if CutOff changed.
func (c *Core) publishReport(now clock.Millis) {
	urgent := c.localReport.CutOff != c.self.CutOff
	loadChanged := math.Abs(c.localReport.Load-c.self.Load) >= minLoadChange
	if !urgent && !loadChanged && c.localReport.Revision == c.self.Revision {
		return
	}
	if !urgent && now-c.lastReport < reportInterval && c.lastReport > 0 {
		return
	}
	c.lastReport = now
	c.self.Load = c.localReport.Load
	c.self.Revision = c.localReport.Revision
	c.self.CutOff = c.localReport.CutOff
	c.self.ReportVersion++
	c.self.LastHeard = now
}

// broadcastState sets the state of this daemon to Leaving or Dead and returns
// the exchanges that send it at once.
func (c *Core) broadcastState(now clock.Millis, state State) (effects []Effect) {
	c.setOwnState(now, state)
	return c.broadcast(now)
}

// broadcast returns the exchanges that send the row of this daemon at once to every
// member of the own region and to the delegates of the other regions.
func (c *Core) broadcast(now clock.Millis) (effects []Effect) {
	for _, name := range c.peerNames() {
		peer := c.peers[name]
		if peer.State != Dead && peer.Region == c.self.Region {
			effects = append(effects, c.newExchange(now, peer))
		}
	}
	for _, name := range c.remoteDelegates() {
		effects = append(effects, c.newExchange(now, c.peers[name]))
	}
	return effects
}
