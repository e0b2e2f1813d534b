package releaser

import (
	"maps"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/scheduler"
)

// TickInterval is the time between two Ticks.
const TickInterval = 500 * clock.Millisecond

// maxBaselines bounds the routes whose usual times are kept.
const maxBaselines = 4096

// historyTicks is the number of past sums that are kept of an order.
const historyTicks = 30

// collectorCount is the number of daemons to which all others report on an order.
const collectorCount = 2

// comparedWindows are the spans that are compared beside all the time of an order, in ticks; a
// version may turn bad late.
//
//nolint:gochecknoglobals // A constant list.
var comparedWindows = [...]int{2, 6, 20, historyTicks}

// Core decides which share of a pool's requests a version under order gets. It is a state
// machine without I/O. Its exported fields are set before the first Update; it is not safe for
// concurrent use.
type Core struct {
	// Daemon is the name of this daemon.
	Daemon string
	// TestShare is the share of a pool's requests that a version gets until its order's time
	// is over, above 0 and below 1.
	TestShare float64

	now      clock.Millis
	releases map[string]*release
	// served and ranks are those of the last Orders.
	served map[string][]string
	ranks  map[string]int
	// baselines holds the usual times of the old versions by pool and route.
	baselines map[[2]string]*baseline
}

// release is the state of one order.
type release struct {
	Order

	// since is when the order was first known to any daemon, as far as is known here.
	since   clock.Millis
	stopped bool
	// own holds what was counted here, and heard the newest report of each other daemon.
	own   map[Cell]Counts
	heard map[string]map[Cell]Counts
	// history holds the sums over all daemons at each past tick, the newest last.
	history []map[Cell]Counts
	// applied are the shares that are in force, nil before the first.
	applied *scheduler.Shares
	// missingSince is when the order was first not listed, 0 while it is.
	missingSince clock.Millis
	// status tracks what the operator was told.
	status status
}

// isRepeatedBy reports whether an order is the one of this release, written once more, as after
// the register was restored.
func (r *release) isRepeatedBy(order Order) bool {
	return r.Pool == order.Pool && r.To == order.To && r.Duration == order.Duration
}

// orderRetention is how long an order that is no longer listed stays in force: a register that was
// restored may lack it until it is written again.
const orderRetention = 10 * clock.Second

// Update handles one message and returns the effects. Time never goes back.
func (c *Core) Update(now clock.Millis, m Message) (effects []Effect) {
	c.now = max(c.now, now)
	if c.releases == nil {
		c.releases, c.baselines = map[string]*release{}, map[[2]string]*baseline{}
	}
	switch m := m.(type) {
	case Orders:
		effects = c.handleOrders(m)
	case Begun:
		c.handleBegun(m)
	case Ended:
		c.handleEnded(m)
	case Heard:
		c.handleReport(m.Report)
	case Written:
		if r := c.releases[m.Order]; r != nil {
			r.status.noteWritten(m.State)
		}
	case Tick:
		for _, id := range slices.Sorted(maps.Keys(c.releases)) {
			r := c.releases[id]
			effects = append(effects, c.judge(r)...)
			told := Testing
			if r.stopped {
				told = Stopped
			}
			if r.status.isDue(c.now, told, c.ranks[r.Pool]) {
				effects = append(effects, Write{Order: r.Order, State: told})
			}
		}
	}
	return append(effects, c.applyShares()...)
}

// handleOrders adds new orders and drops those that another one replaces, and those that have not
// been listed for orderRetention; a stopped version stays stopped while it has upstreams.
func (c *Core) handleOrders(m Orders) (effects []Effect) {
	c.served, c.ranks = m.Served, m.Ranks
	listed := map[string]bool{}
	for _, order := range m.List {
		listed[order.ID] = true
		if c.releases[order.ID] == nil {
			c.addOrder(order)
		}
	}
	for id, r := range c.releases {
		switch {
		case listed[id]:
			r.missingSince = 0
			continue
		case r.missingSince == 0:
			r.missingSince = c.now
		}
		replaced := slices.ContainsFunc(m.List, func(o Order) bool { return o.Pool == r.Pool })
		needed := r.stopped && slices.Contains(c.served[r.Pool], r.To)
		switch {
		case replaced:
			delete(c.releases, id)
		case c.now-r.missingSince >= orderRetention && !needed:
			delete(c.releases, id)
			effects = append(effects, SetShares{Pool: r.Pool})
		}
	}
	return effects
}

// addOrder adds an order that is listed for the first time.
func (c *Core) addOrder(order Order) {
	for id, r := range c.releases {
		if r.isRepeatedBy(order) {
			delete(c.releases, id)
			r.Order, r.missingSince, r.status = order, 0, status{}
			c.releases[order.ID] = r
			return
		}
	}
	c.releases[order.ID] = &release{Order: order, since: c.now, own: map[Cell]Counts{}, heard: map[string]map[Cell]Counts{}}
}

// releaseOf returns the release of a pool, nil if there is none.
func (c *Core) releaseOf(pool string) *release {
	for _, r := range c.releases {
		if r.Pool == pool {
			return r
		}
	}
	return nil
}

// baselineOf returns the usual times of the old versions of a pool on a route.
func (c *Core) baselineOf(pool, route string) *baseline {
	key := [2]string{pool, route}
	if c.baselines[key] == nil {
		if len(c.baselines) >= maxBaselines {
			clear(c.baselines)
		}
		c.baselines[key] = &baseline{}
	}
	return c.baselines[key]
}

// handleBegun counts a first token.
func (c *Core) handleBegun(m Begun) {
	r, usual := c.releaseOf(m.Pool), c.baselineOf(m.Pool, m.Route)
	isNew := r != nil && m.Version == r.To
	if r != nil {
		r.count(Cell{m.Route, isNew}, Counts{Requests: 1, Slow: usual.slow(m.FirstTokenTime)})
	}
	if !isNew {
		usual.add(m.FirstTokenTime)
	}
}

// handleEnded counts a failure.
func (c *Core) handleEnded(m Ended) {
	r := c.releaseOf(m.Pool)
	if r == nil || !m.Failed {
		return
	}
	counts := Counts{Failed: 1}
	if m.FirstTokenTime == 0 {
		counts.Requests = 1
	}
	r.count(Cell{m.Route, m.Version == r.To}, counts)
}

func (r *release) count(cell Cell, counts Counts) { r.own[cell] = r.own[cell].plus(counts) }

// handleReport takes what another daemon knows.
func (c *Core) handleReport(report Report) {
	r := c.releases[report.Order]
	if r == nil || report.Daemon == c.Daemon {
		return
	}
	r.since = min(r.since, c.now-report.Age)
	r.stopped = r.stopped || report.Stopped
	r.status.noteWritten(report.Written)
	if len(report.Cells) > 0 {
		r.heard[report.Daemon] = report.Cells
	}
}

// sum returns the counts of all daemons; Cell.Route is empty for all routes together.
func (r *release) sum() map[Cell]Counts {
	total := map[Cell]Counts{}
	add := func(cells map[Cell]Counts) {
		for cell, counts := range cells {
			total[cell] = total[cell].plus(counts)
			all := Cell{New: cell.New}
			total[all] = total[all].plus(counts)
		}
	}
	add(r.own)
	for _, cells := range r.heard {
		add(cells)
	}
	return total
}

// judge compares the versions over all windows and routes, and stops the new one if it is
// worse.
func (c *Core) judge(r *release) (effects []Effect) {
	now := r.sum()
	r.history = append(r.history, now)
	r.history = r.history[max(len(r.history)-historyTicks-1, 0):]
	if r.stopped {
		return nil
	}
	strongest := strongestEvidence(now, nil, c.now-r.since)
	for _, ticks := range comparedWindows {
		if len(r.history) <= ticks {
			break
		}
		evidence := strongestEvidence(now, r.history[len(r.history)-1-ticks], clock.Millis(ticks)*TickInterval)
		if evidence.LogRatio > strongest.LogRatio {
			strongest = evidence
		}
	}
	if strongest.LogRatio < stopLogRatio {
		return nil
	}
	r.stopped = true
	return []Effect{Found{Order: r.Order, Evidence: strongest}}
}

// strongestEvidence compares the versions over a window, on each route and on all together.
func strongestEvidence(now, before map[Cell]Counts, window clock.Millis) (strongest Evidence) {
	for cell, counts := range now {
		if !cell.New {
			continue
		}
		older := Cell{Route: cell.Route}
		evidence := compare(counts.minus(before[cell]), now[older].minus(before[older]))
		evidence.Route, evidence.Window = cell.Route, window
		if evidence.LogRatio > strongest.LogRatio {
			strongest = evidence
		}
	}
	return strongest
}

// state returns how far an order is.
func (c *Core) state(r *release) State {
	switch {
	case r.stopped:
		return Stopped
	case c.now-r.since >= r.Duration:
		return Sharing
	default:
		return Testing
	}
}

// applyShares returns the shares that have changed.
func (c *Core) applyShares() (effects []Effect) {
	for _, id := range slices.Sorted(maps.Keys(c.releases)) {
		r := c.releases[id]
		shares := c.shares(r)
		if r.applied == nil || !maps.Equal(r.applied.Shares, shares.Shares) {
			r.applied = &shares
			effects = append(effects, SetShares{Pool: r.Pool, Shares: shares})
		}
	}
	return effects
}

// shares returns the shares of a pool's versions. A version that is alone in its pool gets all
// requests unless it was stopped.
func (c *Core) shares(r *release) (shares scheduler.Shares) {
	alone := !slices.ContainsFunc(c.served[r.Pool], func(version string) bool { return version != r.To })
	shares.NonIdempotent = []string{r.To}
	switch state := c.state(r); {
	case state == Stopped:
		shares.Shares = map[string]float64{r.To: 0}
	case state == Testing && !alone:
		shares.Shares = map[string]float64{r.To: c.TestShare}
	}
	return shares
}

// Reports returns what this daemon knows of all orders, sorted by order.
func (c *Core) Reports() (reports []Report) {
	for _, id := range slices.Sorted(maps.Keys(c.releases)) {
		r := c.releases[id]
		reports = append(reports, Report{
			Daemon: c.Daemon, Order: id, Pool: r.Pool, Age: c.now - r.since, Stopped: r.stopped, Written: r.status.written, Cells: maps.Clone(r.own),
		})
	}
	return reports
}

// OrderState is an order and how far it is.
type OrderState struct {
	Order Order
	State State
}

// Orders returns the states of all orders, sorted by ID.
func (c *Core) Orders() (states []OrderState) {
	for _, id := range slices.Sorted(maps.Keys(c.releases)) {
		r := c.releases[id]
		states = append(states, OrderState{r.Order, c.state(r)})
	}
	return states
}

// Limits reports whether a version of a pool gets fewer requests than others.
func (c *Core) Limits(pool, version string) bool {
	r := c.releaseOf(pool)
	return r != nil && r.To == version && r.applied != nil && len(r.applied.Shares) > 0
}
