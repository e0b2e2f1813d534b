package mover

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// shareCount counts a region's requests, in total and on the new version.
type shareCount struct{ total, newVersion int }

// shareCountRequests is the number of requests over which a share is computed.
const shareCountRequests = 500

// sendRequests sends the requests of a tick to each region's scheduler.
func (r *run) sendRequests() {
	rate := r.ratePerSecond
	if r.trafficPeak.contains(r.now) {
		rate *= 2
	}
	for _, d := range r.daemons {
		mean := rate * float64(tick) / 1000
		count := int(mean)
		if r.rng.Float64() < mean-float64(count) {
			count++
		}
		for range count {
			r.placeRequest(d, r.pickRoute())
		}
	}
}

func (r *run) pickRoute() route {
	remaining := r.rng.Float64()
	for _, candidate := range routes {
		if remaining -= candidate.share; remaining < 0 {
			return candidate
		}
	}
	return routes[0]
}

// placeRequest chooses a version by the share and grants the request the least
// used engine that serves it.
func (r *run) placeRequest(d *daemon, target route) {
	r.out.Requests++
	share := d.newVersionShare()
	version := "v1"
	if share > 0 && (share >= 1 || d.newVersionGrants+1 <= share*(d.totalGrants+1)) && r.leastUsedEngine(d, "v2") != nil {
		version = "v2"
	}
	e := r.leastUsedEngine(d, version)
	if e == nil && version == "v1" && share >= 1 {
		version = "v2"
		e = r.leastUsedEngine(d, version)
	}
	if e == nil {
		r.out.Unserved++
		return
	}
	d.countGrant(share, version)
	r.recordGrant(d, version)
	sample, duration := e.drawAnswer(r.rng, target, version, r.fault, r.now)
	key := judge.Key{Version: version, Route: target.name, Generation: e.Generation, Load: judge.LoadQuarter(e.inUse, e.Slots)}
	e.runningByVersion[version]++
	e.inUse++
	endTime := r.now + (duration/tick+1)*tick
	r.requestEnds[endTime] = append(r.requestEnds[endTime], activeRequest{granted: r.now, engine: e, daemon: d, key: key, sample: sample})
}

// countGrant counts a grant of a version. The new version's backlog is limited to
// one request, so that it does not exceed its share to catch up after a time
// without an upstream.
func (d *daemon) countGrant(share float64, version string) {
	d.totalGrants++
	if version == "v2" {
		d.newVersionGrants++
	}
	d.newVersionGrants = max(d.newVersionGrants, share*d.totalGrants-1)
}

// leastUsedEngine returns the engine of the daemon's region with the lowest
// utilisation that serves the version and has a free slot, or nil.
func (r *run) leastUsedEngine(d *daemon, version string) (best *engine) {
	for _, e := range r.engines {
		if e.Region != d.region || e.version != version || e.utilisation() >= 1 {
			continue
		}
		if best == nil || e.utilisation() < best.utilisation() {
			best = e
		}
	}
	return best
}

// endRequests ends the requests that are due and adds their samples to their
// daemons' evidence.
func (r *run) endRequests() {
	for _, e := range r.requestEnds[r.now] {
		e.engine.runningByVersion[e.key.Version]--
		e.engine.inUse--
		e.daemon.collector.Add(r.now, e.granted, e.key, e.sample)
	}
	delete(r.requestEnds, r.now)
}

// recordGrant updates the greatest shares and the count of late grants.
func (r *run) recordGrant(d *daemon, version string) {
	row := r.table.rows[r.move.Name]
	r.firstStageOver = r.firstStageOver || row.Stage > 0
	count := r.shareCounts[d.name]
	if count == nil {
		count = &shareCount{}
		r.shareCounts[d.name] = count
	}
	count.total++
	if version == "v2" {
		count.newVersion++
		if r.firstStop > 0 && r.now > r.firstStop+clock.Second && !row.Ended() {
			r.out.BadGrantsAfter1s++
		}
	}
	if count.total < shareCountRequests {
		return
	}
	// A share may be exceeded by one request, due to rounding.
	share := float64(max(count.newVersion-1, 0)) / float64(count.total)
	*count = shareCount{}
	if !r.firstStageOver {
		r.out.ShareBeforeEvidence = max(r.out.ShareBeforeEvidence, share)
	}
	if r.fault.kind != faultNone {
		r.out.BadShareMax = max(r.out.BadShareMax, share)
	}
}

// evaluate compares the end of the run with the expected outcome.
func (r *run) evaluate() {
	row := r.table.rows[r.move.Name]
	o := &r.out
	o.Phase, o.Why = string(row.Phase), row.Explanation
	o.Leaders, o.TableWrites, o.RowWrites = len(r.table.epochs), r.table.writes, r.table.rowWrites
	serving := 0
	for _, e := range r.engines {
		if e.version == r.move.To {
			serving++
		}
	}
	finished := row.Phase == stager.PhaseDone && serving == len(r.engines)
	// The row's time is of the leader's clock, which is a second ahead and
	// runs up to 0.3 % fast or slow.
	o.FinishedOnTime = finished && row.Finished <= r.move.Due+1000+r.move.Due/200
	o.TakenBack = row.Phase == stager.PhaseUndone && serving == 0
	o.Met = o.BadGrantsAfter1s == 0 && o.ShareBeforeEvidence <= o.FirstShare
	if o.Expected == "taken_back" {
		o.Met = o.Met && o.TakenBack
		return
	}
	o.Met = o.Met && o.FinishedOnTime
}
