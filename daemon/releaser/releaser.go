package releaser

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/ring"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/sharder"
)

const (
	// orderInterval is the time between two looks for orders.
	orderInterval = 100 * clock.Millisecond
	// exchangeTimeout bounds a call to a collector.
	exchangeTimeout = 800 * clock.Millisecond
	// membersPerTick bounds the messages to the collectors: a report takes the place of one
	// tick more for each so many members.
	membersPerTick = 100
	// idleReports is the number of reports that a daemon which has counted nothing sends one
	// for.
	idleReports = 4
	// writeTimeout bounds one write for the operator.
	writeTimeout  = 1500 * clock.Millisecond
	writeRingSize = 16
)

// StatusWriter writes the states of orders where the operator reads them.
type StatusWriter interface {
	// WriteState writes the state of an order, unless a final one of the same order is
	// there. It may be called by several daemons.
	WriteState(ctx context.Context, order Order, state State) error
}

// Releaser runs a Core: it feeds it with orders and with the results of this daemon's
// schedulers, exchanges reports with other daemons, and carries out its effects. Its exported
// fields are set before use; it is safe for concurrent use.
type Releaser struct {
	// Core is used by the Releaser alone.
	Core *Core
	// Orders returns the orders in force.
	Orders    func() []Order
	Source    inventory.Source
	View      gossiper.View
	Connector *connector.Connector
	Clock     clock.Clock
	// SetShares sets the shares of traffic by version on this daemon's schedulers. It must not
	// block or call back.
	SetShares func(pool string, shares scheduler.Shares)
	Statuses  StatusWriter
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer

	once   sync.Once
	writes *ring.Queue[Write]
	states *prometheus.GaugeVec

	mu sync.Mutex
	// calling holds the daemons to which a call is open, with the order that it is for.
	calling map[call]bool
	// ticks is used by Run's goroutine only.
	ticks int
}

func (r *Releaser) prepare() {
	r.once.Do(func() {
		r.writes = ring.NewQueue[Write](writeRingSize)
		r.calling = map[call]bool{}
		r.states = prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "yuccaspread_order_state", Help: "State of the order for a version of a pool: 1 testing, 2 sharing, 3 stopped.",
		}, []string{"pool", "version"})
		if r.Registerer != nil {
			r.Registerer.MustRegister(r.states)
		}
	})
}

// Run follows the orders until ctx ends.
func (r *Releaser) Run(ctx context.Context) {
	r.prepare()
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { r.runWrites(ctx) })
	ticker := clock.NewTicker(orderInterval)
	defer ticker.Stop()
	for passed := clock.Millis(0); ; passed += orderInterval {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			orders := r.Orders()
			r.update(Orders{List: orders, Served: servedVersions(r.Source.Current().Upstreams, orders), Ranks: r.ranks(orders)})
			if passed%TickInterval == 0 {
				r.tick(ctx)
			}
		}
	}
}

func (r *Releaser) tick(ctx context.Context) {
	r.update(Tick{})
	r.ticks++
	interval := max(len(r.View.Members())/membersPerTick, 1)
	r.mu.Lock()
	reports := r.Core.Reports()
	r.states.Reset()
	for _, o := range r.Core.Orders() {
		r.states.WithLabelValues(o.Order.Pool, o.Order.To).Set(float64(o.State))
	}
	r.mu.Unlock()
	for _, report := range reports {
		if len(report.Cells) == 0 && r.ticks%(interval*idleReports) != 0 || r.ticks%interval != 0 {
			continue
		}
		collectors := r.collectors(report.Pool)
		for _, m := range collectors[:min(collectorCount, len(collectors))] {
			if m.Name != r.Core.Daemon {
				r.send(ctx, m, report)
			}
		}
	}
}

// update passes a message to the core and carries out the effects, in the order of the updates.
func (r *Releaser) update(m Message) {
	r.prepare()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.Core.Update(r.Clock.Now(), m) {
		switch e := e.(type) {
		case SetShares:
			klog.InfoS("shares of versions changed", "pool", e.Pool, "shares", e.Shares.Shares)
			r.SetShares(e.Pool, e.Shares)
		case Found:
			klog.InfoS("version under order is worse than the others and is stopped", "pool", e.Order.Pool, "version", e.Order.To,
				"order", e.Order.ID, "what", e.Evidence.What, "route", e.Evidence.Route, "window_ms", e.Evidence.Window,
				"events", e.Evidence.Events, "requests", e.Evidence.Requests,
				"old_events", e.Evidence.OldEvents, "old_requests", e.Evidence.OldRequests, "log_ratio", e.Evidence.LogRatio)
		case Write:
			if !r.writes.TryPush(e) {
				klog.InfoS("state of an order not written yet, others wait; it is tried again", "order", e.Order.ID, "state", e.State.String())
			}
		}
	}
}

// servedVersions returns the versions with upstreams that stay, of the pools with an order.
func servedVersions(upstreams []inventory.Upstream, orders []Order) map[string][]string {
	served := map[string][]string{}
	for _, o := range orders {
		served[o.Pool] = nil
	}
	for _, u := range upstreams {
		if versions, found := served[u.Pool]; found && !u.Leaving && !slices.Contains(versions, u.Version) {
			served[u.Pool] = append(versions, u.Version)
		}
	}
	return served
}

// collectors returns the eligible daemons in the order in which they collect reports on a pool.
func (r *Releaser) collectors(pool string) (members []gossiper.Member) {
	for _, m := range r.View.Members() {
		if sharder.IsEligible(m) {
			members = append(members, m)
		}
	}
	key := "release/" + pool
	slices.SortFunc(members, func(a, b gossiper.Member) int {
		return cmp.Compare(sharder.Rank(b.Name, key), sharder.Rank(a.Name, key))
	})
	return members
}

func (r *Releaser) ranks(orders []Order) map[string]int {
	ranks := map[string]int{}
	for _, o := range orders {
		members := r.collectors(o.Pool)
		ranks[o.Pool] = len(members)
		if i := slices.IndexFunc(members, func(m gossiper.Member) bool { return m.Name == r.Core.Daemon }); i >= 0 {
			ranks[o.Pool] = i
		}
	}
	return ranks
}

// call identifies the calls of which one is open at a time.
type call struct{ daemon, order string }

// send sends a report to a daemon and takes the reply, unless a call to it is open.
func (r *Releaser) send(ctx context.Context, m gossiper.Member, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := call{m.Name, report.Order}
	if r.calling[key] {
		return
	}
	r.calling[key] = true
	go func() {
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.calling, key)
		}()
		reply, err := r.exchange(ctx, m, report)
		if err != nil {
			klog.V(1).InfoS("report on an order not sent; the next one holds it too", "daemon", m.Name, "order", report.Order, "error", err.Error())
			return
		}
		for _, heard := range reply.GetReports() {
			r.update(Heard{fromWire(heard)})
		}
	}()
}

func (r *Releaser) exchange(ctx context.Context, m gossiper.Member, report Report) (reply *wire.ReleaseReports, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	conn := r.Connector.PooledConn(ctx, m.PeerListen)
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCReleasesClient(conn).Exchange(ctx, &wire.ReleaseReports{Reports: []*wire.ReleaseReport{toWire(report)}})
}

// runWrites writes states for the operator until ctx ends.
func (r *Releaser) runWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-r.writes.Items():
			r.write(ctx, w)
		}
	}
}

func (r *Releaser) write(ctx context.Context, w Write) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	if err := r.Statuses.WriteState(ctx, w.Order, w.State); err != nil {
		klog.ErrorS(err, "state of an order not written; it is tried again", "order", w.Order.ID, "pool", w.Order.Pool, "state", w.State.String())
		return
	}
	klog.InfoS("state of an order written", "order", w.Order.ID, "pool", w.Order.Pool, "version", w.Order.To, "state", w.State.String())
	r.update(Written{Order: w.Order.ID, State: w.State})
}

// Begin counts a request that was begun to be answered; it is a granter.Granter.ObserveStart.
func (r *Releaser) Begin(s granter.RequestStart) {
	r.update(Begun{Pool: s.Pool, Version: s.Version, Route: s.Route, FirstTokenTime: s.FirstTokenTime})
}

// Observe implements granter.Observer.
func (r *Releaser) Observe(result granter.RequestResult) {
	failed := false
	switch result.Outcome {
	case reserver.Failed, reserver.UpstreamDied, reserver.ConnectionBroken:
		failed = true
	case reserver.Completed, reserver.NotSent, reserver.Cancelled:
	}
	r.update(Ended{
		Pool: result.Pool, Version: result.Version, Route: result.Route, FirstTokenTime: result.FirstTokenTime, Failed: failed,
	})
}

// Limits reports whether an upstream's version gets fewer requests than others.
func (r *Releaser) Limits(u inventory.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Core.Limits(u.Pool, u.Version)
}

// Register registers the service for other daemons at mux.
func (r *Releaser) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterReleases(mux, (*server)(r))
}

type server Releaser

// Exchange implements wire.DRPCReleasesServer.
func (s *server) Exchange(_ context.Context, in *wire.ReleaseReports) (out *wire.ReleaseReports, err error) {
	r := (*Releaser)(s)
	asked := map[string]bool{}
	for _, report := range in.GetReports()[:min(len(in.GetReports()), maxReports)] {
		r.update(Heard{fromWire(report)})
		asked[report.GetOrder()] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out = &wire.ReleaseReports{}
	for _, report := range r.Core.Reports() {
		if asked[report.Order] {
			report.Cells = nil
			out.Reports = append(out.Reports, toWire(report))
		}
	}
	return out, nil
}
