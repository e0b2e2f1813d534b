// Package granter runs the schedulers of the shards that are assigned to this
// daemon. Each shard has one goroutine around a pure decision function, and
// bounded queues carry messages to and from the daemons that ask for slots.
package granter

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/ring"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/sharder"
)

// Intervals and timeouts of streams and shards.
const (
	refreshInterval = 200 * clock.Millisecond
	// silenceLimit is how long a stream may carry no message before its session
	// is closed.
	silenceLimit = 6 * clock.Second
	// reconnectGrace is how long a daemon keeps its slots after its session
	// ended.
	reconnectGrace = 5 * clock.Second
	// isolationTime is how long a daemon may hear of no other, which send something each
	// second, before it may be cut off from all of them.
	isolationTime = 3 * clock.Second
	// countInterval is the time between two counts of members that have not changed.
	countInterval = 5 * clock.Second
)

// Decider is the pure scheduler of one shard.
type Decider interface {
	// Update handles one message and returns the effects to carry out.
	Update(now clock.Millis, m scheduler.Message) []scheduler.Effect
}

// Granter runs the schedulers of this daemon's shards. Its exported fields are
// set before Run.
type Granter struct {
	Source   inventory.Source
	View     gossiper.View
	Assigner *sharder.Assigner
	Clock    clock.Clock
	// LastContact returns when this daemon last heard of any other, and false if it never
	// did; nil means that it hears of them all the time.
	LastContact func() (at clock.Millis, found bool)
	// NewDecider returns the scheduler for a shard that starts here.
	NewDecider func() Decider
	// Noticer holds what this daemon knows of the words of upstreams, which it tells daemons with a new
	// session; nil tells nothing.
	Noticer *noticer.Noticer
	// Observer is called when a granted request ends; it may be nil.
	Observer Observer
	// ObserveStart is called when an upstream begins to answer a granted request, on the
	// goroutine of the shard; it must not block and may be nil.
	ObserveStart func(start RequestStart)
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer

	// SendLowestTier sends a shard's lowest admitted tier to another daemon; where it
	// is nil only the shards of this daemon receive it.
	SendLowestTier func(ctx context.Context, to gossiper.Member, tier *wire.LowestTier) error

	once    sync.Once
	metrics *metrics
	// lowestTiers holds the changes to be sent to other shards. A change that
	// finds it full is dropped: schedulers repeat it while it matters.
	lowestTiers *ring.Queue[lowestTier]
	// order holds the last result of tierOrder.
	order atomic.Pointer[configOrder]

	mu sync.Mutex
	// runners holds the runner of each shard that is scheduled here, by shard
	// ID.
	runners map[string]*runner
	// sessions holds the newest session of each daemon that has an open one.
	sessions map[string]*Session
	// graceEnds holds, for each daemon that lost its session, when its slots are
	// freed.
	graceEnds map[string]clock.Millis
	// sharesByPool holds the traffic shares by version of each pool whose version
	// is being moved.
	sharesByPool map[string]scheduler.Shares
	shardConfigs shardConfigCache
	census       sharder.Census
	// countedAssignment and countedAt are those of the last count of census.
	countedAssignment *sharder.Assignment
	countedAt         clock.Millis
	// ctx is the context of Run; nil before Run is called.
	ctx context.Context
	// runnerGroup waits for the goroutines that Run started.
	runnerGroup sync.WaitGroup
}

func (g *Granter) prepare() {
	g.once.Do(func() {
		g.metrics = newMetrics(g.Registerer)
		g.lowestTiers = ring.NewQueue[lowestTier](lowestTierRingSize)
		g.runners = map[string]*runner{}
		g.sessions = map[string]*Session{}
		g.graceEnds = map[string]clock.Millis{}
		g.sharesByPool = map[string]scheduler.Shares{}
	})
}

// Run starts and stops shards as the assignment changes, until ctx ends. It
// then waits for their goroutines.
func (g *Granter) Run(ctx context.Context) {
	g.prepare()
	g.mu.Lock()
	g.ctx = ctx
	g.runnerGroup.Go(func() { g.broadcastLowestTiers(ctx) })
	g.mu.Unlock()
	ticker := clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		g.refresh()
		select {
		case <-ctx.Done():
			g.runnerGroup.Wait()
			return
		case <-ticker.C:
		}
	}
}

// SetShares replaces the traffic shares by version on all shards of a pool.
func (g *Granter) SetShares(pool string, shares scheduler.Shares) {
	g.prepare()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sharesByPool[pool] = shares
	for _, r := range g.runners {
		if r.pool == pool {
			r.latestShares.Store(&shares)
		}
	}
}

// Notify passes a message about an upstream to the scheduler of its shard. The
// message is dropped where the shard is not scheduled here or its queue is
// full: a more recent one follows.
func (g *Granter) Notify(upstream string, m scheduler.Message) {
	g.prepare()
	shard := g.Assigner.Current().Layout.ShardOf(upstream)
	g.mu.Lock()
	r := g.runners[shard]
	g.mu.Unlock()
	if r != nil {
		r.inputs.TryPush(input{message: m})
	}
}

// Upstreams returns the upstreams of all shards that are scheduled here.
func (g *Granter) Upstreams() []inventory.Upstream {
	g.prepare()
	layout := g.Assigner.Current().Layout
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []inventory.Upstream
	for id := range g.runners {
		shard, _ := layout.Lookup(id)
		all = append(all, shard.Upstreams...)
	}
	return all
}

// refresh starts and stops shards according to the current assignment and
// configuration, closes silent sessions and frees the slots of daemons whose
// grace period is over.
func (g *Granter) refresh() {
	assignment := g.Assigner.Current()
	config := g.Source.Current()
	self := g.View.Self().Name
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trackMembers(now, assignment)
	fleet := g.fleet(now, len(assignment.Members))
	for id, r := range g.runners {
		if owner, found := assignment.Scheduler(id); !found || owner.Name != self {
			delete(g.runners, id)
			r.stop()
		}
	}
	for _, shard := range assignment.Layout.Shards() {
		if owner, _ := assignment.Scheduler(shard.ID); owner.Name == self {
			g.ensureRunner(shard, config, fleet)
		}
	}
	g.closeSilentSessions(now)
	g.releaseGoneDaemons(now)
}

// trackMembers counts the members if they may have changed. It is called with mu held.
func (g *Granter) trackMembers(now clock.Millis, assignment *sharder.Assignment) {
	if assignment != g.countedAssignment || now-g.countedAt >= countInterval {
		g.census.Track(now, assignment.Members)
		g.countedAssignment, g.countedAt = assignment, now
	}
}

// deadShare is the share of the daemons of the last minute up to which missing ones are taken for
// dead, and not for another part of the fleet.
const deadShare = 0.25

// fleet returns which part of the fleet this daemon sees. It is called with mu held.
func (g *Granter) fleet(now clock.Millis, members int) (fleet scheduler.Fleet) {
	present, known := g.census.Known(func(string) bool { return true })
	isolated := g.isIsolated(now, members)
	fleet.Divided = isolated || g.census.MaySeeSmallerSide()
	if isolated {
		present = 1
	}
	if float64(known-present) > deadShare*float64(known) {
		fleet.Part = float64(max(present, 1)) / float64(known)
	}
	return fleet
}

// isIsolated reports whether this daemon may be cut off from all others of a fleet.
func (g *Granter) isIsolated(now clock.Millis, members int) bool {
	if g.LastContact == nil || members <= 1 {
		return false
	}
	at, found := g.LastContact()
	return found && now-at > isolationTime
}

// ensureRunner starts the shard unless it runs, and gives it the current
// configuration; fleet tells whether other daemons may schedule it too. It is called with
// mu held.
func (g *Granter) ensureRunner(shard sharder.Shard, config *inventory.Config, fleet scheduler.Fleet) {
	if g.ctx == nil || g.ctx.Err() != nil {
		return
	}
	r, found := g.runners[shard.ID]
	if !found {
		r = newRunner(g, shard)
		g.runners[shard.ID] = r
		if shares, found := g.sharesByPool[shard.Pool]; found {
			r.latestShares.Store(&shares)
		}
	}
	r.latestConfig.Store(g.shardConfigs.configFor(shard, config))
	r.latestFleet.Store(&fleet)
	if !found {
		g.runnerGroup.Go(func() { g.runShard(r) })
	}
}

// runShard runs a shard until it stops. A panic ends the shard only, not the daemon:
// its daemons are sent away as after a move to another scheduler, and the next refresh
// starts it anew with what they announce.
func (g *Granter) runShard(r *runner) {
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		klog.ErrorS(nil, "scheduler of a shard failed; it starts anew", "shard", r.id, "asks", len(r.asks), "failure", fmt.Sprint(failure), "stack", string(debug.Stack()))
		g.metrics.failures.Inc()
		g.mu.Lock()
		if g.runners[r.id] == r {
			delete(g.runners, r.id)
		}
		g.mu.Unlock()
		r.refuseRemaining(g.ctx)
	}()
	r.run(g.ctx)
}

// runner returns the runner of a shard, nil where this daemon does not schedule
// it. Where this daemon has just become its scheduler, the runner is started
// here, without waiting for the next refresh.
func (g *Granter) runner(shard string) *runner {
	g.mu.Lock()
	r := g.runners[shard]
	g.mu.Unlock()
	if r != nil {
		return r
	}
	if owner, found := g.Assigner.Current().Scheduler(shard); !found || owner.Name != g.View.Self().Name {
		return nil
	}
	g.refresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runners[shard]
}

// allRunners returns the runners of all shards that are scheduled here.
func (g *Granter) allRunners() []*runner {
	g.mu.Lock()
	defer g.mu.Unlock()
	runners := make([]*runner, 0, len(g.runners))
	for _, r := range g.runners {
		runners = append(runners, r)
	}
	return runners
}

// closeSilentSessions closes sessions that received nothing for silenceLimit.
// It is called with mu held.
func (g *Granter) closeSilentSessions(now clock.Millis) {
	for _, s := range g.sessions {
		if now-clock.Millis(s.lastHeard.Load()) > silenceLimit {
			g.detach(s)
		}
	}
}

// detach ends a session and starts the grace period of its daemon, unless a
// newer session has replaced it. It is called with mu held.
func (g *Granter) detach(s *Session) {
	s.cancel()
	if g.sessions[s.daemon] == s {
		delete(g.sessions, s.daemon)
		g.graceEnds[s.daemon] = g.Clock.Now() + reconnectGrace
	}
}

// releaseGoneDaemons frees the slots of daemons whose grace period is over. A
// daemon whose message found a full queue is retried on the next refresh. It is
// called with mu held.
func (g *Granter) releaseGoneDaemons(now clock.Millis) {
	for daemon, graceEnd := range g.graceEnds {
		if now < graceEnd {
			continue
		}
		allQueued := true
		for _, r := range g.runners {
			allQueued = r.inputs.TryPush(input{goneDaemon: daemon}) && allQueued
		}
		if allQueued {
			delete(g.graceEnds, daemon)
		}
	}
}

// refuseNotScheduler refuses an ask or grant whose shard is scheduled by
// another daemon.
func refuseNotScheduler(s *Session, askID uint64) {
	s.deliver(&wire.ReserveDown{Message: &wire.ReserveDown_Refusal{Refusal: &wire.Refusal{
		AskId: askID, Reason: wire.RefusalReason_REFUSAL_REASON_NOT_SCHEDULER,
	}}})
}
