package follower

import (
	"cmp"
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

// Peers spreads what this daemon knows.
type Peers interface {
	// Meet compares with a random peer; each learns what it lacks.
	Meet(ctx context.Context)
	// Spread tells some peers at once that there is news.
	Spread(ctx context.Context)
}

const (
	// syncTimeout bounds one comparison with a peer, and wholeTimeout one that
	// brings a whole table: 1.4 MB at full size take 1.1 s over 10 Mbit/s.
	syncTimeout  = 500 * clock.Millisecond
	wholeTimeout = 1500 * clock.Millisecond
	// mostRows bounds the rows of one reply that is not whole, some 130 KB, so that
	// it passes within syncTimeout on such a link.
	mostRows = 500
	// farEvery is the number of chosen peers of which one is of another region.
	farEvery = 3
	// spreadPeers is the number of peers that hear of news at once.
	spreadPeers = 3
	// wholeRows is the size of a table that is told whole to each peer that may
	// lack a removal; a larger one only to those that ask for it, since most learn
	// what they lack from the next peer.
	wholeRows = 64
	// mostWithheld is the number of peers in a row that told nothing although they
	// know more, after which a table is asked for whole: two seconds of meetings.
	mostWithheld = 3
)

// Exchanger is the Peers of a Follower over drpc. Its exported fields are set
// before use.
type Exchanger struct {
	Follower  *Follower
	View      gossiper.View
	Connector *connector.Connector

	mu sync.Mutex
	// fetching tells that rows of a peer are on their way, and next is the peer
	// that told of more meanwhile, empty for none.
	fetching bool
	next     string
	// began is when the last fetch began.
	began clock.Millis
	// heard is when a peer answered last.
	heard clock.Millis
}

// Readers of the register: in a large fleet, reading by all would cost each
// daemon the changes of all upstreams.
const (
	// readers is the number of daemons that read: with a third of all daemons cut
	// off from the register, all of them are once in 60,000 times.
	readers = 10
	// alone is the time without an answer of any peer after which a daemon reads
	// for itself.
	alone = 1500 * clock.Millisecond
)

// Reads tells whether this daemon is one of those that read the register.
// Every daemon with the same members comes to the same readers.
func (x *Exchanger) Reads() bool {
	members := x.View.Members()
	var names []string
	for _, m := range members {
		if m.State == gossiper.Alive {
			names = append(names, m.Name)
		}
	}
	x.mu.Lock()
	heard := x.heard
	x.mu.Unlock()
	if len(names) <= readers || x.Follower.Clock.Now()-heard > alone {
		return true
	}
	self := x.View.Self().Name
	own, higher := xxhash.Sum64String(self), 0
	for _, name := range names {
		if name != self && xxhash.Sum64String(name) > own {
			higher++
		}
	}
	return higher < readers
}

// Meet implements Peers.
func (x *Exchanger) Meet(ctx context.Context) {
	for _, m := range x.some(1) {
		go x.fetch(ctx, m.PeerListen)
	}
}

// Spread implements Peers.
func (x *Exchanger) Spread(ctx context.Context) {
	for _, m := range x.some(spreadPeers) {
		go x.tell(ctx, m.PeerListen)
	}
}

// some returns different random daemons, more of the own region than of others, for
// rows cost most between regions.
func (x *Exchanger) some(count int) (chosen []gossiper.Member) {
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
		from := &near
		if len(near) == 0 || (len(far) > 0 && rand.IntN(farEvery) == 0) {
			from = &far
		}
		if len(*from) == 0 {
			return chosen
		}
		at := rand.IntN(len(*from))
		chosen = append(chosen, (*from)[at])
		*from = slices.Delete(*from, at, at+1)
	}
	return chosen
}

// tell tells the peer at an address what is known here, and fetches what the peer
// has beyond it.
func (x *Exchanger) tell(ctx context.Context, address string) {
	reply, err := x.call(ctx, address, syncTimeout, &wire.SyncRequest{Have: x.Follower.have(), OnlyTells: true})
	if err == nil && x.Follower.lacks(reply.GetHave()) {
		x.fetch(ctx, address)
	}
}

// fetch takes in what the peer at an address has beyond what is known here. Others
// wait for it, or the same rows would come from all peers at once, but no longer
// than an answer without a whole table takes.
func (x *Exchanger) fetch(ctx context.Context, address string) {
	for ; address != ""; address = x.end() {
		if !x.begin(address) {
			return
		}
		have, timeout := x.Follower.asks(), syncTimeout
		if slices.ContainsFunc(have, func(v *wire.TableVersion) bool { return v.GetVersion() == 0 }) {
			timeout = wholeTimeout
		}
		reply, err := x.call(ctx, address, timeout, &wire.SyncRequest{Have: have})
		if err != nil {
			continue
		}
		if x.Follower.takeReply(reply, address) {
			x.Spread(context.WithoutCancel(ctx))
		}
		if len(reply.GetRows()) >= mostRows && len(reply.GetWhole()) == 0 {
			x.goOn(address)
		}
	}
}

// goOn fetches again from a peer that has more.
func (x *Exchanger) goOn(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.next == "" {
		x.next = address
	}
}

func (x *Exchanger) call(ctx context.Context, address string, timeout clock.Millis, in *wire.SyncRequest) (reply *wire.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	conn := x.Connector.Call(ctx, address)
	defer func() { _ = conn.Close() }()
	self := x.View.Self()
	in.Daemon, in.PeerListen = self.Name, self.PeerListen
	reply, err = wire.NewDRPCFollowClient(conn).Sync(ctx, in)
	if err != nil {
		klog.V(1).InfoS("peer not asked for news", "peer", address, "error", err.Error())
		return nil, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.heard = x.Follower.Clock.Now()
	return reply, nil
}

// begin tells whether a fetch from an address may start now; else it is the next.
func (x *Exchanger) begin(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Follower.Clock.Now()
	if x.fetching && now-x.began < syncTimeout {
		x.next = address
		return false
	}
	x.fetching, x.began = true, now
	return true
}

// end ends a fetch and returns where the next one goes, empty for nowhere.
func (x *Exchanger) end() (address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	address, x.next = x.next, ""
	x.fetching = false
	return address
}

// Register adds the service for other daemons to mux.
func (x *Exchanger) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterFollow(mux, (*server)(x))
}

type server Exchanger

// Sync implements wire.DRPCFollowServer.
func (s *server) Sync(ctx context.Context, in *wire.SyncRequest) (out *wire.SyncReply, err error) {
	x := (*Exchanger)(s)
	if x.Follower.lacks(in.GetHave()) && in.GetPeerListen() != "" {
		go x.fetch(context.WithoutCancel(ctx), in.GetPeerListen())
	}
	if in.GetOnlyTells() {
		return &wire.SyncReply{Have: x.Follower.have()}, nil
	}
	return x.Follower.reply(in.GetHave()), nil
}

// have returns the newest version that is known of each table. All rows up to
// it are known, for rows come whole from a listing and in order after it.
func (f *Follower) have() (have []*wire.TableVersion) {
	f.setup()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, table := range []string{f.Tables.Config, f.Tables.Upstreams} {
		have = append(have, &wire.TableVersion{Table: table, Version: f.settled(table)})
	}
	return have
}

// settled returns the version up to which peers may be told all rows of a table:
// a row that may only have lapsed is not told as gone. The lock is held.
func (f *Follower) settled(table string) int64 {
	newest := f.copy.Newest(table)
	if table == f.Tables.Upstreams {
		return f.lapses.settled(newest)
	}
	return newest
}

// lacks tells whether a peer knows anything newer.
func (f *Follower) lacks(theirs []*wire.TableVersion) bool {
	own := versions(f.have())
	for _, v := range theirs {
		if newest, known := own[v.GetTable()]; known && v.GetVersion() > newest {
			return true
		}
	}
	return false
}

// asks returns what is told to a peer that is asked for news: have, but for the
// tables that are wanted whole.
func (f *Follower) asks() (have []*wire.TableVersion) {
	have = f.have()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range have {
		if f.withheld[v.GetTable()] >= mostWithheld {
			v.Version = 0
		}
	}
	return have
}

// reply returns the rows that a peer lacks.
func (f *Follower) reply(theirs []*wire.TableVersion) (out *wire.SyncReply) {
	have := f.have()
	out = &wire.SyncReply{Have: have}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range theirs {
		rows, whole := f.newer(v.GetTable(), v.GetVersion())
		switch {
		case whole:
			out.Whole = append(out.Whole, v.GetTable())
		case len(rows) > mostRows:
			// The oldest changes come first; the next reply goes on after them.
			slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
			rows = rows[:mostRows]
			for _, h := range have {
				if h.GetTable() == v.GetTable() {
					h.Version = rows[mostRows-1].Version
				}
			}
		}
		for _, row := range rows {
			out.Rows = append(out.Rows, &wire.FollowedRow{
				Table: row.Table, Key: row.Key, Value: row.Value, Version: row.Version, Gone: row.Gone,
			})
		}
	}
	return out
}

// newer returns the rows of a table that changed after a version, or all present
// ones where it is not known what else was removed since. The lock is held.
func (f *Follower) newer(table string, version int64) (rows []Row, whole bool) {
	bound := f.settled(table)
	if version < f.copy.Removals(table) {
		rows = f.copy.Rows(table)
		if bound < f.copy.Newest(table) || (version > 0 && len(rows) > wholeRows) {
			return nil, false
		}
		whole = true
	} else {
		rows = f.copy.Newer(table, version)
	}
	if good := f.configRow; table == good.Table && version < good.Version {
		// The newest row may be one that can't be read.
		rows = append([]Row{good}, rows...)
	}
	return slices.DeleteFunc(rows, func(row Row) bool { return row.Version > bound }), whole
}

// takeReply takes in the rows of a peer and tells whether any was news.
func (f *Follower) takeReply(reply *wire.SyncReply, from string) (news bool) {
	f.setup()
	f.mu.Lock()
	defer f.mu.Unlock()
	byTable := map[string][]Row{}
	for _, r := range reply.GetRows() {
		byTable[r.GetTable()] = append(byTable[r.GetTable()], Row{
			Table: r.GetTable(), Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Gone: r.GetGone(),
		})
	}
	known := versions(reply.GetHave())
	var changes []Change
	for _, table := range []string{f.Tables.Config, f.Tables.Upstreams} {
		rows, whole := byTable[table], slices.Contains(reply.GetWhole(), table)
		switch {
		case whole:
			changes = append(changes, f.copy.List(table, rows, known[table])...)
		case len(rows) > 0:
			changes = append(changes, f.copy.Apply(table, rows, known[table])...)
		case known[table] > f.settled(table):
			f.withheld[table]++
			continue
		}
		f.withheld[table] = 0
	}
	f.adopt(changes, from)
	return len(changes) > 0
}

func versions(list []*wire.TableVersion) map[string]int64 {
	known := make(map[string]int64, len(list))
	for _, v := range list {
		known[v.GetTable()] = v.GetVersion()
	}
	return known
}
