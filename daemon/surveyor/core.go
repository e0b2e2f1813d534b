// Package surveyor judges whether this daemon has a path to the upstreams. It goes by
// what requests meet, and opens connections of its own only under suspicion and while the
// daemon is cut off.
package surveyor

import (
	"maps"
	"math/rand/v2"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Timing.
const (
	// TickInterval is the time between two ticks.
	TickInterval = 100 * clock.Millisecond
	// DialTimeout is how long a dial may take. It is shorter than tuner.DialTimeout:
	// what is asked is whether any of several upstreams answers.
	DialTimeout = 300 * clock.Millisecond
	// VerdictTime is the longest time from the first failure that is reported since
	// anything was reached to the verdict that this daemon is cut off: quietTime, a tick,
	// one dial, and the dials that confirm it.
	VerdictTime = quietTime + TickInterval + 2*DialTimeout
	// RecoveryTime is the longest time from the end of a cut to the start of the dial that
	// finds it.
	RecoveryTime = dialInterval + TickInterval
	// quietTime is how long nothing may have been reached before failures raise suspicion.
	quietTime = 500 * clock.Millisecond
	// evidenceLifetime is how long a failure counts, and beliefLifetime how long a cut is
	// believed after a dial confirmed it. A process that stood still finds both too old.
	evidenceLifetime = 2 * clock.Second
	beliefLifetime   = 2 * clock.Second
	// maxDialAge is the age above which the failure of a dial says more of this process
	// than of the upstream.
	maxDialAge = DialTimeout + 300*clock.Millisecond
	// dialInterval is the time between dials while cut off.
	dialInterval = 500 * clock.Millisecond
)

// Numbers of upstreams.
const (
	// minUpstreams is the least number of upstreams that can tell a cut from a failure of
	// their own.
	minUpstreams = 2
	// confirmingDials is the number of upstreams whose dials confirm a cut, or all where
	// there are fewer.
	confirmingDials = 4
	// cutDials is the number of upstreams that are dialled each dialInterval while cut off.
	cutDials = 2
)

// Core judges by evidence from upstreams with distinct addresses. This daemon is taken to
// be cut off if failures were reported since anything was reached, nothing was reached for
// quietTime, and dials to confirmingDials upstreams, spread over failure domains, failed as
// well. Anything that is reached ends suspicion and cut at once. It does no I/O
// and is not safe for concurrent use. Create it with NewCore.
type Core struct {
	region string
	random *rand.Rand
	// reachedAt is when an upstream was reached last, 0 for never, and lastReached its name.
	reachedAt   clock.Millis
	lastReached string
	// unreached holds when a failure of an upstream was reported last since reachedAt, by name.
	unreached map[string]clock.Millis
	// dialing and failed hold the dials in progress and those that failed since reachedAt, by
	// address.
	dialing, failed map[string]dial
	// addresses is the number of distinct addresses of upstreams at the last tick.
	addresses int

	cutOff bool
	// changedAt is when cutOff changed last, confirmedAt when a dial last failed while it is
	// set, and dialedAt when dials last began.
	changedAt, confirmedAt, dialedAt clock.Millis
}

type dial struct {
	upstream string
	domain   string
	started  clock.Millis
}

// NewCore returns a core that believes in a path. Upstreams of the region are dialled first.
// Equal seeds and messages lead to equal effects.
func NewCore(region string, seed uint64) *Core {
	return &Core{
		region: region, random: rand.New(rand.NewPCG(seed, 0)),
		unreached: map[string]clock.Millis{}, dialing: map[string]dial{}, failed: map[string]dial{},
	}
}

// CutOff reports whether this daemon is taken to have no path to any upstream at the time
// now.
func (c *Core) CutOff(now clock.Millis) bool {
	return c.cutOff && now-c.confirmedAt <= beliefLifetime
}

// Step handles one message at the time now and returns the effects.
func (c *Core) Step(now clock.Millis, message Message) []Effect {
	switch m := message.(type) {
	case Reached:
		return c.reach(now, m.Upstream, "an upstream answered")
	case Unreached:
		c.unreached[m.Upstream] = now
	case DialEnded:
		return c.handleDial(now, m)
	case Tick:
		return c.tick(now, m.Upstreams)
	}
	return nil
}

// reach drops all evidence of a cut.
func (c *Core) reach(now clock.Millis, upstream, reason string) []Effect {
	effects := c.endCut(now, upstream, reason)
	c.reachedAt, c.lastReached = now, upstream
	c.dropEvidence()
	return effects
}

func (c *Core) dropEvidence() {
	clear(c.unreached)
	clear(c.failed)
}

func (c *Core) endCut(now clock.Millis, upstream, reason string) []Effect {
	if !c.cutOff {
		return nil
	}
	changed := Changed{Reason: reason, Upstream: upstream, LastReached: c.sinceReached(now), Lasted: now - c.changedAt}
	c.cutOff, c.changedAt = false, now
	return []Effect{changed}
}

// sinceReached returns the age of the last success, -1 for none.
func (c *Core) sinceReached(now clock.Millis) clock.Millis {
	if c.reachedAt == 0 {
		return -1
	}
	return now - c.reachedAt
}

// handleDial counts a dial that failed. One that began before the last success, or ended
// long after its timeout, tells nothing.
func (c *Core) handleDial(now clock.Millis, m DialEnded) []Effect {
	ended, found := c.dialing[m.Address]
	if found && ended.started == m.Started {
		delete(c.dialing, m.Address)
	}
	switch {
	case m.Opened:
		return c.reach(now, m.Upstream, "an upstream accepted a connection")
	case !found || ended.started != m.Started || m.Started < c.reachedAt || now-m.Started > maxDialAge:
		return nil
	case c.cutOff:
		c.confirmedAt = now
		return nil
	}
	c.failed[m.Address] = ended
	if len(c.unreached) == 0 || len(c.failed) < c.neededDials() {
		return nil
	}
	changed := Changed{
		CutOff: true, Reason: "requests and dials failed at several upstreams", Lasted: now - c.changedAt, LastReached: c.sinceReached(now),
	}
	for _, name := range slices.Sorted(maps.Keys(c.unreached)) {
		changed.Unreached = append(changed.Unreached, Evidence{name, now - c.unreached[name]})
	}
	for _, address := range slices.Sorted(maps.Keys(c.failed)) {
		changed.Failed = append(changed.Failed, Evidence{c.failed[address].upstream, now - c.failed[address].started})
	}
	c.cutOff, c.changedAt, c.confirmedAt, c.dialedAt = true, now, now, now
	// It may be gone for good.
	c.lastReached = ""
	c.dropEvidence()
	return []Effect{changed}
}

// neededDials returns the number of dials that confirm a cut.
func (c *Core) neededDials() int { return max(min(c.addresses, confirmingDials), minUpstreams) }

// tick drops old evidence and returns the dials that are due.
func (c *Core) tick(now clock.Millis, upstreams []inventory.Upstream) []Effect {
	c.expire(now)
	if c.cutOff && !c.CutOff(now) {
		return c.endCut(now, "", "the evidence is old")
	}
	if c.missingDials(now) <= 0 {
		return nil
	}
	candidates := c.candidates(upstreams)
	c.addresses = len(candidates)
	if c.addresses < minUpstreams {
		return c.endCut(now, "", "too few upstreams are in force to tell")
	}
	return c.startDials(now, candidates, c.missingDials(now))
}

// missingDials returns how many dials are to be started. The first failure leads to one;
// the others follow once a second upstream has failed.
func (c *Core) missingDials(now clock.Millis) int {
	switch {
	case c.cutOff && now-c.dialedAt < dialInterval:
		return 0
	case c.cutOff:
		return cutDials - len(c.dialing)
	case len(c.unreached) == 0 || now-c.reachedAt < quietTime:
		return 0
	case len(c.unreached)+len(c.failed) < minUpstreams:
		return 1 - len(c.dialing)
	default:
		return c.neededDials() - len(c.failed) - len(c.dialing)
	}
}

// expire drops evidence that is too old, and forgets dials whose end would come too late.
func (c *Core) expire(now clock.Millis) {
	maps.DeleteFunc(c.unreached, func(_ string, at clock.Millis) bool { return now-at > evidenceLifetime })
	maps.DeleteFunc(c.failed, func(_ string, d dial) bool { return len(c.unreached) == 0 || now-d.started > evidenceLifetime })
	maps.DeleteFunc(c.dialing, func(_ string, d dial) bool { return now-d.started > maxDialAge })
}

// candidates returns one upstream of each address, in random order.
func (c *Core) candidates(upstreams []inventory.Upstream) (candidates []inventory.Upstream) {
	seen := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		if !u.Leaving && !seen[u.Address] {
			seen[u.Address] = true
			candidates = append(candidates, u)
		}
	}
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// startDials returns dials to at most count candidates. Of several the last one goes to
// another region, so that a region whose upstreams are all gone is not taken for a cut.
func (c *Core) startDials(now clock.Millis, candidates []inventory.Upstream, count int) (effects []Effect) {
	for i := range count {
		u, found := c.choose(candidates, count > 1 && i == count-1)
		if !found {
			break
		}
		c.dialing[u.Address] = dial{upstream: u.Name, domain: domainOf(u), started: now}
		effects = append(effects, Dial{Upstream: u.Name, Address: u.Address})
	}
	c.dialedAt = now
	return effects
}

// choose returns the first of the best candidates that were not dialled yet: those without
// a failure, then the one that was reached last, then those in the own region or, with
// remote, in another, then those in failure domains that were not dialled yet.
func (c *Core) choose(candidates []inventory.Upstream, remote bool) (best inventory.Upstream, found bool) {
	domains := map[string]bool{}
	for _, dials := range []map[string]dial{c.dialing, c.failed} {
		for _, d := range dials {
			domains[d.domain] = true
		}
	}
	const unreachedRank, olderRank, regionRank, domainRank = 8, 4, 2, 1
	bestRank := 0
	for _, u := range candidates {
		if c.wasDialled(u.Address) {
			continue
		}
		rank := 0
		if _, unreached := c.unreached[u.Name]; unreached {
			rank += unreachedRank
		}
		if u.Name != c.lastReached {
			rank += olderRank
		}
		if (u.Region != c.region) != remote {
			rank += regionRank
		}
		if domains[domainOf(u)] {
			rank += domainRank
		}
		if !found || rank < bestRank {
			best, bestRank, found = u, rank, true
		}
	}
	return best, found
}

func domainOf(u inventory.Upstream) string { return u.Region + "/" + u.FailureDomain }

func (c *Core) wasDialled(address string) bool {
	_, inProgress := c.dialing[address]
	_, failed := c.failed[address]
	return inProgress || failed
}
