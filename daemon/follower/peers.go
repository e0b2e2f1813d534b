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

// Peers spreads what this daemon knows.
type Peers interface {
	// Meet compares with a random peer; each learns what it lacks.
	Meet(ctx context.Context)
	// Spread tells some peers at once that there is news.
	Spread(ctx context.Context)
}

const (
	// syncTimeout bounds one comparison with a peer.
	syncTimeout = 500 * clock.Millisecond
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
	// busy names the peers with which a comparison is under way.
	busy map[string]bool
	// heard is when a peer answered last.
	heard clock.Millis
}

// Readers of the register: in a large fleet, reading by all would cost a call
// for each daemon and change.
const (
	// leastReaders is the number of daemons that read at least: with a third of
	// them cut off from the register, some still read.
	leastReaders = 10
	// readerShare is the part of the daemons that read in a large fleet.
	readerShare = 0.125
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
	count := max(leastReaders, int(readerShare*float64(len(names))))
	x.mu.Lock()
	heard := x.heard
	x.mu.Unlock()
	if len(names) <= count || x.Follower.Clock.Now()-heard > alone {
		return true
	}
	self := x.View.Self().Name
	own, higher := xxhash.Sum64String(self), 0
	for _, name := range names {
		if name != self && xxhash.Sum64String(name) > own {
			higher++
		}
	}
	return higher < count
}

// Meet implements Peers.
func (x *Exchanger) Meet(ctx context.Context) { x.some(ctx, 1) }

// Spread implements Peers.
func (x *Exchanger) Spread(ctx context.Context) { x.some(ctx, spreadPeers) }

func (x *Exchanger) some(ctx context.Context, count int) {
	self := x.View.Self().Name
	var others []gossiper.Member
	for _, m := range x.View.Members() {
		if m.Name != self && m.State != gossiper.Dead {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range others[:min(count, len(others))] {
		go x.sync(ctx, m.PeerListen)
	}
}

// sync compares with the peer at an address and takes in what it has.
func (x *Exchanger) sync(ctx context.Context, address string) {
	if !x.begin(address) {
		return
	}
	defer x.end(address)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout.Duration())
	defer cancel()
	conn := x.Connector.Call(ctx, address)
	defer func() { _ = conn.Close() }()
	self := x.View.Self()
	reply, err := wire.NewDRPCFollowClient(conn).Sync(ctx, &wire.SyncRequest{
		Daemon: self.Name, PeerListen: self.PeerListen, Have: x.Follower.asks(),
	})
	if err != nil {
		klog.V(1).InfoS("peer not asked for news", "peer", address, "error", err.Error())
		return
	}
	x.mu.Lock()
	x.heard = x.Follower.Clock.Now()
	x.mu.Unlock()
	if x.Follower.takeReply(reply, address) {
		x.Spread(context.WithoutCancel(ctx))
	}
}

func (x *Exchanger) begin(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy == nil {
		x.busy = map[string]bool{}
	}
	if x.busy[address] {
		return false
	}
	x.busy[address] = true
	return true
}

func (x *Exchanger) end(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, address)
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
		go x.sync(context.WithoutCancel(ctx), in.GetPeerListen())
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
	out = &wire.SyncReply{Have: f.have()}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range theirs {
		rows, whole := f.newer(v.GetTable(), v.GetVersion())
		if whole {
			out.Whole = append(out.Whole, v.GetTable())
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
