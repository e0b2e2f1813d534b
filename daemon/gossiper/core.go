package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
)

// Timing of the protocol.
const (
	// TickInterval is the time between two probes of members of the own region.
	TickInterval = 1 * clock.Second
	// suspicionTimeout is how long a suspected member has to refute the
	// suspicion before it counts as dead.
	suspicionTimeout = 5 * clock.Second
	// regionSilenceTimeout is how long nothing may be heard of another region
	// before all of its members are suspected at once.
	regionSilenceTimeout = 10 * clock.Second
	// pauseThreshold is the gap between two ticks above which this process is
	// taken to have been suspended.
	pauseThreshold = 5 * clock.Second
	// rejoinInterval is the time between two attempts to reach a seed or a dead
	// member.
	rejoinInterval = 5 * clock.Second
	// restartTime is how long after its death a member of the own region is still
	// probed, as its process may be started again.
	restartTime = 30 * clock.Second
	// findInterval is the time between two probes until this daemon is settled: a
	// fleet that starts at once has to find itself before it schedules.
	findInterval = 100 * clock.Millisecond
	// joinTime is how long a daemon that has started probes each joinInterval, and
	// compares tables at each probe.
	joinTime     = 5 * clock.Second
	joinInterval = 500 * clock.Millisecond
	// settleAge is the age from which on a daemon assumes that it has found the
	// others; in fleets of 350 that start at once all know each other by then.
	settleAge = 2 * clock.Second
	// loneAge is the age from which on a daemon that has heard of no other, though its seeds name some,
	// assumes that there is none. Seeds that are gone have been replaced by then.
	loneAge = 2 * rejoinInterval
	// agreementTime and agreeingPackets are how long a table has to stay unchanged,
	// and how many packets of others have to confirm it meanwhile, before a younger
	// daemon assumes the same.
	agreementTime   = 150 * clock.Millisecond
	agreeingPackets = 2
	// compareInterval is the least time between two comparisons of the member table
	// that this daemon starts after joinTime because digests differ.
	compareInterval = 2 * clock.Second
	// reportInterval is the least time between two published changes of load
	// and revision.
	reportInterval = 2 * clock.Second
	// tombstoneRetention is how long a dead member is remembered, so that a
	// region that was partitioned off is found again.
	tombstoneRetention = 6 * clock.Hour
)

// Sizes of the protocol.
const (
	// indirectProbers is the number of members that are asked to probe a member
	// which did not answer this daemon.
	indirectProbers = 3
	// delegatesPerRegion is the number of members of a region that exchange
	// packets with other regions.
	delegatesPerRegion = 2
	// maxInitialJoins bounds the addresses that a daemon without any live peer
	// tries at once.
	maxInitialJoins = 8
	// maxPacketUpdates bounds the queued updates in a packet that does not carry
	// the full member table.
	maxPacketUpdates = 8
	// maxComparedMembers bounds the members that answer a comparison, about 90 bytes
	// each: the seeds answer a whole fleet that starts at once over one link.
	maxComparedMembers = 48
	// retransmitMultiplier scales how often an update is sent; the other factor
	// is logarithmic in the number of peers.
	retransmitMultiplier = 3
	// minLoadChange is the least change of load that is published.
	minLoadChange = 0.05
)

// Core is the state machine of the membership protocol: it decides which
// members to probe, which ones count as dead and which updates to send. It does
// no I/O and reads no clock: Handle gets the time and all input. Create it with
// NewCore.
type Core struct {
	self   Member
	random *rand.Rand
	// peers holds every other daemon that is known, by name, dead ones included.
	peers map[string]*peerState
	// updates queues the peers whose changes have to be sent to others.
	updates updateQueue
	// regionRound holds the members of the own region that are still to be
	// probed in the current round.
	regionRound []string
	// remoteRound holds the delegates of other regions that are still to be
	// probed in the current round.
	remoteRound []string
	seeds       []string
	// changedMembers are the members that were added or changed state in this
	// call of Handle.
	changedMembers []Member
	// localReport is the newest report of this daemon, copied to self once it is
	// published.
	localReport Report

	started     clock.Millis
	lastTick    clock.Millis
	lastRejoin  clock.Millis
	lastCompare clock.Millis
	lastReport  clock.Millis
	// settled is set once the table agreed with that of a settled daemon, or was
	// confirmed by others for agreementTime.
	settled bool
	// changedAt is when the table last changed, and agreements the number of packets
	// since then whose sender had the same table.
	changedAt  clock.Millis
	agreements int
}

// peerState is what is known of another daemon.
type peerState struct {
	Member
	// stateSince is when the peer entered its state, as seen here.
	stateSince clock.Millis
	// lastContact is when the peer itself last sent a packet or a reply to this
	// daemon.
	lastContact clock.Millis
	// digest is the last digest of its member table that the peer sent.
	digest uint64
}

// NewCore returns a core that knows only this daemon. Equal seeds and
// messages lead to equal effects.
func NewCore(self Member, now clock.Millis, seed uint64) *Core {
	self.State = Alive
	self.LastHeard = now
	return &Core{
		self: self, random: rand.New(rand.NewPCG(seed, 0)), peers: map[string]*peerState{}, updates: updateQueue{},
		started: now, lastTick: now, lastRejoin: now - rejoinInterval, lastCompare: now,
	}
}

// Handle applies one message at the time now and returns the effects that the
// caller has to carry out.
func (c *Core) Handle(now clock.Millis, m Message) []Effect {
	effects := c.dispatch(now, m)
	if len(c.changedMembers) > 0 {
		c.changedAt, c.agreements = now, 0
	}
	for _, changed := range c.changedMembers {
		effects = append(effects, MemberChanged{changed})
	}
	c.changedMembers = nil
	return effects
}

func (c *Core) dispatch(now clock.Millis, m Message) []Effect {
	switch m := m.(type) {
	case Tick:
		return c.handleTick(now)
	case Seeds:
		c.seeds = slices.Clone(m.Addresses)
	case PacketReceived:
		return []Effect{Reply{c.handlePacket(now, m.Packet)}}
	case ReplyReceived:
		return c.handleReply(now, m.Packet)
	case ExchangeFailed:
		return c.handleExchangeFailure(now, m.Name)
	case IndirectProbeFailed:
		c.suspect(now, m.Name)
	case IndirectProbeSucceeded:
		c.handleIndirectProbeSuccess(now, m.Name)
	case Report:
		return c.handleReport(now, m)
	case Leave:
		return c.broadcastState(now, Leaving)
	case Stop:
		return c.broadcastState(now, Dead)
	}
	return nil
}

// Self returns this daemon as the others should know it.
func (c *Core) Self() Member { return c.self }

// Members returns all members that are not dead, this daemon included, sorted
// by name.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, peer := range c.peers {
		if peer.State != Dead {
			members = append(members, peer.Member)
		}
	}
	slices.SortFunc(members, compareNames)
	return members
}

// AllMembers returns all members, the dead ones included, sorted by name.
func (c *Core) AllMembers() []Member {
	members := []Member{c.self}
	for _, peer := range c.peers {
		members = append(members, peer.Member)
	}
	slices.SortFunc(members, compareNames)
	return members
}

func compareNames(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// LastContact returns when this daemon last exchanged a packet with any other,
// and false if it never did.
func (c *Core) LastContact() (last clock.Millis, found bool) {
	for _, peer := range c.peers {
		if peer.lastContact > last {
			last, found = peer.lastContact, true
		}
	}
	return last, found
}

// TickAfter returns the time from now until the next Tick is due.
func (c *Core) TickAfter(now clock.Millis) clock.Millis {
	switch {
	case !c.Settled(now):
		return findInterval
	case c.joining(now):
		return joinInterval
	default:
		return TickInterval
	}
}

func (c *Core) joining(now clock.Millis) bool { return now-c.started < joinTime }

// Settled reports whether this daemon has found the daemons of the fleet, as far as it
// can tell: its table agreed with that of a settled one, others confirmed it for
// agreementTime, or it has looked for settleAge.
func (c *Core) Settled(now clock.Millis) bool { return c.settled || now-c.started >= settleAge }

// KnowsFleet reports whether what this daemon knows may be taken for the whole fleet: it is settled, and
// has heard of another daemon, or there seems to be none.
func (c *Core) KnowsFleet(now clock.Millis) bool {
	if !c.Settled(now) {
		return false
	}
	_, heard := c.LastContact()
	namesOthers := slices.ContainsFunc(c.seeds, func(seed string) bool { return seed != c.self.PeerListen })
	return heard || !namesOthers || now-c.started >= loneAge
}

// buildPacket returns a packet for the recipient with queued updates.
func (c *Core) buildPacket(now clock.Millis, recipient string) Packet {
	p := c.newPacket(now)
	if peer, found := c.peers[recipient]; found && peer.State != Alive && peer.State != Leaving {
		// The recipient has to learn first that it is suspected or dead, since it
		// alone can refute that.
		p.Updates = append(p.Updates, peer.Member)
	}
	for _, name := range c.updates.take(maxPacketUpdates, c.retransmitLimit()) {
		if peer, found := c.peers[name]; found && name != recipient {
			p.Updates = append(p.Updates, peer.Member)
		}
	}
	return p
}

// newPacket returns a packet without updates.
func (c *Core) newPacket(now clock.Millis) Packet {
	return Packet{Sender: c.self, Digest: c.digest(), Settled: c.Settled(now)}
}

// buildFullTable returns a packet with all peers.
func (c *Core) buildFullTable(now clock.Millis) Packet {
	p := c.newPacket(now)
	p.FullTable = true
	for _, name := range c.peerNames() {
		p.Updates = append(p.Updates, c.peers[name].Member)
	}
	return p
}

// retransmitLimit returns how many packets carry an update before it is
// dropped from the queue.
func (c *Core) retransmitLimit() int {
	limit := retransmitMultiplier
	for n := len(c.peers); n > 0; n /= 2 {
		limit += retransmitMultiplier
	}
	return limit
}

// peerNames returns the names of all peers, dead ones included, sorted.
func (c *Core) peerNames() []string {
	names := make([]string, 0, len(c.peers))
	for name := range c.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// digest returns a hash of the names, incarnations, states and cuts of all members
// that are not dead. It does not depend on their order.
func (c *Core) digest() uint64 {
	sum := memberDigest(c.self)
	for _, peer := range c.peers {
		if peer.State != Dead {
			sum += memberDigest(peer.Member)
		}
	}
	return sum
}

func memberDigest(m Member) uint64 {
	const prime = 0x9E3779B97F4A7C15
	// A member that is not cut off has the digest that daemons compute which don't know
	// of cuts.
	const cutOff = 1 << 8
	digest := (xxhash.Sum64String(m.Name)^uint64(m.Incarnation))*prime + uint64(m.State)
	if m.CutOff {
		digest += cutOff
	}
	return digest
}
