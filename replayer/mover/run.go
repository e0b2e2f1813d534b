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

// run is one replay.
type run struct {
	*scenario
	at      clock.Millis
	table   table
	engines []*engine
	daemons []*daemon
	// ends are the requests in progress by the tick at which they end.
	ends map[clock.Millis][]ending
	out  Outcome
	// flying are orders on their way.
	flying []held
	// stopped is when the first stop came, 0 for none.
	stopped clock.Millis
	spread  map[string]*spreadCount
	raised  bool
}

// ending is a request in progress.
type ending struct {
	granted clock.Millis
	engine  *engine
	daemon  *daemon
	key     judge.Key
	sample  judge.Sample
}

// Run replays the scenario with the seed.
func Run(name string, seed uint64) (out Outcome, err error) {
	s, err := draw(name, seed)
	if err != nil {
		return out, err
	}
	r := &run{scenario: s, table: table{rows: map[string]stager.Row{}, epochs: map[int64]bool{}}, spread: map[string]*spreadCount{}, ends: map[clock.Millis][]ending{}}
	r.out = Outcome{Scenario: name, Seed: seed, FirstShare: s.move.FirstShare, Expected: s.expected()}
	r.build()
	for r.at = 0; r.at < s.end; r.at += tick {
		r.step()
	}
	r.settle()
	return r.out, nil
}

// build sets up three regions with a daemon and four engines each.
func (r *run) build() {
	generations := []string{"g3", "g4", "g5"}
	for i, region := range []string{"r0", "r1", "r2"} {
		d := &daemon{
			name: fmt.Sprintf("d%d", i), region: region, clockRate: 1 + float64(r.rng.IntN(7)-3)/1000,
			digest: judge.Window{},
		}
		d.elector = elector.Elector{Name: d.name, Span: stager.LeaseSpan}
		r.daemons = append(r.daemons, d)
		for j := range 4 {
			e := &engine{version: "v1", loaded: []string{"v1"}, running: map[string]int{}}
			e.Name = fmt.Sprintf("%s-u%d", region, j)
			e.Region = region
			e.Generation = generations[r.rng.IntN(3)]
			e.Slots = map[string]int{"g3": 16, "g4": 20, "g5": 24}[e.Generation]
			e.ChecksFencing = r.rng.IntN(2) == 0
			r.engines = append(r.engines, e)
		}
	}
}

// step lets a tick pass.
func (r *run) step() {
	for len(r.changes) > 0 && r.changes[0].at <= r.at {
		r.move.State, r.move.Due = r.changes[0].state, r.changes[0].due
		r.changes = r.changes[1:]
	}
	r.engineStep()
	r.end()
	r.request()
	r.watch()
	for _, d := range r.daemons {
		if !r.paused(d) {
			r.contend(d)
		}
	}
}

// paused tells whether the daemon is the one that led when a pause began.
func (r *run) paused(d *daemon) bool {
	paused := slices.ContainsFunc(r.pauses, func(p span) bool { return p.holds(r.at) })
	return paused && d.leader != nil
}

func (r *run) down() bool {
	return slices.ContainsFunc(r.outages, func(o span) bool { return o.holds(r.at) })
}

// engineStep delivers orders and moves weights.
func (r *run) engineStep() {
	r.flying = slices.DeleteFunc(r.flying, func(h held) bool {
		if h.at > r.at {
			return false
		}
		at := slices.IndexFunc(r.engines, func(e *engine) bool { return e.Name == h.order.Upstream })
		r.engines[at].obey(h.order, h.epoch, &r.out)
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

// watch lets each daemon judge its own evidence and spreads stops.
func (r *run) watch() {
	for _, d := range r.daemons {
		stop := d.watch(r.at)
		if stop == nil {
			continue
		}
		if r.stopped == 0 {
			r.stopped = r.at
		}
		for _, other := range r.daemons {
			if other.stop == nil || other.stop.Attempt != stop.Attempt {
				other.stop = stop
			}
		}
	}
}

// contend runs a daemon's part in the leadership.
func (r *run) contend(d *daemon) {
	for _, h := range d.held {
		h.at = r.at
		r.flying = append(r.flying, h)
	}
	d.held = nil
	message := d.reply
	d.reply = nil
	if message == nil {
		message = elector.Tick{At: d.now(r.at)}
	}
	if effect := d.elector.Step(message); effect != nil {
		d.reply = r.table.effect(effect, d.now(r.at), r.down(), r.rng.Float64() < r.lostReply)
	}
	if d.lead(r.at) && r.at%clock.Second == 0 {
		r.lead(d)
	}
}

// lead is one step of the leader.
func (r *run) lead(d *daemon) {
	now := d.now(r.at)
	down := r.down()
	if !down {
		d.rows = copyRows(r.table.rows)
	}
	if d.rows == nil {
		return
	}
	in := stager.LeaderInput{
		Now: now, Epoch: d.epoch, Since: d.elector.Since(), Rows: d.rows,
		Upstreams: map[string][]stager.Upstream{r.move.Pool: r.upstreams(now)},
		Windows:   map[string]judge.Window{r.move.Name: {}},
	}
	wanted := r.move
	wanted.Due = d.now(r.move.Due)
	in.Moves = []inventory.Move{wanted}
	for _, other := range r.daemons {
		in.Windows[r.move.Name].Merge(other.takeDigest(d.epoch))
		if other.stop != nil {
			in.Stops = append(in.Stops, *other.stop)
		}
	}
	out := d.leader.Step(in)
	for _, row := range out.Changed {
		if !down && !r.table.put(row, d.elector.Version()) {
			d.elector.Doubt()
		}
	}
	for _, plan := range out.Plans {
		for _, other := range r.daemons {
			other.hear(plan, d.epoch)
		}
	}
	r.send(d, out.Orders)
}

// upstreams reads all engines.
func (r *run) upstreams(now clock.Millis) (list []stager.Upstream) {
	for _, e := range r.engines {
		e.Report = stager.Report{At: now, Version: e.version, Loaded: slices.Clone(e.loaded), Loading: e.loading}
		list = append(list, e.Upstream)
	}
	return list
}

// send puts orders on their way. Some pauses of a leader begin just then, after
// it checked its lease, so that the orders leave after the pause.
func (r *run) send(d *daemon, orders []stager.Order) {
	soon := len(orders) > 0 && r.pauseAtOrders > 0 && r.rng.Float64() < r.pauseAtOrders
	if soon {
		r.pauses = append(r.pauses, span{r.at, r.at + clock.Millis(2+r.rng.IntN(40))*clock.Second})
	}
	for _, order := range orders {
		r.out.OrdersSent++
		h := held{order: order, epoch: d.epoch, at: r.at + clock.Millis(r.rng.IntN(500))}
		if soon && r.rng.IntN(2) == 0 {
			d.held = append(d.held, h)
			continue
		}
		r.flying = append(r.flying, h)
	}
}
