package mover

import (
	"maps"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/elector"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// daemon is a model of a daemon: the scheduler of its region and a candidate in
// the leader election.
type daemon struct {
	name   string
	region string
	// clockRate is the speed of its clock relative to simulated time.
	clockRate float64

	elector elector.Elector
	reply   elector.Message
	leader  *stager.Leader
	epoch   int64
	rows    map[string]stager.Row
	// reports is emptied when a leadership begins; nothing reads it.
	reports map[string]stager.Report
	// heldOrders were decided on, but not sent before a pause began.
	heldOrders []pendingOrder

	// plan is the last plan, received from the leader of the epoch planEpoch.
	plan      stager.Plan
	planEpoch int64
	// localJudge judges the daemon's own evidence, taken from the collector.
	// evidence holds what was collected since the leader of evidenceEpoch last
	// took it.
	localJudge    *judge.Judge
	collector     judge.Collector
	judgedAttempt clock.Millis
	evidence      judge.Window
	evidenceEpoch int64
	// stop is set once this or another daemon stopped the version.
	stop *stager.Stop
	// newVersionGrants and totalGrants count grants to keep the share, as the
	// scheduler does.
	newVersionGrants, totalGrants float64
}

// pendingOrder is an order with the epoch of its leader.
type pendingOrder struct {
	order stager.Order
	epoch int64
	// deliverAt is the time at which it reaches the upstream.
	deliverAt clock.Millis
}

// clockTime converts simulated time to the time of the daemon's clock.
func (d *daemon) clockTime(at clock.Millis) clock.Millis {
	return 1000 + clock.Millis(float64(at)*d.clockRate)
}

// newVersionShare returns the share that applies at this daemon: 0 without
// a plan and once the version is stopped.
func (d *daemon) newVersionShare() float64 {
	if d.plan.Move == "" {
		return 0
	}
	if d.stop != nil && d.stop.Attempt == d.plan.Attempt {
		return 0
	}
	return d.plan.Shares.Shares[d.plan.To]
}

// applyPlan applies a plan unless one of a later leader was applied before.
func (d *daemon) applyPlan(plan stager.Plan, epoch int64) {
	if epoch < d.planEpoch {
		return
	}
	if share := d.newVersionShare(); plan.Shares.Shares[plan.To] != share {
		d.newVersionGrants, d.totalGrants = 0, 0
	}
	d.plan, d.planEpoch = plan, epoch
	if d.localJudge == nil || d.judgedAttempt != plan.Attempt {
		d.judgedAttempt = plan.Attempt
		d.localJudge = &judge.Judge{From: plan.From, To: plan.To, ErrorRate: stager.LocalErrorRate}
	}
}

// judgeEvidence judges the evidence since the last call and returns a new stop,
// or nil.
func (d *daemon) judgeEvidence(now clock.Millis) *stager.Stop {
	window := d.collector.Take(now)
	d.evidence.Merge(window)
	if d.localJudge == nil || !d.plan.Watched {
		return nil
	}
	verdict := d.localJudge.Observe(window)
	if !verdict.Bad || (d.stop != nil && d.stop.Attempt == d.plan.Attempt) {
		return nil
	}
	d.stop = &stager.Stop{Move: d.plan.Move, Attempt: d.plan.Attempt, Daemon: d.name, Verdict: verdict}
	return d.stop
}

// takeEvidence returns the evidence since the last call, or all evidence if the
// epoch is of a new leader.
func (d *daemon) takeEvidence(epoch int64) judge.Window {
	window := d.evidence
	d.evidence = judge.Window{}
	if epoch != d.evidenceEpoch && d.localJudge != nil {
		window = judge.Window{}
		window.Merge(d.localJudge.Total())
	}
	d.evidenceEpoch = epoch
	return window
}

// updateLeadership starts or ends the daemon's leadership and reports whether it
// leads now.
func (d *daemon) updateLeadership(at clock.Millis) bool {
	daemonTime := d.clockTime(at)
	if !d.elector.Leads(daemonTime, stager.OrderTimeout) {
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

// copyRows returns a copy of the table's rows, like a read of the table.
func copyRows(rows map[string]stager.Row) map[string]stager.Row {
	return maps.Clone(rows)
}
