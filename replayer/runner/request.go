package runner

import (
	"fmt"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/hasher"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/replayer/batcher"
	"yuccaspread/replayer/parser"
	"yuccaspread/replayer/selector"
)

// request is one request of the replay.
type request struct {
	*parser.Request
	number   uint64
	shard    *shard
	blocks   []uint64
	excluded []string
	// arrived is the number of the event that brought it.
	arrived uint64

	// engine and job are those of the present attempt, nil while it waits.
	engine *engine
	job    *batcher.Job
	// sent tells whether any attempt began.
	sent       bool
	wasted     float64
	firstToken float64
	done       bool
	// returned tells that the caller has come back after a refusal or a silence, or
	// is about to, and cameBack when.
	returned bool
	cameBack float64
}

func (r *run) prepareRequest(number uint64) error {
	p := &r.trace.Requests[number]
	q := &request{Request: p, number: number, shard: r.shards[p.Pool+"/"+p.Region], blocks: blocks(p, number)}
	if q.shard == nil || p.Daemon < 0 || p.Daemon >= r.trace.Head.Daemons || p.OutputTokens <= 0 || p.Tier < 0 {
		return fmt.Errorf("request %d fits no upstream or daemon, or has no output", number)
	}
	r.requests = append(r.requests, q)
	r.end = max(r.end, float64(p.DeadlineMS))
	r.agenda.add(float64(p.AtMS), func() {
		r.result.tier(p.Tier).Offered++
		q.arrived = r.agenda.number
		r.arrive(q)
	})
	r.agenda.add(float64(p.DeadlineMS), func() { r.leave(q) })
	if p.PatienceMS > 0 {
		r.agenda.add(float64(p.PatienceMS), func() { r.giveUp(q, p.PatienceMS-p.AtMS) })
	}
	return nil
}

// blocks names the blocks of a prompt: those of its prefix and its own.
func blocks(p *parser.Request, number uint64) []uint64 {
	names := make([]uint64, min(p.PromptTokens/hasher.BlockTokens, hasher.MaxBlocks))
	for i := range names {
		text := p.Prefix
		if (i+1)*hasher.BlockTokens > p.PrefixTokens {
			text = number
		}
		names[i] = hasher.Fingerprint(fmt.Sprint(text), fmt.Sprint(i), nil)
	}
	return names
}

func (r *run) arrive(q *request) {
	ask := scheduler.Ask{
		ID: scheduler.AskID{Number: q.number}, Organisation: q.Organisation, Route: q.Route, Tier: q.Tier,
		Deadline: q.DeadlineMS, Objective: q.ObjectiveMS, Patience: q.patience(r.millis()), PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens, Idempotent: q.Idempotent,
		PrefixHashes: q.blocks, Excluded: slices.Clone(q.excluded),
	}
	r.apply(q.shard, q.shard.policy.Arrive(r.millis(), selector.Ask{Ask: ask, Daemon: q.Daemon}))
}

// apply does what a policy decided.
func (r *run) apply(s *shard, decisions []selector.Decision) {
	for _, d := range decisions {
		q := r.requests[d.Number]
		switch {
		case q.done:
		case d.Cancel:
			r.withdraw(q)
		case d.Upstream == "":
			r.refuse(q, d.RetryAfter)
		default:
			r.send(s, q, r.engines[d.Upstream])
		}
	}
}

func (r *run) send(s *shard, q *request, e *engine) {
	q.engine = e
	q.job = &batcher.Job{Prompt: q.PromptTokens, Output: q.OutputTokens, Blocks: q.blocks}
	q.sent = true
	e.jobs[q.job] = q
	s.admitted[admission{q.Tier, e.Name}] = r.agenda.number
	job := q.job
	r.agenda.add(r.now+wayMS+s.policy.DelayMS(), func() {
		switch {
		case q.done || q.job != job:
		case e.dead:
			r.fail(q, e)
		default:
			r.advance(e)
			e.Submit(job)
			r.result.CrossRegionBytes += crossBytes(q.Request, e.Region)
			r.wake(e)
		}
	})
}

// stop ends the present attempt.
func (r *run) stop(q *request) {
	e := q.engine
	r.result.ReadPrefillTokens += int64(q.job.Read)
	delete(e.jobs, q.job)
	q.engine, q.job = nil, nil
}

// cancel ends the present attempt early, on the engine too.
func (r *run) cancel(q *request) {
	e := q.engine
	r.advance(e)
	if q.done {
		return
	}
	e.Cancel(q.job)
	q.wasted += q.job.Read
	r.stop(q)
	r.wake(e)
	r.apply(q.shard, q.shard.policy.End(r.millis(), q.number, reserver.Usage{Outcome: reserver.Cancelled}))
}

// fail ends an attempt whose upstream died. What may run again tries another.
func (r *run) fail(q *request, e *engine) {
	if q == nil || q.done {
		return
	}
	again := q.Idempotent || q.job.Read == 0
	q.wasted += q.job.Read
	q.excluded = append(q.excluded, e.Name)
	r.stop(q)
	r.apply(q.shard, q.shard.policy.End(r.millis(), q.number, reserver.Usage{Outcome: reserver.Died}))
	if !again {
		r.miss(q)
		return
	}
	r.agenda.add(r.now+wayMS, func() {
		if !q.done {
			r.arrive(q)
		}
	})
}

func (r *run) withdraw(q *request) {
	if q.engine == nil {
		return
	}
	r.cancel(q)
	if !q.done {
		r.arrive(q)
	}
}

func (r *run) finish(q *request, e *engine) {
	q.done = true
	if q.OutputTokens > 1 {
		r.gaps = append(r.gaps, (r.now-q.firstToken)/float64(q.OutputTokens-1))
	}
	r.result.WastedPrefillTokens += int64(q.wasted)
	r.result.tier(q.Tier).OnTime++
	if q.ObjectiveMS > 0 && q.firstToken <= float64(q.ObjectiveMS) {
		r.result.tier(q.Tier).Prompt++
	}
	r.result.OnTimeAt[q.Tier] = append(r.result.OnTimeAt[q.Tier], q.AtMS)
	r.stop(q)
	usage := reserver.Usage{Outcome: reserver.Whole, OutputTokens: q.OutputTokens}
	r.apply(e.shard, e.shard.policy.End(r.millis(), q.number, usage))
}

// leave is when the caller gives up.
func (r *run) leave(q *request) {
	if q.done {
		return
	}
	r.abandon(q)
	if !q.done {
		r.miss(q)
	}
}

// abandon ends what runs or waits of a request whose caller is gone.
func (r *run) abandon(q *request) {
	if q.engine != nil {
		r.cancel(q)
	} else {
		r.apply(q.shard, q.shard.policy.Leave(r.millis(), q.number))
	}
}

// patience returns when the caller of an attempt that begins now leaves.
func (q *request) patience(now clock.Millis) clock.Millis {
	if q.PatienceMS == 0 {
		return 0
	}
	return min(max(now, q.AtMS)+q.PatienceMS-q.AtMS, q.DeadlineMS)
}

// giveUp ends an attempt whose caller has heard nothing for a span. The caller
// comes back at once, but only once.
func (r *run) giveUp(q *request, span clock.Millis) {
	if q.done || q.firstToken > 0 || (q.returned && r.now < q.cameBack+float64(span)) {
		return
	}
	r.abandon(q)
	if !q.done {
		r.comeBack(q, 0)
	}
}

// returnPart is the part of the time left that a refused caller waits at most.
const returnPart = 3

func (r *run) refuse(q *request, retry clock.Millis) {
	if q.PatienceMS == 0 || retry <= 0 {
		r.miss(q)
		return
	}
	r.comeBack(q, min(retry, (q.DeadlineMS-r.millis())/returnPart))
}

// comeBack brings a caller again after a span, or ends the request where it has
// come back before.
func (r *run) comeBack(q *request, span clock.Millis) {
	if q.returned || q.PatienceMS == 0 {
		r.miss(q)
		return
	}
	q.returned = true
	silence := q.PatienceMS - q.AtMS
	q.cameBack = r.now + float64(span)
	r.agenda.add(q.cameBack, func() {
		if !q.done {
			r.arrive(q)
		}
	})
	r.agenda.add(q.cameBack+float64(silence), func() { r.giveUp(q, silence) })
}

// miss ends a request that is not on time.
func (r *run) miss(q *request) {
	q.done = true
	r.result.WastedPrefillTokens += int64(q.wasted)
	if q.sent {
		r.result.tier(q.Tier).Late++
		return
	}
	r.result.tier(q.Tier).Shed++
	for a, at := range q.shard.admitted {
		if a.tier > q.Tier && at > q.arrived && !slices.Contains(q.excluded, a.upstream) {
			r.result.TierInversions++
			return
		}
	}
}
