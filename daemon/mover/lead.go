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
	// maxCandidates is how many daemons read and write the lease row. It is bounded
	// so that the load on the row does not grow with the number of daemons.
	maxCandidates = 3
	// maxMoves bounds the number of rows of moves that are read.
	maxMoves = 1000
	// resignTimeout bounds the release of the lease at a planned shutdown.
	resignTimeout = 1 * clock.Second
)

// leaderLoop is the state of the loop that takes part in the election and, while
// this daemon holds the lease, leads the moves. Only one goroutine uses it.
type leaderLoop struct {
	*Mover

	leader *stager.Leader
	epoch  int64
	// rows are the rows of the moves, nil until they are read in this leadership.
	rows map[string]stager.Row
	// acknowledged is the number of the last evidence received from each daemon,
	// by name and incarnation.
	acknowledged map[string]int64
	reports      map[string]stager.Report
	stops        map[string]stager.Stop
	windows      evidence
	plans        *wire.MovePlans
}

// step takes part in the election and runs a round while this daemon leads.
func (l *leaderLoop) step(ctx context.Context) {
	if l.isCandidate() {
		l.runElection(ctx, elector.Tick{At: l.Clock.Now()})
	}
	if !l.elector.Leads(l.Clock.Now(), stager.OrderTimeout) {
		l.leader = nil
		l.metrics.leaseHeld.Set(0)
		return
	}
	l.metrics.leaseHeld.Set(1)
	l.metrics.epoch.Set(float64(l.elector.Epoch()))
	if l.leader == nil || l.epoch != l.elector.Epoch() {
		l.startLeadership()
	}
	l.runRound(ctx)
}

// isCandidate reports whether this daemon competes for the lease: the holder and
// the daemons with the lowest hashes of their names do. Without moves there is no
// candidate, and the lease expires.
func (l *leaderLoop) isCandidate() bool {
	if len(l.Source.Current().Moves) == 0 {
		return false
	}
	if l.elector.Leads(l.Clock.Now(), 0) {
		return true
	}
	self := l.View.Self()
	ahead := 0
	for _, m := range l.View.Members() {
		if m.State == gossiper.Alive && candidateRank(m.Name) < candidateRank(self.Name) {
			ahead++
		}
	}
	return ahead < maxCandidates
}

func candidateRank(name string) uint64 { return xxhash.Sum64String("moves/" + name) }

// runElection passes a message to the elector and performs the reads and writes
// that it asks for, until it asks for none.
func (l *leaderLoop) runElection(ctx context.Context, message elector.Message) {
	for effect := l.elector.Step(message); effect != nil; effect = l.elector.Step(message) {
		switch e := effect.(type) {
		case elector.Read:
			message = l.readLease(ctx)
		case elector.Write:
			message = l.writeLease(ctx, e)
		}
	}
}

func (l *leaderLoop) readLease(ctx context.Context) elector.ReadDone {
	rows, err := l.Table.Read(ctx, elector.LeaseKey)
	done := elector.ReadDone{At: l.Clock.Now(), Failed: err != nil}
	if err == nil && len(rows) > 0 {
		done.Version = rows[0].Version
		done.Failed = json.Unmarshal(rows[0].Value, &done.Lease) != nil
	}
	return done
}

func (l *leaderLoop) writeLease(ctx context.Context, e elector.Write) elector.WriteDone {
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
		Unknown: platform.EffectOf(err) != platform.NoEffect && err != nil,
	}
}

// resign releases the lease at a planned shutdown.
func (l *leaderLoop) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout.Duration())
	defer cancel()
	if l.elector.Leads(l.Clock.Now(), 0) {
		l.runElection(ctx, elector.Resign{At: l.Clock.Now()})
	}
}

// startLeadership resets the state of an earlier leadership.
func (l *leaderLoop) startLeadership() {
	l.leader, l.epoch = &stager.Leader{}, l.elector.Epoch()
	l.rows = nil
	l.acknowledged = map[string]int64{}
	l.reports = map[string]stager.Report{}
	l.stops = map[string]stager.Stop{}
	l.windows = evidence{}
	l.plans = &wire.MovePlans{Epoch: l.epoch, Leader: l.View.Self().Name}
	klog.InfoS("became the leader of the moves", "epoch", l.epoch)
}

// runRound reads the rows, gathers the evidence of the daemons, decides, writes
// the changed rows, sends the plans to the daemons and the orders to the
// upstreams. A row that is not in the table has no effect on any share.
func (l *leaderLoop) runRound(ctx context.Context) {
	if rows, err := l.readRows(ctx); err != nil {
		klog.ErrorS(err, "reading the rows of the moves failed; the round uses the rows read before, if any")
	} else {
		l.rows = rows
	}
	if l.rows == nil {
		return
	}
	l.exchangeAll(ctx)
	config := l.Source.Current()
	out := l.leader.Step(stager.LeaderInput{
		Now: l.Clock.Now(), Epoch: l.epoch, LeaderSince: l.elector.LeaderSince(), Moves: config.Moves, Rows: l.rows,
		Upstreams: l.upstreamsByPool(config), Windows: l.windows, Stops: l.stopList(),
	})
	l.windows = evidence{}
	l.preparePlans(out)
	for _, row := range out.Changed {
		if err := l.writeRow(ctx, row); err != nil {
			klog.ErrorS(err, "writing the row of a move failed", "move", row.Move)
		}
	}
	l.exchangeAll(ctx)
	l.sendOrders(ctx, config, out.Orders)
}

func (l *leaderLoop) stopList() (stops []stager.Stop) {
	for _, stop := range l.stops {
		stops = append(stops, stop)
	}
	return stops
}

// preparePlans sets the plans and rows that the next exchange sends.
func (l *leaderLoop) preparePlans(out stager.LeaderOutput) {
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

// writeRow writes a row on condition that the lease row is unchanged, so that
// only the present leader can write it.
func (l *leaderLoop) writeRow(ctx context.Context, row stager.Row) (err error) {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	result, err := l.Table.Apply(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: elector.LeaseKey, Version: l.elector.Version()}},
		Writes:     []platform.Write{{Key: row.Key(), Value: value}},
	})
	if err == nil && !result.Applied {
		l.elector.RequireRead()
		err = errors.New("lease row has changed; this daemon may have lost the lease")
	}
	return err
}

// exchangeAll sends the plans to all daemons and adds the evidence that they
// return.
func (l *leaderLoop) exchangeAll(ctx context.Context) {
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
			out, err := l.exchangeWith(ctx, self, member, in)
			if err != nil {
				klog.V(1).InfoS("exchange with a daemon failed; its evidence is missing from this round", "member", member.Name, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			l.addEvidence(name, out)
		})
	}
	wait.Wait()
}

// exchangeWith exchanges with another daemon, or with this one without a network
// call.
func (l *leaderLoop) exchangeWith(ctx context.Context, self string, member gossiper.Member, in *wire.MovePlans) (out *wire.MoveEvidence, err error) {
	if member.Name == self {
		return (&server{mover: l.Mover}).Exchange(ctx, in)
	}
	return l.callExchange(ctx, member, in)
}

// addEvidence adds a daemon's evidence and acknowledges it in the next exchange.
// Evidence that an earlier reply held too is sent again only if that reply was
// not acknowledged.
func (l *leaderLoop) addEvidence(daemon string, out *wire.MoveEvidence) {
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

// upstreamsByPool returns the upstreams that are not leaving, with their
// reports, by pool.
func (l *leaderLoop) upstreamsByPool(config *inventory.Config) map[string][]stager.Upstream {
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

// sendOrders sends each order only if the lease outlasts the timeout of the
// order. If an upstream has obeyed a later leader, the lease row is read again.
func (l *leaderLoop) sendOrders(ctx context.Context, config *inventory.Config, orders []stager.Order) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, o := range orders {
		u, found := inventory.Lookup(config.Upstreams, o.Upstream)
		if !found || !l.elector.Leads(l.Clock.Now(), stager.OrderTimeout) {
			continue
		}
		epoch := l.epoch
		wait.Go(func() {
			err := l.sendOrder(ctx, u, epoch, o)
			l.metrics.orders.WithLabelValues(string(o.Kind), orderResult(err)).Inc()
			if err == nil {
				klog.InfoS("upstream obeyed an order", "upstream", u.Name, "kind", o.Kind, "version", o.Version, "epoch", epoch)
				return
			}
			klog.ErrorS(err, "order to an upstream failed")
			if errors.Is(err, errFenced) {
				mu.Lock()
				defer mu.Unlock()
				l.elector.RequireRead()
			}
		})
	}
	wait.Wait()
}

// orderResult returns the value of the result label in the metric of orders.
func orderResult(err error) string {
	switch {
	case err == nil:
		return "obeyed"
	case errors.Is(err, errFenced):
		return "fenced"
	default:
		return "failed"
	}
}
