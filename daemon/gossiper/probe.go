package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
)

// handleTick returns the probes that are due and ends the suspicions that have
// timed out.
func (c *Core) handleTick(now clock.Millis) (effects []Effect) {
	if now-c.lastTick > pauseThreshold {
		c.recoverFromPause(now)
	}
	c.lastTick = now
	c.self.LastHeard = now
	c.publishReport(now)
	c.expire(now)
	if peer := c.nextProbeTarget(&c.regionRound, c.regionPeerNames); peer != nil {
		effects = append(effects, c.newExchange(now, peer))
	}
	if c.isDelegate() {
		c.suspectSilentRegions(now)
		if peer := c.nextProbeTarget(&c.remoteRound, c.remoteDelegates); peer != nil {
			effects = append(effects, c.newExchange(now, peer))
		}
	}
	if peer := c.missingPeer(now); peer != nil {
		effects = append(effects, c.newExchange(now, peer))
	}
	if now-c.lastRejoin >= rejoinInterval || len(c.Members()) == 1 {
		c.lastRejoin = now
		effects = append(effects, c.rejoin(now)...)
	}
	return effects
}

// missingPeer returns a random peer of the own region that is suspected, or has been dead for less than
// restartTime; nil for none. It may be back, and know nobody.
func (c *Core) missingPeer(now clock.Millis) *peerState {
	names := c.filterPeerNames(func(m Member) bool {
		return m.Region == c.self.Region &&
			(m.State == Suspect || m.State == Dead && now-c.peers[m.Name].stateSince < restartTime)
	})
	if len(names) == 0 {
		return nil
	}
	return c.peers[names[c.random.IntN(len(names))]]
}

// recoverFromPause is called after this process was suspended: others may have
// declared it dead, and its own suspicions rest on replies that it could not
// receive.
func (c *Core) recoverFromPause(now clock.Millis) {
	c.self.Incarnation++
	for _, peer := range c.peers {
		if peer.State == Suspect {
			peer.stateSince = now
		}
		peer.LastHeard = now
	}
}

// newExchange returns the effect that probes the peer.
func (c *Core) newExchange(now clock.Millis, peer *peerState) Effect {
	return Exchange{Name: peer.Name, Address: peer.PeerListen, Packet: c.buildPacket(now, peer.Name)}
}

// nextProbeTarget removes the next peer that is not dead from the round and
// returns it; nil if there is none. An empty round is refilled in random order,
// so that each member is probed within two rounds.
func (c *Core) nextProbeTarget(round *[]string, refill func() []string) *peerState {
	if len(*round) == 0 {
		*round = refill()
		c.random.Shuffle(len(*round), func(i, j int) {
			(*round)[i], (*round)[j] = (*round)[j], (*round)[i]
		})
	}
	for len(*round) > 0 {
		name := (*round)[0]
		*round = (*round)[1:]
		if peer, found := c.peers[name]; found && peer.State != Dead {
			return peer
		}
	}
	return nil
}

// regionPeerNames returns the names of the peers of the own region that are not
// dead.
func (c *Core) regionPeerNames() []string {
	return c.filterPeerNames(func(m Member) bool { return m.State != Dead && m.Region == c.self.Region })
}

func (c *Core) filterPeerNames(keep func(Member) bool) (names []string) {
	for _, name := range c.peerNames() {
		if keep(c.peers[name].Member) {
			names = append(names, name)
		}
	}
	return names
}

// isDelegate reports whether this daemon exchanges packets with other regions.
func (c *Core) isDelegate() bool {
	return slices.Contains(c.delegatesOf(c.self.Region), c.self.Name)
}

// delegatesOf returns the names of the delegates of a region: the first of its
// members that are alive or leaving, ordered by a hash of their names, so that
// all daemons choose the same ones.
func (c *Core) delegatesOf(region string) []string {
	var names []string
	for _, m := range c.Members() {
		if m.Region == region && (m.State == Alive || m.State == Leaving) {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return names[:min(delegatesPerRegion, len(names))]
}

// remoteDelegates returns the names of the delegates of all other regions.
func (c *Core) remoteDelegates() (names []string) {
	for _, region := range c.regions() {
		if region != c.self.Region {
			names = append(names, c.delegatesOf(region)...)
		}
	}
	return names
}

func (c *Core) regions() (regions []string) {
	for _, m := range c.Members() {
		regions = append(regions, m.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// handleExchangeFailure returns an indirect probe of the member, or suspects
// the member if no other one is alive that could probe it.
func (c *Core) handleExchangeFailure(now clock.Millis, name string) []Effect {
	peer, found := c.peers[name]
	if !found || peer.State == Dead {
		return nil
	}
	var helperAddresses []string
	for _, name := range c.filterPeerNames(func(m Member) bool {
		return m.State == Alive && m.Name != name && (m.Region == c.self.Region || m.Region == peer.Region)
	}) {
		helperAddresses = append(helperAddresses, c.peers[name].PeerListen)
	}
	if len(helperAddresses) == 0 {
		c.suspect(now, name)
		return nil
	}
	c.random.Shuffle(len(helperAddresses), func(i, j int) { helperAddresses[i], helperAddresses[j] = helperAddresses[j], helperAddresses[i] })
	return []Effect{IndirectProbe{Name: name, Address: peer.PeerListen, Helpers: helperAddresses[:min(indirectProbers, len(helperAddresses))]}}
}

// suspect marks an alive member as suspected and a leaving one as dead, since
// that one was about to stop anyway.
func (c *Core) suspect(now clock.Millis, name string) {
	peer, found := c.peers[name]
	if !found {
		return
	}
	switch peer.State {
	case Alive:
		c.setState(now, peer, Suspect)
	case Leaving:
		c.setState(now, peer, Dead)
	case Suspect, Dead:
	}
}

// handleIndirectProbeSuccess records that a helper reached a member which this daemon
// did not reach.
func (c *Core) handleIndirectProbeSuccess(now clock.Millis, name string) {
	if peer, found := c.peers[name]; found {
		peer.LastHeard = now
	}
}

func (c *Core) setState(now clock.Millis, peer *peerState, state State) {
	peer.State = state
	peer.stateSince = now
	c.changedMembers = append(c.changedMembers, peer.Member)
	c.updates.enqueue(peer.Name, false)
}

// expire marks members whose suspicion has timed out as dead and removes those
// that have been dead for tombstoneRetention.
func (c *Core) expire(now clock.Millis) {
	for _, name := range c.peerNames() {
		peer := c.peers[name]
		switch {
		case peer.State == Suspect && now-peer.stateSince >= suspicionTimeout:
			c.setState(now, peer, Dead)
		case peer.State == Dead && now-peer.stateSince >= tombstoneRetention:
			delete(c.peers, name)
			delete(c.updates, name)
		}
	}
}

// suspectSilentRegions suspects all members of a region at once if none of them
// has been heard of for regionSilenceTimeout, so that the members of a region
// that is partitioned off are not declared dead one by one.
func (c *Core) suspectSilentRegions(now clock.Millis) {
	for _, region := range c.regions() {
		if region == c.self.Region || now-c.started < regionSilenceTimeout {
			continue
		}
		names := c.filterPeerNames(func(m Member) bool { return m.Region == region && m.State != Dead })
		silent := !slices.ContainsFunc(names, func(name string) bool {
			return now-c.peers[name].LastHeard < regionSilenceTimeout
		})
		if !silent {
			continue
		}
		for _, name := range names {
			c.suspect(now, name)
		}
	}
}

// rejoin returns a comparison of tables with a random address at which no
// live member is known: a seed or the address of a dead member. A daemon without
// live peers tries up to maxInitialJoins of them.
func (c *Core) rejoin(now clock.Millis) (effects []Effect) {
	liveAddresses := map[string]bool{c.self.PeerListen: true}
	var deadAddresses []string
	for _, name := range c.peerNames() {
		peer := c.peers[name]
		if peer.State != Dead {
			liveAddresses[peer.PeerListen] = true
			continue
		}
		deadAddresses = append(deadAddresses, peer.PeerListen)
	}
	candidates := slices.Concat(c.seeds, deadAddresses)
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return liveAddresses[a] })
	if len(candidates) == 0 {
		return nil
	}
	c.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	count := 1
	if len(liveAddresses) == 1 {
		// Seeds may be dead: with one attempt at a time it could take long to find
		// a live one.
		count = maxInitialJoins
	}
	for _, address := range candidates[:min(count, len(candidates))] {
		effects = append(effects, Exchange{Address: address, Packet: c.buildComparison(now, nil)})
	}
	return effects
}
