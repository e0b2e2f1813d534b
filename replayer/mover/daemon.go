package mover

import (
	"maps"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/elector"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// daemon is one daemon: the scheduler of its region and a contender for the
// leadership.
type daemon struct {
	name   string
	region string
	// clockRate is how fast its clock runs.
	clockRate float64

	elector elector.Elector
	reply   elector.Message
	leader  *stager.Leader
	epoch   int64
	rows    map[string]stager.Row
	// reports are the upstreams as last read.
	reports map[string]stager.Report
	// held are orders that were decided on and not sent when it was paused.
	held []held

	// plan is what it heard of a leader with the epoch planEpoch.
	plan      stager.Plan
	planEpoch int64
	// local judges its own evidence from the collector; digest holds it since
	// the leader of digestEpoch last took it.
	local       *judge.Judge
	collector   judge.Collector
	attempt     clock.Millis
	digest      judge.Window
	digestEpoch int64
	// stop is set once it stopped the version or heard of a stop.
	stop *stager.Stop
	// given and total count grants for the share, as the scheduler does.
	given, total float64
}

// held is an order with the epoch of its leader.
type held struct {
	order stager.Order
	epoch int64
	// at is when it reaches the upstream.
	at clock.Millis
}

func (d *daemon) now(at clock.Millis) clock.Millis {
	return 1000 + clock.Millis(float64(at)*d.clockRate)
}

// share is the new version's share in force here.
func (d *daemon) share() float64 {
	if d.plan.Move == "" {
		return 0
	}
	if d.stop != nil && d.stop.Attempt == d.plan.Attempt {
		return 0
	}
	return d.plan.Shares.Shares[d.plan.To]
}

// hear takes a plan, unless a later leader gave one.
func (d *daemon) hear(plan stager.Plan, epoch int64) {
	if epoch < d.planEpoch {
		return
	}
	if share := d.share(); plan.Shares.Shares[plan.To] != share {
		d.given, d.total = 0, 0
	}
	d.plan, d.planEpoch = plan, epoch
	if d.local == nil || d.attempt != plan.Attempt {
		d.attempt = plan.Attempt
		d.local = &judge.Judge{From: plan.From, To: plan.To, Error: stager.LocalError}
	}
}

// watch judges the evidence of the last moment; it returns a new stop.
func (d *daemon) watch(at clock.Millis) *stager.Stop {
	window := d.collector.Take(at)
	d.digest.Merge(window)
	if d.local == nil || !d.plan.Watched {
		return nil
	}
	verdict := d.local.Observe(window)
	if !verdict.Bad || (d.stop != nil && d.stop.Attempt == d.plan.Attempt) {
		return nil
	}
	d.stop = &stager.Stop{Move: d.plan.Move, Attempt: d.plan.Attempt, Daemon: d.name, Verdict: verdict}
	return d.stop
}

// takeDigest hands over the evidence since the last call, or all of it to a new
// leader.
func (d *daemon) takeDigest(epoch int64) judge.Window {
	window := d.digest
	d.digest = judge.Window{}
	if epoch != d.digestEpoch && d.local != nil {
		window = judge.Window{}
		window.Merge(d.local.Total())
	}
	d.digestEpoch = epoch
	return window
}

// lead follows the leadership and returns whether it leads now.
func (d *daemon) lead(at clock.Millis) bool {
	now := d.now(at)
	if !d.elector.Leads(now, stager.OrderTimeout) {
		d.leader = nil
		return false
	}
	if d.leader == nil || d.epoch != d.elector.Epoch() {
		d.leader, d.epoch = &stager.Leader{}, d.elector.Epoch()
		d.reports = map[string]stager.Report{}
		d.rows = nil
	}
	return true
}

// copyRows returns a copy of the table's rows, as a read gives.
func copyRows(rows map[string]stager.Row) map[string]stager.Row {
	return maps.Clone(rows)
}
