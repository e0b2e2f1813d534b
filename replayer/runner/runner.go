package runner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/replayer/batcher"
	"yuccaspread/replayer/parser"
	"yuccaspread/replayer/selector"
)

// Times of the replay.
const (
	// wayMS is the time from a daemon to an upstream, in milliseconds.
	wayMS = 1
	// tickMS is the time between ticks of a policy.
	tickMS = 100
	// afterMS is how long the replay goes on after the last deadline.
	afterMS = 1000
)

// run is one replay.
type run struct {
	trace  parser.Trace
	now    float64
	end    float64
	agenda agenda
	random *rand.Rand
	result Result

	shards   map[string]*shard
	engines  map[string]*engine
	requests []*request

	firstTokens, gaps []float64
}

// shard is the upstreams of one pool in one region with their policy.
type shard struct {
	policy    selector.Policy
	upstreams []parser.Upstream
	// admitted is the number of the last admission by tier and upstream.
	admitted map[admission]uint64
}

type admission struct {
	tier     int
	upstream string
}

// engine is one engine of the replay.
type engine struct {
	batcher.Engine
	shard *shard
	dead  bool
	// turn tells newer wake-ups from older ones.
	turn uint64
	jobs map[*batcher.Job]*request
	// gap tells that cache events were lost.
	gap bool
}

// Run replays a trace against the policy of the name.
func Run(trace parser.Trace, policy string) (result Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("replay with %s: %w", policy, err)
		}
	}()
	r := &run{
		trace: trace, shards: map[string]*shard{}, engines: map[string]*engine{},
		random: rand.New(rand.NewPCG(trace.Head.Seed, 1)), result: Result{Policy: policy},
	}
	if err = r.prepare(policy); err != nil {
		return result, err
	}
	for r.agenda.Len() > 0 {
		e := heap.Pop(&r.agenda).(event)
		if e.at > r.end {
			break
		}
		r.now = e.at
		e.do()
	}
	r.result.FirstTokenP95MS = p95(r.firstTokens)
	r.result.TokenGapP95MS = p95(r.gaps)
	return r.result, nil
}

func (r *run) prepare(policy string) (err error) {
	for _, u := range r.trace.Upstreams {
		key := u.Pool + "/" + u.Region
		if r.shards[key] == nil {
			r.shards[key] = &shard{admitted: map[admission]uint64{}}
		}
		r.shards[key].upstreams = append(r.shards[key].upstreams, u)
		r.engines[u.Name] = &engine{
			Engine: batcher.Engine{Upstream: u, Slowness: 1}, shard: r.shards[key], jobs: map[*batcher.Job]*request{},
		}
	}
	for _, s := range r.ordered() {
		if s.policy, err = selector.New(policy, r.trace.Head, s.upstreams); err != nil {
			return err
		}
	}
	for i := range r.trace.Requests {
		if err = r.prepareRequest(uint64(i)); err != nil {
			return err
		}
	}
	r.end += afterMS
	for _, c := range r.trace.Changes {
		r.agenda.add(float64(c.AtMS), func() { r.change(c) })
	}
	for _, u := range r.trace.Upstreams {
		r.reportEvery(r.engines[u.Name])
	}
	for _, s := range r.ordered() {
		r.tickEvery(s)
	}
	return nil
}

// ordered returns the shards in the order of their first upstreams.
func (r *run) ordered() (shards []*shard) {
	for _, u := range r.trace.Upstreams {
		if s := r.engines[u.Name].shard; !slices.Contains(shards, s) {
			shards = append(shards, s)
		}
	}
	return shards
}

func (r *run) millis() clock.Millis { return clock.Millis(r.now) }

func (r *run) tickEvery(s *shard) {
	r.agenda.add(r.now+tickMS, func() {
		r.apply(s, s.policy.Tick(r.millis()))
		r.tickEvery(s)
	})
}

// reportEvery lets an engine send load reports and cache events, which arrive
// when they are as old as the trace says.
func (r *run) reportEvery(e *engine) {
	every := float64(r.trace.Head.ReportEveryMS)
	r.agenda.add(r.now+every*(0.5+r.random.Float64()), func() {
		r.report(e)
		r.reportEvery(e)
	})
}

func (r *run) report(e *engine) {
	r.advance(e)
	if e.dead {
		return
	}
	load := scheduler.Load{Upstream: e.Name, Time: r.millis(), Version: "v1"}
	load.Running, load.Waiting = e.Load()
	r.agenda.add(r.now+float64(r.trace.Head.ReportAgeMS), func() {
		r.apply(e.shard, e.shard.policy.Report(r.millis(), load))
	})
	change := scheduler.CacheChange{Upstream: e.Name, Gap: e.gap}
	change.Stored, change.Removed = e.CacheChanges()
	e.gap = r.random.Float64() < r.trace.Head.CacheLoss
	if e.gap {
		return
	}
	r.agenda.add(r.now+float64(r.trace.Head.CacheAgeMS), func() {
		r.apply(e.shard, e.shard.policy.Cache(r.millis(), change))
	})
}

func (r *run) change(c parser.Change) {
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
		r.agenda.add(r.now+float64(r.trace.Head.HealthAgeMS), func() {
			health := scheduler.Health{Upstream: e.Name, Up: !e.dead}
			r.apply(e.shard, e.shard.policy.Health(r.millis(), health))
		})
	}
	if e.dead && !wasDead {
		r.expose(e.shard)
	}
	if e.dead {
		for _, j := range e.Drop() {
			r.fail(e.jobs[j], e)
		}
	}
	r.wake(e)
}

// expose adds what the death of an upstream of a shard costs on average over
// its upstreams, whichever of them it is.
func (r *run) expose(s *shard) {
	total := 0.0
	for _, u := range s.upstreams {
		e := r.engines[u.Name]
		r.advance(e)
		for job := range e.jobs {
			total += job.Read
		}
	}
	r.result.ExposedPrefillTokens += int64(total) / int64(len(s.upstreams))
}

// wake plans the next event of an engine.
func (r *run) wake(e *engine) {
	e.turn++
	turn := e.turn
	next := e.Next()
	if next > r.end {
		return
	}
	r.agenda.add(max(next, r.now), func() {
		if e.turn == turn {
			r.advance(e)
			r.wake(e)
		}
	})
}

// advance brings an engine to the present and passes on what it did.
func (r *run) advance(e *engine) {
	for _, event := range e.Advance(r.now) {
		q := e.jobs[event.Job]
		if q == nil || q.done {
			continue
		}
		if event.Ended {
			r.finish(q, e)
			continue
		}
		q.firstToken = r.now
		r.firstTokens = append(r.firstTokens, r.now-float64(q.AtMS))
		r.apply(e.shard, e.shard.policy.FirstToken(r.millis(), q.number, event.Job.Cached))
	}
}
