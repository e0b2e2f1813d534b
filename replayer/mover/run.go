package mover

import (
	"fmt"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/elector"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// run is the state of one simulation.
type run struct {
	*scenario
	now     clock.Millis
	table   table
	engines []*engine
	daemons []*daemon
	// requestEnds holds the active requests by the tick at which they end.
	requestEnds map[clock.Millis][]activeRequest
	out         Outcome
	// ordersInFlight were sent and have not reached their upstream.
	ordersInFlight []pendingOrder
	// firstStop is the time of the first stop, 0 for none.
	firstStop      clock.Millis
	shareCounts    map[string]*shareCount
	firstStageOver bool
}

// activeRequest is a request in progress.
type activeRequest struct {
	granted clock.Millis
	engine  *engine
	daemon  *daemon
	key     judge.Key
	sample  judge.Sample
}

// Run simulates the scenario with the seed.
func Run(name string, seed uint64) (out Outcome, err error) {
	s, err := drawScenario(name, seed)
	if err != nil {
		return out, err
	}
	r := &run{scenario: s, table: table{rows: map[string]stager.Row{}, epochs: map[int64]bool{}}, shareCounts: map[string]*shareCount{}, requestEnds: map[clock.Millis][]activeRequest{}}
	r.out = Outcome{Scenario: name, Seed: seed, FirstShare: s.move.FirstShare, Expected: s.expectedOutcome()}
	r.createRegions()
	for r.now = 0; r.now < s.end; r.now += tick {
		r.step()
	}
	r.evaluate()
	return r.out, nil
}

// createRegions sets up three regions with one daemon and four engines each.
func (r *run) createRegions() {
	generations := []string{"g3", "g4", "g5"}
	for i, region := range []string{"r0", "r1", "r2"} {
		d := &daemon{
			name: fmt.Sprintf("d%d", i), region: region, clockRate: 1 + float64(r.rng.IntN(7)-3)/1000,
			evidence: judge.Window{},
		}
		d.elector = elector.Elector{Name: d.name, Span: stager.LeaseSpan}
		r.daemons = append(r.daemons, d)
		for j := range 4 {
			e := &engine{version: "v1", loaded: []string{"v1"}, runningByVersion: map[string]int{}}
			e.Name = fmt.Sprintf("%s-u%d", region, j)
			e.Region = region
			e.Generation = generations[r.rng.IntN(3)]
			e.Slots = map[string]int{"g3": 16, "g4": 20, "g5": 24}[e.Generation]
			e.ChecksFencing = r.rng.IntN(2) == 0
			r.engines = append(r.engines, e)
		}
	}
}

// step simulates one tick.
func (r *run) step() {
	for len(r.changes) > 0 && r.changes[0].at <= r.now {
		r.move.State, r.move.Due = r.changes[0].state, r.changes[0].due
		r.changes = r.changes[1:]
	}
	r.stepEngines()
	r.endRequests()
	r.sendRequests()
	r.judgeEvidence()
	for _, d := range r.daemons {
		if !r.isPaused(d) {
			r.stepElector(d)
		}
	}
}

// isPaused reports whether the daemon is suspended, that is, was leading when a
// pause began.
func (r *run) isPaused(d *daemon) bool {
	pauseActive := slices.ContainsFunc(r.pauses, func(p interval) bool { return p.contains(r.now) })
	return pauseActive && d.leader != nil
}

func (r *run) tableDown() bool {
	return slices.ContainsFunc(r.outages, func(o interval) bool { return o.contains(r.now) })
}

// stepEngines delivers the orders that are due and divides the bandwidth of the
// weight store among the engines that are loading.
func (r *run) stepEngines() {
	r.ordersInFlight = slices.DeleteFunc(r.ordersInFlight, func(h pendingOrder) bool {
		if h.deliverAt > r.now {
			return false
		}
		engineIndex := slices.IndexFunc(r.engines, func(e *engine) bool { return e.Name == h.order.Upstream })
		r.engines[engineIndex].executeOrder(h.order, h.epoch, &r.out)
		return true
	})
	loads := 0
	for _, e := range r.engines {
		if e.loading != "" {
			loads++
		}
	}
	bytes := storeBytesPerSecond * float64(tick) / 1000 / float64(max(loads, 1))
	for _, e := range r.engines {
		e.advance(bytes)
	}
}

// judgeEvidence lets each daemon judge its own evidence and passes a new stop to
// all daemons.
func (r *run) judgeEvidence() {
	for _, d := range r.daemons {
		stop := d.judgeEvidence(r.now)
		if stop == nil {
			continue
		}
		if r.firstStop == 0 {
			r.firstStop = r.now
		}
		for _, other := range r.daemons {
			if other.stop == nil || other.stop.Attempt != stop.Attempt {
				other.stop = stop
			}
		}
	}
}

// stepElector sends the orders that a pause held back, then runs the daemon's
// leader election and, once per second, the leader's step.
func (r *run) stepElector(d *daemon) {
	for _, h := range d.heldOrders {
		h.deliverAt = r.now
		r.ordersInFlight = append(r.ordersInFlight, h)
	}
	d.heldOrders = nil
	message := d.reply
	d.reply = nil
	if message == nil {
		message = elector.Tick{At: d.clockTime(r.now)}
	}
	if effect := d.elector.Step(message); effect != nil {
		d.reply = r.table.execute(effect, d.clockTime(r.now), r.tableDown(), r.rng.Float64() < r.lostReplyShare)
	}
	if d.updateLeadership(r.now) && r.now%clock.Second == 0 {
		r.stepLeader(d)
	}
}

// stepLeader runs one step of the leader and applies its output.
func (r *run) stepLeader(d *daemon) {
	daemonTime := d.clockTime(r.now)
	down := r.tableDown()
	if !down {
		d.rows = copyRows(r.table.rows)
	}
	if d.rows == nil {
		return
	}
	in := stager.LeaderInput{
		Now: daemonTime, Epoch: d.epoch, LeaderSince: d.elector.LeaderSince(), Rows: d.rows,
		Upstreams: map[string][]stager.Upstream{r.move.Pool: r.readUpstreams(daemonTime)},
		Windows:   map[string]judge.Window{r.move.Name: {}},
	}
	wanted := r.move
	wanted.Due = d.clockTime(r.move.Due)
	in.Moves = []inventory.Move{wanted}
	for _, other := range r.daemons {
		in.Windows[r.move.Name].Merge(other.takeEvidence(d.epoch))
		if other.stop != nil {
			in.Stops = append(in.Stops, *other.stop)
		}
	}
	out := d.leader.Step(in)
	for _, row := range out.Changed {
		if !down && !r.table.putRow(row, d.elector.Version()) {
			d.elector.RequireRead()
		}
	}
	for _, plan := range out.Plans {
		for _, other := range r.daemons {
			other.applyPlan(plan, d.epoch)
		}
	}
	r.sendOrders(d, out.Orders)
}

// readUpstreams reads the reports of all engines.
func (r *run) readUpstreams(now clock.Millis) (list []stager.Upstream) {
	for _, e := range r.engines {
		e.Report = stager.Report{At: now, Version: e.version, Loaded: slices.Clone(e.loaded), Loading: e.loading}
		list = append(list, e.Upstream)
	}
	return list
}

// sendOrders sends orders to the engines. Some pauses of a leader begin here,
// after it checked its lease, so that orders are sent only after the pause.
func (r *run) sendOrders(d *daemon, orders []stager.Order) {
	pauseBegins := len(orders) > 0 && r.sendPauseProbability > 0 && r.rng.Float64() < r.sendPauseProbability
	if pauseBegins {
		r.pauses = append(r.pauses, interval{r.now, r.now + clock.Millis(2+r.rng.IntN(40))*clock.Second})
	}
	for _, order := range orders {
		r.out.OrdersSent++
		pending := pendingOrder{order: order, epoch: d.epoch, deliverAt: r.now + clock.Millis(r.rng.IntN(500))}
		if pauseBegins && r.rng.IntN(2) == 0 {
			d.heldOrders = append(d.heldOrders, pending)
			continue
		}
		r.ordersInFlight = append(r.ordersInFlight, pending)
	}
}
