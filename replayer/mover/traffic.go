package mover

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// spreadCount counts a region's requests, all and on the new version.
type spreadCount struct{ all, fresh int }

// spreadRequests is the number of requests over which shares are taken.
const spreadRequests = 500

// request sends the requests of a tick to each region's scheduler.
func (r *run) request() {
	rate := r.ratePerSecond
	if r.rain.holds(r.at) {
		rate *= 2
	}
	for _, d := range r.daemons {
		mean := rate * float64(tick) / 1000
		count := int(mean)
		if r.rng.Float64() < mean-float64(count) {
			count++
		}
		for range count {
			r.place(d, r.pickRoute())
		}
	}
}

func (r *run) pickRoute() route {
	at := r.rng.Float64()
	for _, candidate := range routes {
		if at -= candidate.part; at < 0 {
			return candidate
		}
	}
	return routes[0]
}

// place chooses a version by the share and the least used of its engines.
func (r *run) place(d *daemon, on route) {
	r.out.Requests++
	share := d.share()
	version := "v1"
	if share > 0 && (share >= 1 || d.given+1 <= share*(d.total+1)) && r.best(d, "v2") != nil {
		version = "v2"
	}
	e := r.best(d, version)
	if e == nil && version == "v1" && share >= 1 {
		version = "v2"
		e = r.best(d, version)
	}
	if e == nil {
		r.out.Unserved++
		return
	}
	d.count(share, version)
	r.note(d, version)
	sample, took := e.answer(r.rng, on, version, r.flaw, r.at)
	key := judge.Key{Version: version, Route: on.name, Generation: e.Generation, Load: judge.Quarter(e.inUse, e.Slots)}
	e.running[version]++
	e.inUse++
	at := r.at + (took/tick+1)*tick
	r.ends[at] = append(r.ends[at], ending{granted: r.at, engine: e, daemon: d, key: key, sample: sample})
}

// count notes a grant. A version that had no upstream for a while is owed one
// request at most, so that it never catches up above its share.
func (d *daemon) count(share float64, version string) {
	d.total++
	if version == "v2" {
		d.given++
	}
	d.given = max(d.given, share*d.total-1)
}

// best returns the least used engine of the daemon's region that reports the
// version and has a free slot.
func (r *run) best(d *daemon, version string) (best *engine) {
	for _, e := range r.engines {
		if e.Region != d.region || e.version != version || e.used() >= 1 {
			continue
		}
		if best == nil || e.used() < best.used() {
			best = e
		}
	}
	return best
}

// end ends what is due and hands the evidence to the scheduler.
func (r *run) end() {
	for _, e := range r.ends[r.at] {
		e.engine.running[e.key.Version]--
		e.engine.inUse--
		e.daemon.collector.Add(r.at, e.granted, e.key, e.sample)
	}
	delete(r.ends, r.at)
}

// note keeps the figures on shares and late grants.
func (r *run) note(d *daemon, version string) {
	row := r.table.rows[r.move.Name]
	r.raised = r.raised || row.Stage > 0
	count := r.spread[d.name]
	if count == nil {
		count = &spreadCount{}
		r.spread[d.name] = count
	}
	count.all++
	if version == "v2" {
		count.fresh++
		if r.stopped > 0 && r.at > r.stopped+clock.Second && !row.Ended() {
			r.out.BadGrantsAfter1s++
		}
	}
	if count.all < spreadRequests {
		return
	}
	// One request is the rounding of a share.
	share := float64(max(count.fresh-1, 0)) / float64(count.all)
	*count = spreadCount{}
	if !r.raised {
		r.out.ShareBeforeEvidence = max(r.out.ShareBeforeEvidence, share)
	}
	if r.flaw.kind != flawNone {
		r.out.BadShareMax = max(r.out.BadShareMax, share)
	}
}

// settle compares the end with the stated outcomes.
func (r *run) settle() {
	row := r.table.rows[r.move.Name]
	o := &r.out
	o.Phase, o.Why = string(row.Phase), row.Why
	o.Leaders, o.TableWrites, o.RowWrites = len(r.table.epochs), r.table.writes, r.table.rowWrites
	serving := 0
	for _, e := range r.engines {
		if e.version == r.move.To {
			serving++
		}
	}
	finished := row.Phase == stager.PhaseDone && serving == len(r.engines)
	// The row's time is the leader's, whose clock may be a little off.
	o.FinishedOnTime = finished && row.Finished <= r.move.Due+1000+r.move.Due/200
	o.TakenBack = row.Phase == stager.PhaseUndone && serving == 0
	o.Met = o.BadGrantsAfter1s == 0 && o.ShareBeforeEvidence <= o.FirstShare
	if o.Expected == "taken_back" {
		o.Met = o.Met && o.TakenBack
		return
	}
	o.Met = o.Met && o.FinishedOnTime
}
