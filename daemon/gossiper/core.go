package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
)

// Times of the protocol.
const (
	// TickInterval is the time between two probes.
	TickInterval = 1 * clock.Second
	// suspicionTime is how long a suspected member has to prove itself.
	suspicionTime = 5 * clock.Second
	// regionSilence is how long nothing may come from another region before
	// all of its members are suspected at once.
	regionSilence = 10 * clock.Second
	// pauseTime is the gap between ticks that shows that this process was
	// stopped for a while.
	pauseTime = 5 * clock.Second
	// rejoinInterval is the time between two tries to reach a dead member.
	rejoinInterval = 5 * clock.Second
	// repairInterval is the time between two comparisons of all rows.
	repairInterval = 30 * clock.Second
	// reportInterval is the least time between two reports of load.
	reportInterval = 2 * clock.Second
	// tombstoneTime is how long a dead member is remembered, so that a region
	// that was cut off is found again.
	tombstoneTime = 6 * clock.Hour
)

// Sizes of the protocol.
const (
	// helpers is the number of members asked to probe for this one.
	helpers = 3
	// delegates is the number of members of a region that talk to other ones.
	delegates = 2
	// joinsAtOnce bounds the addresses tried by a daemon that knows nobody.
	joinsAtOnce = 8
	// maxUpdates bounds the rows of a packet that is not whole.
	maxUpdates = 8
	// resends times the logarithm of the members is how often a row is sent.
	resends = 3
	// loadStep is the least change of load that is told.
	loadStep = 0.05
)

// Core decides whom to probe, whom to believe dead and what to tell whom. It
// is pure: all time and all news come in messages. Create it with NewCore.
type Core struct {
	self   Member
	random *rand.Rand
	// rows holds every other daemon that is known, by name, dead ones included.
	rows map[string]*row
	// news are the rows that still have to be told to others.
	news news
	// order is the rest of the present round of probes in the own region.
	order []string
	// remote is the rest of the present round of probes in other regions.
	remote []string
	seeds  []string
	// changed are the rows whose state has changed in this call of Handle.
	changed []Member
	// reported is what is known of this daemon's load before it is told.
	reported Report

	started    clock.Millis
	lastTick   clock.Millis
	lastRejoin clock.Millis
	lastRepair clock.Millis
	lastReport clock.Millis
}

// row is what is known of another daemon.
type row struct {
	Member
	// since is when the row got its state.
	since clock.Millis
	// proved is when the daemon last answered or called this one itself.
	proved clock.Millis
	// digest is what it last told of its rows.
	digest uint64
}

// NewCore returns a core that knows only this daemon. Equal seeds and
// messages lead to equal effects.
func NewCore(self Member, now clock.Millis, seed uint64) *Core {
	self.State = Alive
	self.Heard = now
	return &Core{
		self: self, random: rand.New(rand.NewPCG(seed, 0)), rows: map[string]*row{}, news: news{},
		started: now, lastTick: now, lastRejoin: now - rejoinInterval, lastRepair: now,
	}
}

// Handle takes one message at the reading now and returns what to do.
func (c *Core) Handle(now clock.Millis, m Message) []Effect {
	effects := c.dispatch(now, m)
	for _, changed := range c.changed {
		effects = append(effects, Changed{changed})
	}
	c.changed = nil
	return effects
}

func (c *Core) dispatch(now clock.Millis, m Message) []Effect {
	switch m := m.(type) {
	case Tick:
		return c.tick(now)
	case Seeds:
		c.seeds = slices.Clone(m.Addresses)
	case Received:
		return []Effect{Reply{c.received(now, m.Packet)}}
	case Answered:
		return c.answered(now, m.Packet)
	case Missed:
		return c.missed(now, m.Name)
	case Unreached:
		c.suspect(now, m.Name)
	case Reached:
		c.reached(now, m.Name)
	case Report:
		c.reported = m
		c.tellReport(now)
	case Leave:
		return c.tellAll(now, Leaving)
	case Stop:
		return c.tellAll(now, Dead)
	}
	return nil
}

// Self returns this daemon's own row.
func (c *Core) Self() Member { return c.self }

// Members returns all rows that are not dead, this daemon's included, sorted
// by name.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, r := range c.rows {
		if r.State != Dead {
			members = append(members, r.Member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// Known returns all rows, the dead ones included, sorted by name.
func (c *Core) Known() []Member {
	members := []Member{c.self}
	for _, r := range c.rows {
		members = append(members, r.Member)
	}
	slices.SortFunc(members, byName)
	return members
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// Proved returns when this daemon last exchanged a packet with any other, and
// false where it never did.
func (c *Core) Proved() (last clock.Millis, found bool) {
	for _, r := range c.rows {
		if r.proved > last {
			last, found = r.proved, true
		}
	}
	return last, found
}

// packet returns a packet with the news that are due.
func (c *Core) packet(to string, whole bool) Packet {
	p := Packet{Sender: c.self, Whole: whole, Digest: c.digest()}
	if whole {
		for _, name := range c.names() {
			p.Updates = append(p.Updates, c.rows[name].Member)
		}
		return p
	}
	if r, found := c.rows[to]; found && r.State != Alive && r.State != Leaving {
		// Whoever is doubted is told so first, for it alone can refute that.
		p.Updates = append(p.Updates, r.Member)
	}
	for _, name := range c.news.take(maxUpdates, c.resendLimit()) {
		if r, found := c.rows[name]; found && name != to {
			p.Updates = append(p.Updates, r.Member)
		}
	}
	return p
}

func (c *Core) resendLimit() int {
	limit := resends
	for n := len(c.rows); n > 0; n /= 2 {
		limit += resends
	}
	return limit
}

// names returns the names of all other daemons, sorted.
func (c *Core) names() []string {
	names := make([]string, 0, len(c.rows))
	for name := range c.rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// digest sums up names, incarnations and states in any order.
func (c *Core) digest() uint64 {
	sum := digestOf(c.self)
	for _, r := range c.rows {
		if r.State != Dead {
			sum += digestOf(r.Member)
		}
	}
	return sum
}

func digestOf(m Member) uint64 {
	const prime = 0x9E3779B97F4A7C15
	return (xxhash.Sum64String(m.Name)^uint64(m.Incarnation))*prime + uint64(m.State)
}
