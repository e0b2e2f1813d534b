package gossiper

import "yuccaspread/common/clock"

// A comparison brings two member tables together: the caller sends a hash of each
// member that it knows, the reply holds the members that differ and the hashes of the
// receiver, and the caller sends what the receiver lacks.

// compareDue reports whether a comparison may be started.
func (c *Core) compareDue(now clock.Millis) bool {
	return c.joining(now) || now-c.lastCompare >= compareInterval
}

// buildComparison returns a packet with the hashes of all members and, for a reply, the
// members whose hash the other daemon lacks.
func (c *Core) buildComparison(now clock.Millis, known []uint64) Packet {
	p := c.newPacket(now)
	p.Known = append(p.Known, memberDigest(c.self))
	for _, name := range c.peerNames() {
		p.Known = append(p.Known, memberDigest(c.peers[name].Member))
	}
	if known != nil {
		p.Updates, p.Compared = c.missingMembers(known), true
	}
	return p
}

// sendMissing returns the exchange with the members that a peer lacks, if any.
func (c *Core) sendMissing(now clock.Millis, peer *peerState, known []uint64) []Effect {
	missing := c.missingMembers(known)
	if len(missing) == 0 {
		return nil
	}
	p := c.newPacket(now)
	p.Updates, p.Compared = missing, true
	return []Effect{Exchange{Name: peer.Name, Address: peer.PeerListen, Packet: p}}
}

// missingMembers returns at most maxComparedMembers peers whose hash is not among the
// known ones. It chooses at random, so that daemons that ask at once learn different
// parts, and takes live members first.
func (c *Core) missingMembers(known []uint64) (missing []Member) {
	isKnown := make(map[uint64]bool, len(known))
	for _, hash := range known {
		isKnown[hash] = true
	}
	var dead []Member
	for _, name := range c.peerNames() {
		switch m := c.peers[name].Member; {
		case isKnown[memberDigest(m)]:
		case m.State == Dead:
			dead = append(dead, m)
		default:
			missing = append(missing, m)
		}
	}
	c.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	missing = append(missing, dead...)
	return missing[:min(len(missing), maxComparedMembers)]
}
