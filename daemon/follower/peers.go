package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

// Peers exchanges rows with other daemons.
type Peers interface {
	// SyncOne starts a sync with a random peer; each fetches the rows that it lacks.
	SyncOne(ctx context.Context)
	// Notify notifies some random peers of new versions.
	Notify(ctx context.Context)
	// Relay tells all peers, over each other, what this daemon has learned from the register.
	Relay(ctx context.Context)
}

const (
	// syncTimeout bounds one sync call to a peer, and wholeTimeout one whose reply
	// may hold a whole table: 1.4 MB at full size take 1.1 s over 10 Mbit/s.
	syncTimeout  = 500 * clock.Millisecond
	wholeTimeout = 1500 * clock.Millisecond
	// maxReplyRows bounds the rows of one reply that holds no whole table, some
	// 130 KB, so that it arrives within syncTimeout over 10 Mbit/s.
	maxReplyRows = 500
	// farPeerEvery is the number of chosen peers of which one, on average, is in
	// another region.
	farPeerEvery = 3
	// notifiedPeers is the number of peers that Notify calls.
	notifiedPeers = 4
	// smallTableRows is the size up to which a table is sent whole to each peer that
	// may lack a removal. A larger table is sent whole only to peers that request it,
	// since most learn what they lack from the next peer.
	smallTableRows = 64
	// maxWithheldReplies is the number of consecutive replies without rows from
	// peers that know newer changes, after which a table is requested whole: two
	// seconds of syncs.
	maxWithheldReplies = 3
)

// Exchanger implements Peers for a Follower over drpc. Its exported fields are set
// before use.
type Exchanger struct {
	Follower  *Follower
	View      gossiper.View
	Connector *connector.Connector

	mu sync.Mutex
	// fetching is set while rows are fetched from a peer, and nextAddress is the
	// address of the peer to fetch from after that, empty for none.
	fetching    bool
	nextAddress string
	// fetchStartedAt is when the last fetch started.
	fetchStartedAt clock.Millis
	// lastReplyAt is when a peer answered last.
	lastReplyAt clock.Millis
	relays      relayQueue
	// transport carries calls to peers; nil stands for drpc.
	transport func(ctx context.Context, address string, in *wire.SyncRequest) (reply *wire.SyncReply, err error)
}

// Selection of the daemons that read the register. If all daemons of a large fleet
// did, each would receive every change of every upstream.
const (
	// readerCount is the number of daemons that read. With a third of all daemons
	// cut off from the register, the chance that all readers are is 1 in 60,000.
	readerCount = 10
	// leadCount is the number of readers that wait briefly. The second one covers for
	// the first until the fleet notices that it is gone.
	leadCount = 2
	// isolationTimeout is the time without a reply of any peer after which a daemon
	// reads the register itself.
	isolationTimeout = 1500 * clock.Millisecond
)

// Duty returns the part of this daemon in reading the register: the readers are the
// readerCount alive members with the highest hash of the name, and the leads the first
// of them, in different failure domains. A daemon that no peer has answered for
// isolationTimeout reads too. Daemons with the same members choose the same readers.
func (x *Exchanger) Duty() (d Duty) {
	x.mu.Lock()
	lastReplyAt := x.lastReplyAt
	x.mu.Unlock()
	self := x.View.Self()
	if x.Follower.Clock.Now()-lastReplyAt > isolationTimeout {
		return Duty{Role: Lead}
	}
	d.MaxAge = maxConfirmationAge(self.Name, x.Follower.ApplyBound)
	readers := chooseReaders(x.View.Members())
	switch {
	case slices.Contains(leads(readers), self.Name):
		d.Role, d.RelaysReads = Lead, true
	case !slices.ContainsFunc(readers, func(m gossiper.Member) bool { return m.Name == self.Name }):
		d.Role = Idle
	}
	return d
}

// chooseReaders returns the readers among members, in the order of their ranks.
func chooseReaders(members []gossiper.Member) (readers []gossiper.Member) {
	var ranked []rankedMember
	for i := range members {
		if members[i].State == gossiper.Alive {
			ranked = append(ranked, rankedMember{^xxhash.Sum64String(members[i].Name), i})
		}
	}
	sortByRank(ranked)
	for _, r := range ranked[:min(len(ranked), readerCount)] {
		readers = append(readers, members[r.index])
	}
	return readers
}

// leads returns the names of the leads among members in the order of their ranks.
func leads(members []gossiper.Member) (names []string) {
	domains := map[string]bool{}
	for _, m := range members[:min(len(members), readerCount)] {
		if len(names) < leadCount && !domains[m.FailureDomain] {
			names = append(names, m.Name)
			domains[m.FailureDomain] = true
		}
	}
	for _, m := range members {
		if len(names) < leadCount && !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

// maxConfirmationAge returns the age of a confirmation from which the daemon with a name reads
// the register itself.
func maxConfirmationAge(name string, applyBound clock.Millis) clock.Millis {
	spread := partOf(applyBound, overdueSpreadPercent)
	return partOf(applyBound, maxAgePercent) + clock.Millis(xxhash.Sum64String(name)%uint64(spread+1))
}

// SyncOne implements Peers.
func (x *Exchanger) SyncOne(ctx context.Context) {
	for _, m := range x.randomPeers(1) {
		go x.fetch(ctx, m.PeerListen)
	}
}

// Notify implements Peers.
func (x *Exchanger) Notify(ctx context.Context) {
	for _, m := range x.randomPeers(notifiedPeers) {
		go x.notifyPeer(ctx, m.PeerListen, "")
	}
}

// randomPeers returns at most count distinct random daemons, more of the own region
// than of others, because traffic between regions costs most.
func (x *Exchanger) randomPeers(count int) (chosen []gossiper.Member) {
	self := x.View.Self()
	var near, far []gossiper.Member
	for _, m := range x.View.Members() {
		switch {
		case m.Name == self.Name || m.State == gossiper.Dead:
		case m.Region == self.Region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	for range count {
		candidates := &near
		if len(near) == 0 || (len(far) > 0 && rand.IntN(farPeerEvery) == 0) {
			candidates = &far
		}
		if len(*candidates) == 0 {
			return chosen
		}
		index := rand.IntN(len(*candidates))
		chosen = append(chosen, (*candidates)[index])
		*candidates = slices.Delete(*candidates, index, index+1)
	}
	return chosen
}

// notifyPeer sends the versions known here to the peer at an address and fetches
// the rows that this daemon lacks.
func (x *Exchanger) notifyPeer(ctx context.Context, address, relayRoot string) {
	reply, err := x.call(ctx, address, syncTimeout, &wire.SyncRequest{Have: x.Follower.knownVersions(), OnlyTells: true, RelayRoot: relayRoot})
	x.Follower.noteConfirmations(reply.GetHave())
	if err == nil && x.Follower.isBehind(reply.GetHave()) {
		x.fetch(ctx, address)
	}
}

// fetch fetches and applies the rows that the peer at an address has and this
// daemon lacks. Fetches run one at a time, or the same rows would come from several
// peers at once; but one that takes longer than syncTimeout blocks no others.
func (x *Exchanger) fetch(ctx context.Context, address string) {
	for ; address != ""; address = x.endFetch() {
		if !x.beginFetch(address) {
			return
		}
		have, relays := x.Follower.requestedVersions(), x.takeQueuedRelays()
		reply, err := x.call(ctx, address, fetchTimeout(have), &wire.SyncRequest{Have: have, AcceptsPacked: true})
		if err != nil {
			continue
		}
		changed := x.Follower.applyReply(reply, address)
		x.Follower.noteConfirmations(reply.GetHave())
		if changed {
			x.Notify(context.WithoutCancel(ctx))
		}
		x.relayQueued(context.WithoutCancel(ctx), relays)
		if len(reply.GetRows()) >= maxReplyRows && len(reply.GetWhole()) == 0 {
			x.queueFetch(address)
		}
	}
}

// fetchTimeout returns the time within which the rows after some versions have to arrive.
func fetchTimeout(have []*wire.TableVersion) clock.Millis {
	if slices.ContainsFunc(have, func(v *wire.TableVersion) bool { return v.GetVersion() == 0 }) {
		return wholeTimeout
	}
	return syncTimeout
}

// queueFetch lets the next fetch go to the same peer, which has more rows, unless
// another peer is queued.
func (x *Exchanger) queueFetch(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.nextAddress == "" {
		x.nextAddress = address
	}
}

// call syncs with the peer at an address and records the time of the reply.
func (x *Exchanger) call(ctx context.Context, address string, timeout clock.Millis, in *wire.SyncRequest) (reply *wire.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	self := x.View.Self()
	in.Daemon, in.PeerListen = self.Name, self.PeerListen
	if x.transport != nil {
		reply, err = x.transport(ctx, address, in)
	} else {
		reply, err = x.callOverDRPC(ctx, address, in)
	}
	if err != nil {
		klog.V(1).InfoS("sync with peer failed", "peer", address, "error", err.Error())
		return nil, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastReplyAt = x.Follower.Clock.Now()
	return reply, nil
}

func (x *Exchanger) callOverDRPC(ctx context.Context, address string, in *wire.SyncRequest) (reply *wire.SyncReply, err error) {
	conn := x.Connector.PooledConn(ctx, address)
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCFollowClient(conn).Sync(ctx, in)
}

// beginFetch reports whether a fetch from an address may start now; otherwise it
// queues the address.
func (x *Exchanger) beginFetch(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Follower.Clock.Now()
	if x.fetching && now-x.fetchStartedAt < syncTimeout {
		x.nextAddress = address
		return false
	}
	x.fetching, x.fetchStartedAt = true, now
	return true
}

// endFetch ends a fetch and returns the queued address, empty for none.
func (x *Exchanger) endFetch() (address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	address, x.nextAddress = x.nextAddress, ""
	x.fetching = false
	return address
}

// Register registers the service for other daemons at mux.
func (x *Exchanger) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterFollow(mux, (*server)(x))
}

type server Exchanger

// Sync implements wire.DRPCFollowServer.
func (s *server) Sync(ctx context.Context, in *wire.SyncRequest) (out *wire.SyncReply, err error) {
	x := (*Exchanger)(s)
	x.Follower.noteConfirmations(in.GetHave())
	x.queueRelay(in.GetRelayRoot())
	if x.Follower.isBehind(in.GetHave()) && in.GetPeerListen() != "" {
		go x.fetch(context.WithoutCancel(ctx), in.GetPeerListen())
	} else {
		x.relayQueued(context.WithoutCancel(ctx), x.takeQueuedRelays())
	}
	if in.GetOnlyTells() {
		return &wire.SyncReply{Have: x.Follower.knownVersions()}, nil
	}
	return x.Follower.reply(in)
}
