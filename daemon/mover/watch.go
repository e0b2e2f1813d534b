package mover

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/stager"
)

// settleTime is the time between the end of a request and its counting. Within
// it, two reports of the upstream's version are read.
const settleTime = 2 * reportInterval

// Limits of sending a stop to other daemons.
const (
	stopTimeout    = 300 * clock.Millisecond
	maxStopTries   = 10
	stopRetryPause = 100 * clock.Millisecond
)

// watchedMove is the state of one move on this daemon.
type watchedMove struct {
	plan stager.Plan
	// judge tests the evidence of this daemon only.
	judge     *judge.Judge
	collector judge.Collector
	// unsentWindow holds the counts that were not sent to the leader yet.
	unsentWindow judge.Window
	// appliedShares are the shares last set on the schedulers of this daemon, nil
	// for none.
	appliedShares *scheduler.Shares
}

// endedRequest is a request that has ended and is not counted yet.
type endedRequest struct {
	endedAt clock.Millis
	result  granter.RequestResult
	sample  judge.Sample
}

// Observe handles the end of a request. It implements granter.Observer.
func (m *Mover) Observe(result granter.RequestResult) {
	m.prepare()
	sample, counted := sampleOf(result)
	if !counted {
		return
	}
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.watches) > 0 {
		m.uncountedRequests = append(m.uncountedRequests, endedRequest{endedAt: now, result: result, sample: sample})
	}
}

// countSettled counts the requests that ended at least settleTime ago. It leaves
// out requests whose upstream has changed its version meanwhile, because the
// scheduler may have learned of the change only after the grant. It is called
// with mu held.
func (m *Mover) countSettled(now clock.Millis) {
	config := m.Source.Current()
	for len(m.uncountedRequests) > 0 && m.uncountedRequests[0].endedAt+settleTime <= now {
		e := m.uncountedRequests[0]
		m.uncountedRequests = m.uncountedRequests[1:]
		report, known := m.reports[e.result.Upstream]
		if !known || report.Version == e.result.Version {
			m.countRequest(now, config, e)
		}
	}
}

// countRequest adds a request to the watched moves of its pool. It is called
// with mu held.
func (m *Mover) countRequest(now clock.Millis, config *inventory.Config, e endedRequest) {
	upstream, _ := inventory.Lookup(config.Upstreams, e.result.Upstream)
	if pool, _ := inventory.Lookup(config.Pools, e.result.Pool); pool.Kind == inventory.PoolService {
		e.sample.Tokens = 1
	}
	key := judge.Key{
		Version: e.result.Version, Route: e.result.Route, Generation: upstream.Generation,
		Load: judge.LoadQuarter(e.result.Running, upstream.Slots),
	}
	for _, w := range m.watches {
		if w.plan.Pool == e.result.Pool && w.plan.Watched {
			w.collector.Add(now, e.result.Granted, key, e.sample)
		}
	}
}

// sampleOf returns the sample of a request. Requests that were not sent or that
// the caller cancelled are not counted.
func sampleOf(result granter.RequestResult) (s judge.Sample, counted bool) {
	switch result.Outcome {
	case reserver.Completed:
		return judge.Sample{FirstTokenTime: result.FirstTokenTime, TokenGap: result.TokenGap, Tokens: result.Tokens}, true
	case reserver.Failed, reserver.UpstreamDied, reserver.ConnectionBroken:
		return judge.Sample{Failed: true}, true
	case reserver.NotSent, reserver.Cancelled:
	}
	return s, false
}

// judgeEvidence judges the requests counted since the last call. It stops a bad
// version, on this daemon at once and then on the others, without the table or a
// leader.
func (m *Mover) judgeEvidence(ctx context.Context) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countSettled(now)
	for _, w := range m.watches {
		window := w.collector.Take(now)
		if len(window) == 0 {
			continue
		}
		w.unsentWindow.Merge(window)
		verdict := w.judge.Observe(window)
		known, found := m.stops[w.plan.Move]
		if !verdict.Bad || !w.plan.Watched || (found && known.Attempt == w.plan.Attempt) {
			continue
		}
		stop := stager.Stop{Move: w.plan.Move, Attempt: w.plan.Attempt, Daemon: m.View.Self().Name, Verdict: verdict}
		m.stops[stop.Move] = stop
		m.applyShares(w)
		klog.InfoS("bad version stopped on this daemon; sending the stop to the other daemons", "move", stop.Move, "version", w.plan.To, "test", verdict.Test, "cell", verdict.Cell.String())
		m.metrics.stops.Inc()
		m.backgroundCalls.Go(func() { m.broadcastStop(ctx, stop) })
	}
}

// applyShares sets the shares of a move on the schedulers of this daemon. It is
// called with mu held. Equal shares are not set again, because setting them makes
// the schedulers forget what they have granted.
func (m *Mover) applyShares(w *watchedMove) {
	self := m.View.Self()
	if len(w.plan.Regions) > 0 && !slices.Contains(w.plan.Regions, self.Region) {
		return
	}
	shares := w.plan.Shares
	if stop, found := m.stops[w.plan.Move]; found && stop.Attempt == w.plan.Attempt {
		shares = stager.NoTrafficShares(w.plan.To)
	}
	if w.appliedShares != nil && reflect.DeepEqual(*w.appliedShares, shares) {
		return
	}
	w.appliedShares = &shares
	m.SetShares(w.plan.Pool, shares)
	m.metrics.share.WithLabelValues(w.plan.Move).Set(shares.Shares[w.plan.To])
}

// acceptPlans applies the plans of a leader. It returns false, and changes
// nothing, if plans of a later leader were accepted before.
func (m *Mover) acceptPlans(epoch int64, leader string, plans []stager.Plan, rows [][]byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch < m.epoch {
		return false
	}
	if epoch > m.epoch {
		m.resendAllEvidence()
	}
	m.epoch, m.leaderName, m.encodedRows = epoch, leader, rows
	for _, plan := range plans {
		w := m.watches[plan.Move]
		if w == nil || w.plan.Attempt != plan.Attempt {
			created := &watchedMove{judge: &judge.Judge{From: plan.From, To: plan.To, ErrorRate: stager.LocalErrorRate}, unsentWindow: judge.Window{}}
			if w != nil {
				created.appliedShares = w.appliedShares
			}
			w = created
			m.watches[plan.Move] = w
		}
		w.plan = plan
		m.applyShares(w)
	}
	m.dropUnplanned(plans)
	return true
}

// dropUnplanned drops the watched moves that are not in the plans. Their shares
// stay until another move of the pool replaces them. It is called with mu held.
func (m *Mover) dropUnplanned(plans []stager.Plan) {
	planned := map[string]bool{}
	for _, plan := range plans {
		planned[plan.Move] = true
	}
	maps.DeleteFunc(m.watches, func(name string, _ *watchedMove) bool { return !planned[name] })
}

// resendAllEvidence makes the next exchange send all evidence of the watched
// moves, for a new leader. It is called with mu held.
func (m *Mover) resendAllEvidence() {
	m.evidenceNumber, m.unacknowledged = 0, nil
	for _, w := range m.watches {
		w.unsentWindow = judge.Window{}
		w.unsentWindow.Merge(w.judge.Total())
	}
}

// broadcastStop sends a stop to the other daemons, starting with those of this
// daemon's region.
func (m *Mover) broadcastStop(ctx context.Context, stop stager.Stop) {
	self := m.View.Self()
	members := slices.DeleteFunc(m.View.Members(), func(o gossiper.Member) bool { return o.Name == self.Name })
	slices.SortStableFunc(members, func(a, b gossiper.Member) int {
		return regionDistance(a, self) - regionDistance(b, self)
	})
	for _, other := range members {
		m.backgroundCalls.Go(func() { m.sendStop(ctx, other, stop) })
	}
}

// regionDistance returns 0 for members of the same region, else 1.
func regionDistance(m, self gossiper.Member) int {
	if m.Region == self.Region {
		return 0
	}
	return 1
}

// sendStop sends a stop to one daemon, with up to maxStopTries attempts.
func (m *Mover) sendStop(ctx context.Context, other gossiper.Member, stop stager.Stop) {
	for range maxStopTries {
		err := m.callStop(ctx, other, stop)
		if err == nil || ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("sending a stop to a daemon failed", "member", other.Name, "err", err)
		time.Sleep(stopRetryPause.Duration())
	}
}

// handleStop applies the stop of another daemon.
func (m *Mover) handleStop(stop stager.Stop) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stops[stop.Move] = stop
	if w := m.watches[stop.Move]; w != nil {
		m.applyShares(w)
	}
}
