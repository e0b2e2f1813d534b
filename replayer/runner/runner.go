package runner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/replayer/batcher"
	"yuccaspread/replayer/parser"
	"yuccaspread/replayer/selector"
)

// Times of the replay in milliseconds.
const (
	// networkDelayMS is the time from a daemon to an upstream.
	networkDelayMS = 1
	// tickIntervalMS is the time between ticks of a policy.
	tickIntervalMS = 100
	// extraTimeMS is how long the replay goes on after the last deadline.
	extraTimeMS = 1000
)

// run is the state of one replay. Its times are in milliseconds on the trace's
// clock.
type run struct {
	trace  parser.Trace
	now    float64
	end    float64
	events eventQueue
	rng    *rand.Rand
	result Result

	shards   map[string]*shard
	engines  map[string]*engine
	requests []*request

	firstTokenTimes, tokenGaps []float64
}

// shard holds the upstreams of one pool in one region and their policy.
type shard struct {
	policy    selector.Policy
	upstreams []parser.Upstream
	// lastAdmission is the sequence number of the event of the last admission, by
	// tier and upstream.
	lastAdmission map[admission]uint64
}

type admission struct {
	tier     int
	upstream string
}

// engine is one engine with its jobs in progress.
type engine struct {
	batcher.Engine
	shard *shard
	dead  bool
	// wakeUpNumber is the number of the last scheduled wake-up; older ones are
	// ignored.
	wakeUpNumber uint64
	jobs         map[*batcher.Job]*request
	// cacheEventsLost is set if the last cache events were lost.
	cacheEventsLost bool
}

// Run replays a trace against the named policy.
func Run(trace parser.Trace, policy string) (result Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("replay with %s: %w", policy, err)
		}
	}()
	r := &run{
		trace: trace, shards: map[string]*shard{}, engines: map[string]*engine{},
		rng: rand.New(rand.NewPCG(trace.Header.Seed, 1)), result: Result{Policy: policy},
	}
	if err = r.prepare(policy); err != nil {
		return result, err
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > r.end {
			break
		}
		r.now = e.at
		e.handle()
	}
	r.result.FirstTokenP95MS = p95(r.firstTokenTimes)
	r.result.TokenGapP95MS = p95(r.tokenGaps)
	return r.result, nil
}

func (r *run) prepare(policy string) (err error) {
	for _, u := range r.trace.Upstreams {
		key := u.Pool + "/" + u.Region
		if r.shards[key] == nil {
			r.shards[key] = &shard{lastAdmission: map[admission]uint64{}}
		}
		r.shards[key].upstreams = append(r.shards[key].upstreams, u)
		r.engines[u.Name] = &engine{
			Engine: batcher.Engine{Upstream: u, Slowness: 1}, shard: r.shards[key], jobs: map[*batcher.Job]*request{},
		}
	}
	for _, s := range r.orderedShards() {
		if s.policy, err = selector.New(policy, r.trace.Header, s.upstreams); err != nil {
			return err
		}
	}
	for i := range r.trace.Requests {
		if err = r.prepareRequest(uint64(i)); err != nil {
			return err
		}
	}
	r.end += extraTimeMS
	for _, c := range r.trace.Changes {
		r.events.schedule(float64(c.AtMS), func() { r.applyChange(c) })
	}
	for _, u := range r.trace.Upstreams {
		r.scheduleReports(r.engines[u.Name])
	}
	for _, s := range r.orderedShards() {
		r.scheduleTicks(s)
	}
	return nil
}

// orderedShards returns the shards in the order of their first upstreams.
func (r *run) orderedShards() (shards []*shard) {
	for _, u := range r.trace.Upstreams {
		if s := r.engines[u.Name].shard; !slices.Contains(shards, s) {
			shards = append(shards, s)
		}
	}
	return shards
}

func (r *run) nowMS() clock.Millis { return clock.Millis(r.now) }

func (r *run) scheduleTicks(s *shard) {
	r.events.schedule(r.now+tickIntervalMS, func() {
		r.applyDecisions(s, s.policy.Tick(r.nowMS()))
		r.scheduleTicks(s)
	})
}

// scheduleReports schedules the load reports and cache events of an engine, which
// arrive with the delays that the trace's header gives.
func (r *run) scheduleReports(e *engine) {
	interval := float64(r.trace.Header.ReportEveryMS)
	r.events.schedule(r.now+interval*(0.5+r.rng.Float64()), func() {
		r.sendReport(e)
		r.scheduleReports(e)
	})
}

func (r *run) sendReport(e *engine) {
	r.advance(e)
	if e.dead {
		return
	}
	load := scheduler.Load{Upstream: e.Name, Time: r.nowMS(), Version: "v1"}
	load.Running, load.Waiting = e.Load()
	r.events.schedule(r.now+float64(r.trace.Header.ReportAgeMS), func() {
		r.applyDecisions(e.shard, e.shard.policy.HandleLoadReport(r.nowMS(), load))
	})
	change := scheduler.CacheChange{Upstream: e.Name, Gap: e.cacheEventsLost}
	change.Stored, change.Removed = e.CacheChanges()
	e.cacheEventsLost = r.rng.Float64() < r.trace.Header.CacheLoss
	if e.cacheEventsLost {
		return
	}
	r.events.schedule(r.now+float64(r.trace.Header.CacheAgeMS), func() {
		r.applyDecisions(e.shard, e.shard.policy.HandleCacheChange(r.nowMS(), change))
	})
}

func (r *run) applyChange(c parser.Change) {
	e := r.engines[c.Upstream]
	if e == nil {
		return
	}
	r.advance(e)
	wasDead := e.dead
	e.dead = c.Slowness <= 0
	if !e.dead {
		e.Slowness = c.Slowness
	}
	if e.dead != wasDead {
		r.events.schedule(r.now+float64(r.trace.Header.HealthAgeMS), func() {
			health := scheduler.Health{Upstream: e.Name, Up: !e.dead}
			r.applyDecisions(e.shard, e.shard.policy.HandleHealth(r.nowMS(), health))
		})
	}
	if e.dead && !wasDead {
		r.addExposure(e.shard)
	}
	if e.dead {
		for _, j := range e.Drop() {
			r.failAttempt(e.jobs[j], e)
		}
	}
	r.scheduleWakeUp(e)
}

// addExposure adds the prompt tokens that the failure of one upstream of the shard
// loses, as the mean over its upstreams, whichever of them failed.
func (r *run) addExposure(s *shard) {
	total := 0.0
	for _, u := range s.upstreams {
		e := r.engines[u.Name]
		r.advance(e)
		for job := range e.jobs {
			total += job.PrefilledTokens
		}
	}
	r.result.ExposedPrefillTokens += int64(total) / int64(len(s.upstreams))
}

// scheduleWakeUp schedules the next event of an engine and replaces an earlier
// wake-up.
func (r *run) scheduleWakeUp(e *engine) {
	e.wakeUpNumber++
	number := e.wakeUpNumber
	next := e.NextEvent()
	if next > r.end {
		return
	}
	r.events.schedule(max(next, r.now), func() {
		if e.wakeUpNumber == number {
			r.advance(e)
			r.scheduleWakeUp(e)
		}
	})
}

// advance advances an engine to the current time and handles its events.
func (r *run) advance(e *engine) {
	for _, event := range e.Advance(r.now) {
		q := e.jobs[event.Job]
		if q == nil || q.done {
			continue
		}
		if event.Ended {
			r.finishRequest(q, e)
			continue
		}
		q.firstTokenTime = r.now
		r.firstTokenTimes = append(r.firstTokenTimes, r.now-float64(q.AtMS))
		r.result.ReadTokens += int64(event.Job.PromptTokens - event.Job.CachedTokens)
		cached := event.Job.CachedTokens
		if r.trace.Header.NamesParts {
			cached = reserver.CachedUnknown
		}
		r.applyDecisions(e.shard, e.shard.policy.HandleFirstToken(r.nowMS(), q.number, cached))
	}
}
