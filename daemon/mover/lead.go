package mover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/elector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

const (
	// contenders is how many daemons read and write the lease row, so that its
	// load does not grow with their number.
	contenders = 3
	// maxMoves bounds the rows of moves that are read.
	maxMoves = 1000
	// resignTimeout bounds the write of the lease row at a planned stop.
	resignTimeout = 1 * clock.Second
)

// leading is the loop of a contender and, while it holds the lease, of the
// leader. It belongs to one goroutine.
type leading struct {
	*Mover

	leader *stager.Leader
	epoch  int64
	// rows are nil until they were read in this leadership.
	rows map[string]stager.Row
	// acknowledged is the last evidence of each daemon, by name and
	// incarnation, that this leader has.
	acknowledged map[string]int64
	reports      map[string]stager.Report
	stops        map[string]stager.Stop
	windows      evidence
	plans        *wire.MovePlans
}

// step takes part in the election and leads where it is this daemon's turn.
func (l *leading) step(ctx context.Context) {
	if l.contends() {
		l.elect(ctx, elector.Tick{At: l.Clock.Now()})
	}
	if !l.elector.Leads(l.Clock.Now(), stager.OrderTimeout) {
		l.leader = nil
		l.metrics.held.Set(0)
		return
	}
	l.metrics.held.Set(1)
	l.metrics.epoch.Set(float64(l.elector.Epoch()))
	if l.leader == nil || l.epoch != l.elector.Epoch() {
		l.begin()
	}
	l.lead(ctx)
}

// contends tells whether this daemon is one of those that want the lease: the
// first by the hash of their names, while there is a move. Without one the lease
// lapses.
func (l *leading) contends() bool {
	if len(l.Source.Current().Moves) == 0 {
		return false
	}
	if l.elector.Leads(l.Clock.Now(), 0) {
		return true
	}
	self := l.View.Self()
	before := 0
	for _, m := range l.View.Members() {
		if m.State == gossiper.Alive && rank(m.Name) < rank(self.Name) {
			before++
		}
	}
	return before < contenders
}

func rank(name string) uint64 { return xxhash.Sum64String("moves/" + name) }

// elect carries the elector's calls out until it wants none.
func (l *leading) elect(ctx context.Context, message elector.Message) {
	for effect := l.elector.Step(message); effect != nil; effect = l.elector.Step(message) {
		switch e := effect.(type) {
		case elector.Read:
			message = l.readLease(ctx)
		case elector.Write:
			message = l.writeLease(ctx, e)
		}
	}
}

func (l *leading) readLease(ctx context.Context) elector.ReadDone {
	rows, err := l.Table.Read(ctx, elector.LeaseKey)
	done := elector.ReadDone{At: l.Clock.Now(), Failed: err != nil}
	if err == nil && len(rows) > 0 {
		done.Version = rows[0].Version
		done.Failed = json.Unmarshal(rows[0].Value, &done.Lease) != nil
	}
	return done
}

func (l *leading) writeLease(ctx context.Context, e elector.Write) elector.WriteDone {
	value, err := json.Marshal(e.Lease)
	if err != nil {
		return elector.WriteDone{At: l.Clock.Now()}
	}
	result, err := l.Table.Apply(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: elector.LeaseKey, Version: e.Version}},
		Writes:     []platform.Write{{Key: elector.LeaseKey, Value: value}},
	})
	return elector.WriteDone{
		At: l.Clock.Now(), Applied: err == nil && result.Applied, Version: result.Version,
		Unknown: platform.CertaintyOf(err) != platform.NotDone && err != nil,
	}
}

// resign gives the lease up at a planned stop.
func (l *leading) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout.Duration())
	defer cancel()
	if l.elector.Leads(l.Clock.Now(), 0) {
		l.elect(ctx, elector.Resign{At: l.Clock.Now()})
	}
}

// begin forgets what an earlier leadership knew.
func (l *leading) begin() {
	l.leader, l.epoch = &stager.Leader{}, l.elector.Epoch()
	l.rows = nil
	l.acknowledged = map[string]int64{}
	l.reports = map[string]stager.Report{}
	l.stops = map[string]stager.Stop{}
	l.windows = evidence{}
	l.plans = &wire.MovePlans{Epoch: l.epoch, Leader: l.View.Self().Name}
	klog.InfoS("leads the moves", "epoch", l.epoch)
}

// lead is one round: read the rows, hear the daemons, decide, write, tell the
// daemons, order. A row that is not in the table has no effect on any share.
func (l *leading) lead(ctx context.Context) {
	if rows, err := l.readRows(ctx); err != nil {
		klog.ErrorS(err, "moves not read")
	} else {
		l.rows = rows
	}
	if l.rows == nil {
		return
	}
	l.exchange(ctx)
	config := l.Source.Current()
	out := l.leader.Step(stager.LeaderInput{
		Now: l.Clock.Now(), Epoch: l.epoch, Since: l.elector.Since(), Moves: config.Moves, Rows: l.rows,
		Upstreams: l.upstreams(config), Windows: l.windows, Stops: l.allStops(),
	})
	l.windows = evidence{}
	l.tell(out)
	for _, row := range out.Changed {
		if err := l.writeRow(ctx, row); err != nil {
			klog.ErrorS(err, "move not written", "move", row.Move)
		}
	}
	l.exchange(ctx)
	l.send(ctx, config, out.Orders)
}

func (l *leading) allStops() (stops []stager.Stop) {
	for _, stop := range l.stops {
		stops = append(stops, stop)
	}
	return stops
}

// tell prepares the plans for the next exchange.
func (l *leading) tell(out stager.LeaderOutput) {
	plans := &wire.MovePlans{Epoch: l.epoch, Leader: l.plans.GetLeader()}
	for _, p := range out.Plans {
		plans.Plans = append(plans.Plans, encodePlan(p))
	}
	for _, row := range out.Rows {
		l.metrics.stage.WithLabelValues(row.Move).Set(float64(row.Stage))
		if value, err := json.Marshal(row); err == nil {
			plans.Rows = append(plans.Rows, value)
		}
	}
	l.plans = plans
}

// writeRow writes a row if this daemon still leads.
func (l *leading) writeRow(ctx context.Context, row stager.Row) (err error) {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	result, err := l.Table.Apply(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: elector.LeaseKey, Version: l.elector.Version()}},
		Writes:     []platform.Write{{Key: row.Key(), Value: value}},
	})
	if err == nil && !result.Applied {
		l.elector.Doubt()
		err = errors.New("the lease row has changed")
	}
	return err
}

// exchange tells all daemons the plans and gathers what they have seen.
func (l *leading) exchange(ctx context.Context) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	self := l.View.Self().Name
	for _, member := range l.View.Members() {
		name := fmt.Sprintf("%s/%d", member.Name, member.Incarnation)
		in := &wire.MovePlans{
			Epoch: l.epoch, Leader: l.plans.GetLeader(), Plans: l.plans.GetPlans(), Rows: l.plans.GetRows(),
			Acknowledged: l.acknowledged[name],
		}
		wait.Go(func() {
			out, err := l.reach(ctx, self, member, in)
			if err != nil {
				klog.V(1).InfoS("no evidence", "member", member.Name, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			l.take(name, out)
		})
	}
	wait.Wait()
}

// reach calls another daemon, or this one without any network.
func (l *leading) reach(ctx context.Context, self string, member gossiper.Member, in *wire.MovePlans) (out *wire.MoveEvidence, err error) {
	if member.Name == self {
		return (&server{mover: l.Mover}).Exchange(ctx, in)
	}
	return l.callExchange(ctx, member, in)
}

// take adds a daemon's evidence. Evidence that an earlier reply held as well
// is sent again only where that reply was not acknowledged.
func (l *leading) take(daemon string, out *wire.MoveEvidence) {
	now := l.Clock.Now()
	l.acknowledged[daemon] = out.GetNumber()
	for _, g := range out.GetGroups() {
		key, counts := decodeGroup(g)
		if l.windows[g.GetMove()] == nil {
			l.windows[g.GetMove()] = judge.Window{}
		}
		l.windows[g.GetMove()].Of(key).Merge(counts)
	}
	for _, r := range out.GetReports() {
		report := stager.Report{
			At: now - clock.Millis(r.GetAgeMs()), Version: r.GetVersion(), Loaded: r.GetLoaded(), Loading: r.GetLoading(),
		}
		if report.At > l.reports[r.GetUpstream()].At {
			l.reports[r.GetUpstream()] = report
		}
	}
	for _, s := range out.GetStops() {
		if stop, err := decodeStop(s); err == nil {
			l.stops[stop.Move] = stop
		}
	}
}

// upstreams returns the upstreams by pool with their reports.
func (l *leading) upstreams(config *inventory.Config) map[string][]stager.Upstream {
	pools := map[string][]stager.Upstream{}
	for _, u := range config.Upstreams {
		if u.Leaving {
			continue
		}
		pools[u.Pool] = append(pools[u.Pool], stager.Upstream{
			Name: u.Name, Region: u.Region, Generation: u.Generation, Slots: u.Slots,
			ChecksFencing: u.ChecksFencing, Report: l.reports[u.Name],
		})
	}
	return pools
}

// send sends the orders, each only while the lease outlasts its timeout.
func (l *leading) send(ctx context.Context, config *inventory.Config, orders []stager.Order) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, o := range orders {
		u, found := inventory.Lookup(config.Upstreams, o.Upstream)
		if !found || !l.elector.Leads(l.Clock.Now(), stager.OrderTimeout) {
			continue
		}
		epoch := l.epoch
		wait.Go(func() {
			err := l.order(ctx, u, epoch, o)
			l.metrics.orders.WithLabelValues(string(o.Kind), result(err)).Inc()
			if err == nil {
				klog.InfoS("upstream ordered", "upstream", u.Name, "kind", o.Kind, "version", o.Version, "epoch", epoch)
				return
			}
			klog.ErrorS(err, "order failed")
			if errors.Is(err, errFenced) {
				mu.Lock()
				defer mu.Unlock()
				l.elector.Doubt()
			}
		})
	}
	wait.Wait()
}

func result(err error) string {
	switch {
	case err == nil:
		return "obeyed"
	case errors.Is(err, errFenced):
		return "fenced"
	default:
		return "failed"
	}
}
