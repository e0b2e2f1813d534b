package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
)

// tick probes the next members and ends suspicions that ran out.
func (c *Core) tick(now clock.Millis) (effects []Effect) {
	if now-c.lastTick > pauseTime {
		c.resume(now)
	}
	c.lastTick = now
	c.self.Heard = now
	c.tellReport(now)
	c.expire(now)
	if r := c.next(&c.order, c.own); r != nil {
		effects = append(effects, c.exchange(r, false))
	}
	if c.isDelegate() {
		c.doubtSilentRegions(now)
		if r := c.next(&c.remote, c.remoteDelegates); r != nil {
			effects = append(effects, c.exchange(r, false))
		}
	}
	if now-c.lastRejoin >= rejoinInterval || len(c.Members()) == 1 {
		c.lastRejoin = now
		effects = append(effects, c.rejoin()...)
	}
	return effects
}

// resume is called after this process stood still: others may have given it
// up, and its own suspicions rest on replies that it could not take.
func (c *Core) resume(now clock.Millis) {
	c.self.Incarnation++
	for _, r := range c.rows {
		if r.State == Suspect {
			r.since = now
		}
		r.Heard = now
	}
}

// exchange returns the effect that probes the member.
func (c *Core) exchange(r *row, whole bool) Effect {
	return Exchange{Name: r.Name, Address: r.PeerListen, Packet: c.packet(r.Name, whole)}
}

// next takes the next live member of a round and shuffles a new round at its
// end, so that each member is probed within two rounds.
func (c *Core) next(round *[]string, refill func() []string) *row {
	if len(*round) == 0 {
		*round = refill()
		c.random.Shuffle(len(*round), func(i, j int) {
			(*round)[i], (*round)[j] = (*round)[j], (*round)[i]
		})
	}
	for len(*round) > 0 {
		name := (*round)[0]
		*round = (*round)[1:]
		if r, found := c.rows[name]; found && r.State != Dead {
			return r
		}
	}
	return nil
}

// own returns the other members of the own region that are not dead.
func (c *Core) own() []string {
	return c.pick(func(m Member) bool { return m.State != Dead && m.Region == c.self.Region })
}

func (c *Core) pick(keep func(Member) bool) (names []string) {
	for _, name := range c.names() {
		if keep(c.rows[name].Member) {
			names = append(names, name)
		}
	}
	return names
}

// isDelegate tells whether this daemon talks to other regions.
func (c *Core) isDelegate() bool {
	return slices.Contains(c.delegatesOf(c.self.Region), c.self.Name)
}

// delegatesOf returns the members that talk for a region: those that are
// alive there, in an order that all daemons agree on.
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
	return names[:min(delegates, len(names))]
}

// remoteDelegates returns the delegates of all other regions.
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

// missed asks others to probe the member, or suspects it where none can.
func (c *Core) missed(now clock.Millis, name string) []Effect {
	r, found := c.rows[name]
	if !found || r.State == Dead {
		return nil
	}
	var others []string
	for _, name := range c.pick(func(m Member) bool {
		return m.State == Alive && m.Name != name && (m.Region == c.self.Region || m.Region == r.Region)
	}) {
		others = append(others, c.rows[name].PeerListen)
	}
	if len(others) == 0 {
		c.suspect(now, name)
		return nil
	}
	c.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return []Effect{Reach{Name: name, Address: r.PeerListen, Helpers: others[:min(helpers, len(others))]}}
}

// suspect doubts a member. One that leaves is dead at once when it is gone.
func (c *Core) suspect(now clock.Millis, name string) {
	r, found := c.rows[name]
	if !found {
		return
	}
	switch r.State {
	case Alive:
		c.setState(now, r, Suspect)
	case Leaving:
		c.setState(now, r, Dead)
	case Suspect, Dead:
	}
}

// reached notes that a member lives although this daemon did not reach it.
func (c *Core) reached(now clock.Millis, name string) {
	if r, found := c.rows[name]; found {
		r.Heard = now
	}
}

func (c *Core) setState(now clock.Millis, r *row, state State) {
	r.State = state
	r.since = now
	c.changed = append(c.changed, r.Member)
	c.news.add(r.Name, false)
}

// expire ends suspicions and forgets the long dead.
func (c *Core) expire(now clock.Millis) {
	for _, name := range c.names() {
		r := c.rows[name]
		switch {
		case r.State == Suspect && now-r.since >= suspicionTime:
			c.setState(now, r, Dead)
		case r.State == Dead && now-r.since >= tombstoneTime:
			delete(c.rows, name)
			delete(c.news, name)
		}
	}
}

// doubtSilentRegions suspects all members of a region from which nothing has
// come, so that a region that is cut off is not given up one by one.
func (c *Core) doubtSilentRegions(now clock.Millis) {
	for _, region := range c.regions() {
		if region == c.self.Region || now-c.started < regionSilence {
			continue
		}
		names := c.pick(func(m Member) bool { return m.Region == region && m.State != Dead })
		silent := !slices.ContainsFunc(names, func(name string) bool {
			return now-c.rows[name].Heard < regionSilence
		})
		if !silent {
			continue
		}
		for _, name := range names {
			c.suspect(now, name)
		}
	}
}

// rejoin tries one address at which no live member is known: a seed, or a
// member that was taken for dead.
func (c *Core) rejoin() (effects []Effect) {
	live := map[string]bool{c.self.PeerListen: true}
	var lost []string
	for _, name := range c.names() {
		r := c.rows[name]
		if r.State != Dead {
			live[r.PeerListen] = true
			continue
		}
		lost = append(lost, r.PeerListen)
	}
	candidates := slices.Concat(c.seeds, lost)
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return live[a] })
	if len(candidates) == 0 {
		return nil
	}
	c.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	count := 1
	if len(live) == 1 {
		// A daemon that knows nobody tries several at once.
		count = joinsAtOnce
	}
	for _, address := range candidates[:min(count, len(candidates))] {
		effects = append(effects, Exchange{Address: address, Packet: c.packet("", true)})
	}
	return effects
}
