package granter

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/ring"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/sharder"
)

const (
	// shardRingSize bounds the messages that wait for a shard's goroutine.
	shardRingSize = 1024
	tickInterval  = 50 * clock.Millisecond
	// drainTime is how long the queue of a shard that moved to another daemon
	// must stay empty before its goroutine ends. Until then it refuses asks of
	// daemons that don't know of the move yet.
	drainTime = 1 * clock.Second
)

// input is one item of a shard's queue: a message to the scheduler, or an event
// that the runner itself handles.
type input struct {
	// session is nil for messages about upstreams and where goneDaemon is set.
	session *Session
	// message is nil where allAnnounced or goneDaemon is set.
	message scheduler.Message
	// allAnnounced means that the session has announced every slot that its
	// daemon holds.
	allAnnounced bool
	// goneDaemon names a daemon whose grace period is over.
	goneDaemon string
	// explain is set if the other fields are not.
	explain *explainRequest
	// duration is the time from the grant to the first token with a FirstToken,
	// and the time from the first token to the end with an End.
	duration clock.Millis
	// version is the upstream's version; it is set only with an Announce.
	version string
}

// askState is one ask that waits or that was granted.
type askState struct {
	ask     scheduler.Ask
	session *Session
	askedAt clock.Millis
	// upstream and version are empty until the grant.
	upstream        string
	version         string
	firstTokenDelay clock.Millis
	// grantedAt is when this scheduler granted the slot, 0 where another one
	// did.
	grantedAt clock.Millis
}

// runner is the goroutine of one shard together with its state.
type runner struct {
	granter *Granter
	id      string
	pool    string
	inputs  *ring.Queue[input]
	decider Decider
	// latestConfig and latestShares are the values in force; appliedConfig and
	// appliedShares are those that the scheduler has received.
	latestConfig  atomic.Pointer[shardConfig]
	appliedConfig shardConfig
	latestShares  atomic.Pointer[scheduler.Shares]
	appliedShares *scheduler.Shares
	// latestFleet is which part of the fleet this daemon sees, and appliedFleet what the scheduler
	// has received.
	latestFleet  atomic.Pointer[scheduler.Fleet]
	appliedFleet scheduler.Fleet
	// notices holds what upstreams say of themselves, as the daemons were told of it.
	notices map[string]scheduler.NoticeChanged
	// asks and waiting, the number of asks without a grant, are used only by the
	// runner's goroutine.
	asks    map[scheduler.AskID]*askState
	waiting int
	stopped chan struct{}
}

func newRunner(g *Granter, shard sharder.Shard) *runner {
	return &runner{
		granter: g, id: shard.ID, pool: shard.Pool, inputs: ring.NewQueue[input](shardRingSize), decider: g.NewDecider(),
		asks: map[scheduler.AskID]*askState{}, notices: map[string]scheduler.NoticeChanged{}, stopped: make(chan struct{}),
	}
}

// stop ends the runner; it must be called at most once.
func (r *runner) stop() { close(r.stopped) }

func (r *runner) run(ctx context.Context) {
	ticker := clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.applyChanges()
		select {
		case <-ctx.Done():
			return
		case <-r.stopped:
			r.refuseRemaining(ctx)
			return
		case in := <-r.inputs.Items():
			r.handleInput(in)
		case <-ticker.C:
			r.update(scheduler.Tick{})
		}
	}
}

// applyChanges passes changes of the configuration and of the traffic shares
// to the scheduler.
func (r *runner) applyChanges() {
	if next := r.latestConfig.Load(); next != nil && *next != r.appliedConfig {
		if next.rules != r.appliedConfig.rules {
			r.update(*next.rules)
		}
		if next.upstreams != r.appliedConfig.upstreams {
			r.update(*next.upstreams)
			r.forgetNotices(next.upstreams.List)
		}
		r.appliedConfig = *next
	}
	if fleet := *r.latestFleet.Load(); fleet != r.appliedFleet {
		r.appliedFleet = fleet
		r.update(fleet)
	}
	if next := r.latestShares.Load(); next != r.appliedShares {
		r.appliedShares = next
		r.update(*next)
	}
}

// refuseRemaining refuses all asks and grants of the shard, and those that
// still arrive, since another daemon schedules the shard now.
func (r *runner) refuseRemaining(ctx context.Context) {
	for id, state := range r.asks {
		r.granter.metrics.recordRemoval(state)
		refuseNotScheduler(state.session, id.Number)
	}
	for {
		select {
		case in := <-r.inputs.Items():
			switch m := in.message.(type) {
			case scheduler.Ask:
				refuseNotScheduler(in.session, m.ID.Number)
			case scheduler.Announce:
				refuseNotScheduler(in.session, m.Ask.ID.Number)
			}
		case <-time.After(drainTime.Duration()):
			return
		case <-ctx.Done():
			return
		}
	}
}

// handleInput updates the runner's state for one input and passes its message
// to the scheduler.
func (r *runner) handleInput(in input) {
	if in.explain != nil {
		r.explain(in.explain)
		return
	}
	if r.isOutdated(in) {
		return
	}
	switch m := in.message.(type) {
	case scheduler.Ask:
		r.asks[m.ID] = &askState{ask: m, session: in.session, askedAt: r.granter.Clock.Now()}
		r.waiting++
		r.update(m)
	case scheduler.Announce:
		r.handleAnnounce(in, m)
	case scheduler.FirstToken:
		if state := r.asks[m.ID]; state != nil {
			state.firstTokenDelay = in.duration
			if r.granter.ObserveStart != nil && state.upstream != "" {
				r.granter.ObserveStart(RequestStart{Version: state.version, Pool: r.pool, Route: state.ask.Route, FirstTokenTime: in.duration})
			}
			r.update(m)
		}
	case scheduler.Cancel:
		r.finishAsk(m.ID, m)
	case scheduler.End:
		r.reportEnd(m, in.duration)
		r.finishAsk(m.ID, m)
	case nil:
		r.dropUnclaimed(in)
	default:
		r.update(m)
	}
}

// isOutdated reports whether an input comes from a session that a newer one of its daemon has replaced. Such an
// input may only change what the newer one has not taken over.
func (r *runner) isOutdated(in input) bool {
	if in.session == nil || !in.session.isReplaced.Load() {
		return false
	}
	var id scheduler.AskID
	switch m := in.message.(type) {
	case scheduler.Confirm:
		id = m.ID
	case scheduler.FirstToken:
		id = m.ID
	case scheduler.Cancel:
		id = m.ID
	case scheduler.End:
		id = m.ID
	default:
		return true
	}
	state := r.asks[id]
	return state == nil || state.session != in.session
}

// handleAnnounce takes over a slot that this or another scheduler granted.
func (r *runner) handleAnnounce(in input, m scheduler.Announce) {
	if state := r.asks[m.Ask.ID]; state != nil {
		if state.upstream == m.Upstream {
			// The grant may have expired unconfirmed at the scheduler. The
			// scheduler ignores an announcement of a grant that it still holds.
			state.session = in.session
			r.update(scheduler.Confirm{ID: m.Ask.ID})
			r.update(m)
			return
		}
		r.cancelAsk(m.Ask.ID, state)
	}
	state := &askState{ask: m.Ask, session: in.session, askedAt: r.granter.Clock.Now(), upstream: m.Upstream, version: in.version}
	r.asks[m.Ask.ID] = state
	r.granter.metrics.running.WithLabelValues(state.upstream).Inc()
	r.update(m)
}

// finishAsk removes an ask or grant and passes the daemon's message about its
// end to the scheduler.
func (r *runner) finishAsk(id scheduler.AskID, m scheduler.Message) {
	state := r.asks[id]
	if state == nil {
		return
	}
	r.removeAsk(id, state)
	r.update(m)
}

// removeAsk removes an ask or grant from the runner's state and metrics.
func (r *runner) removeAsk(id scheduler.AskID, state *askState) {
	delete(r.asks, id)
	if state.upstream == "" {
		r.waiting--
	}
	r.granter.metrics.recordRemoval(state)
}

// dropUnclaimed removes the asks and grants that a daemon no longer claims:
// those that it did not announce on its new session, or all without an open
// session after its grace period.
func (r *runner) dropUnclaimed(in input) {
	daemon := in.goneDaemon
	if in.allAnnounced {
		daemon = in.session.daemon
		r.sendNotices(in.session)
	}
	hasClaimed := false
	var unclaimed []scheduler.AskID
	for id, state := range r.asks {
		switch {
		case id.Daemon != daemon:
		case state.session == in.session, in.session == nil && state.session.ctx.Err() == nil:
			hasClaimed = true
		default:
			unclaimed = append(unclaimed, id)
		}
	}
	if hasClaimed || in.allAnnounced {
		for _, id := range unclaimed {
			// The effects of dropping one may have ended others.
			if state := r.asks[id]; state != nil {
				r.dropAsk(id, state)
			}
		}
		return
	}
	for _, id := range unclaimed {
		r.removeAsk(id, r.asks[id])
	}
	r.update(scheduler.DaemonGone{Daemon: daemon})
}

// dropAsk removes an ask or grant of which its daemon knows nothing. An earlier process of the daemon may have
// sent the request, which then still runs.
func (r *runner) dropAsk(id scheduler.AskID, state *askState) {
	if state.upstream == "" {
		r.cancelAsk(id, state)
		return
	}
	r.removeAsk(id, state)
	r.update(scheduler.End{ID: id, Usage: reserver.Usage{Outcome: reserver.Cancelled}})
}

// cancelAsk removes an ask or grant that its daemon no longer claims, and
// cancels it at the scheduler.
func (r *runner) cancelAsk(id scheduler.AskID, state *askState) {
	r.removeAsk(id, state)
	r.update(scheduler.Cancel{ID: id})
}

// update passes a message to the scheduler and carries out its effects.
func (r *runner) update(m scheduler.Message) {
	for _, effect := range r.decider.Update(r.granter.Clock.Now(), m) {
		switch e := effect.(type) {
		case scheduler.Grant:
			r.sendGrant(e)
		case scheduler.Refuse:
			r.sendRefusal(e)
		case scheduler.Withdraw:
			r.sendWithdrawal(e)
		case scheduler.NoticeChanged:
			r.broadcastNotice(e)
		case scheduler.UpstreamPaused, scheduler.UpstreamEjected, scheduler.LinksChanged:
			r.logBelief(e)
		case scheduler.LowestTier:
			r.granter.metrics.lowestTier.WithLabelValues(r.id).Set(float64(r.granter.tierOrder().Position(min(e.Lowest, r.granter.tierOrder().Last()))))
			r.granter.lowestTiers.TryPush(lowestTier{shard: r.id, lowest: e.Lowest})
		}
	}
}

func (r *runner) sendGrant(e scheduler.Grant) {
	state := r.asks[e.ID]
	if state == nil {
		return
	}
	r.waiting--
	state.upstream, state.version = e.Upstream, e.Version
	now := r.granter.Clock.Now()
	state.grantedAt = now
	r.granter.metrics.recordGrant(r.granter.tierLabel(state.ask.Tier), state, now)
	if e.Cold {
		r.granter.metrics.coldGrants.Inc()
	}
	if e.Foreign > 0 {
		r.granter.metrics.sharedGrants.Inc()
	}
	state.session.deliver(&wire.ReserveDown{Message: &wire.ReserveDown_Grant{Grant: &wire.Grant{
		AskId: e.ID.Number, Upstream: e.Upstream, Version: e.Version,
		ExpiresMs: int64(max(e.Expires-now, 0)), Waiting: int32(r.waiting), Limited: e.Limited, Brittle: e.Brittle,
		Running: int32(e.Running + e.Foreign), FirstTokenMs: int32(min(e.FirstTokenMS, math.MaxInt32)), KeptTokens: int32(e.KeptTokens),
	}}})
}

func (r *runner) sendRefusal(e scheduler.Refuse) {
	state := r.asks[e.ID]
	if state == nil {
		return
	}
	r.removeAsk(e.ID, state)
	state.session.removeAsk(e.ID.Number)
	reason := toRefusalReason(e.Reason)
	r.granter.metrics.recordRefusal(r.granter.tierLabel(state.ask.Tier), reason)
	state.session.deliver(&wire.ReserveDown{Message: &wire.ReserveDown_Refusal{Refusal: &wire.Refusal{
		AskId: e.ID.Number, Reason: reason, RetryAfterMs: int64(e.RetryAfter),
		Waiting: int32(e.Waiting), WaitMs: int64(e.Wait),
	}}})
}

func (r *runner) sendWithdrawal(e scheduler.Withdraw) {
	if state := r.asks[e.ID]; state != nil {
		state.session.deliver(&wire.ReserveDown{Message: &wire.ReserveDown_Withdrawal{
			Withdrawal: &wire.Withdrawal{AskId: e.ID.Number},
		}})
	}
}
