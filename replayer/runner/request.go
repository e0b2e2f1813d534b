package runner

import (
	"fmt"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/common/hasher"
	"yuccaspread/daemon/keeper"
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
	// arrivalSequence is the sequence number of its arrival event.
	arrivalSequence uint64

	// engine and job are those of the current attempt, nil while it waits.
	engine *engine
	job    *batcher.Job
	// sent is set once an attempt began.
	sent           bool
	wastedTokens   float64
	firstTokenTime float64
	done           bool
	// returned is set once the caller decided to come back after a refusal or a
	// silence; returnedAt is when it does.
	returned   bool
	returnedAt float64
}

func (r *run) prepareRequest(number uint64) error {
	p := &r.trace.Requests[number]
	q := &request{Request: p, number: number, shard: r.shards[p.Pool+"/"+p.Region], blocks: promptBlocks(p, number)}
	if q.shard == nil || p.Daemon < 0 || p.Daemon >= r.trace.Header.Daemons || p.OutputTokens <= 0 || p.Tier < 0 {
		return fmt.Errorf("request %d: no upstream of its pool and region, unknown daemon, no output tokens or negative tier", number)
	}
	r.requests = append(r.requests, q)
	r.end = max(r.end, float64(p.DeadlineMS))
	r.events.schedule(float64(p.AtMS), func() {
		r.result.tierResult(p.Tier).Offered++
		q.arrivalSequence = r.events.sequence
		r.submit(q)
	})
	r.events.schedule(float64(p.DeadlineMS), func() { r.handleDeadline(q) })
	if p.PatienceMS > 0 {
		r.events.schedule(float64(p.PatienceMS), func() { r.handlePatienceEnd(q, p.PatienceMS-p.AtMS) })
	}
	return nil
}

// promptBlocks returns the hashes of a prompt's blocks. Blocks of the prefix are
// the same for all requests with that prefix.
func promptBlocks(p *parser.Request, number uint64) []uint64 {
	hashes := make([]uint64, min(p.PromptTokens/hasher.BlockTokens, hasher.MaxBlocks))
	for i := range hashes {
		text := p.Prefix
		if (i+1)*hasher.BlockTokens > p.PrefixTokens {
			text = number
		}
		hashes[i] = hasher.Fingerprint(fmt.Sprint(text), fmt.Sprint(i), nil)
	}
	return hashes
}

// submit passes a request to the policy of its shard.
func (r *run) submit(q *request) {
	ask := scheduler.Ask{
		ID: scheduler.AskID{Number: q.number}, Organisation: q.Organisation, Route: q.Route, Tier: q.Tier,
		Deadline: q.DeadlineMS, Objective: q.ObjectiveMS, Patience: q.patienceEnd(r.nowMS()), PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens, Idempotent: q.Idempotent,
		PrefixHashes: q.blocks, Excluded: slices.Clone(q.excluded),
	}
	if r.trace.Header.NamesParts {
		ask.PrefixHashes, ask.Parts = nil, []keeper.Part{{Hash: q.Prefix, Tokens: q.PrefixTokens}}
	}
	r.applyDecisions(q.shard, q.shard.policy.HandleArrival(r.nowMS(), selector.Ask{Ask: ask, Daemon: q.Daemon}))
}

// applyDecisions carries out the decisions of a policy.
func (r *run) applyDecisions(s *shard, decisions []selector.Decision) {
	for _, d := range decisions {
		q := r.requests[d.RequestNumber]
		switch {
		case q.done:
		case d.Cancel:
			r.withdrawAttempt(q)
		case d.Upstream == "":
			r.handleRefusal(q, d.RetryAfter)
		default:
			r.sendToEngine(s, q, r.engines[d.Upstream])
		}
	}
}

// sendToEngine begins an attempt, which reaches the engine after the delays of the
// decision and the network.
func (r *run) sendToEngine(s *shard, q *request, e *engine) {
	q.engine = e
	q.job = &batcher.Job{PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, Blocks: q.blocks}
	q.sent = true
	e.jobs[q.job] = q
	s.lastAdmission[admission{q.Tier, e.Name}] = r.events.sequence
	job := q.job
	r.events.schedule(r.now+networkDelayMS+s.policy.DelayMS(), func() {
		switch {
		case q.done || q.job != job:
		case e.dead:
			r.failAttempt(q, e)
		default:
			r.advance(e)
			e.Submit(job)
			r.result.CrossRegionBytes += crossRegionBytes(q.Request, e.Region)
			r.scheduleWakeUp(e)
		}
	})
}

// endAttempt ends the current attempt.
func (r *run) endAttempt(q *request) {
	e := q.engine
	r.result.ReadPrefillTokens += int64(q.job.PrefilledTokens)
	delete(e.jobs, q.job)
	q.engine, q.job = nil, nil
}

// cancelAttempt cancels the current attempt, on the engine too.
func (r *run) cancelAttempt(q *request) {
	e := q.engine
	r.advance(e)
	if q.done {
		return
	}
	e.Cancel(q.job)
	q.wastedTokens += q.job.PrefilledTokens
	r.endAttempt(q)
	r.scheduleWakeUp(e)
	r.applyDecisions(q.shard, q.shard.policy.HandleEnd(r.nowMS(), q.number, reserver.Usage{Outcome: reserver.Cancelled}))
}

// failAttempt ends an attempt whose upstream failed. Idempotent requests, and
// those of which no prompt token was computed, are retried on another upstream.
func (r *run) failAttempt(q *request, e *engine) {
	if q == nil || q.done {
		return
	}
	retryable := q.Idempotent || q.job.PrefilledTokens == 0
	q.wastedTokens += q.job.PrefilledTokens
	q.excluded = append(q.excluded, e.Name)
	r.endAttempt(q)
	r.applyDecisions(q.shard, q.shard.policy.HandleEnd(r.nowMS(), q.number, reserver.Usage{Outcome: reserver.UpstreamDied}))
	if !retryable {
		r.recordMiss(q)
		return
	}
	r.events.schedule(r.now+networkDelayMS, func() {
		if !q.done {
			r.submit(q)
		}
	})
}

// withdrawAttempt cancels the current attempt on behalf of the policy and submits
// the request again.
func (r *run) withdrawAttempt(q *request) {
	if q.engine == nil {
		return
	}
	r.cancelAttempt(q)
	if !q.done {
		r.submit(q)
	}
}

func (r *run) finishRequest(q *request, e *engine) {
	q.done = true
	if q.OutputTokens > 1 {
		r.tokenGaps = append(r.tokenGaps, (r.now-q.firstTokenTime)/float64(q.OutputTokens-1))
	}
	r.result.WastedPrefillTokens += int64(q.wastedTokens)
	r.result.tierResult(q.Tier).OnTime++
	if q.ObjectiveMS > 0 && q.firstTokenTime <= float64(q.ObjectiveMS) {
		r.result.tierResult(q.Tier).FirstTokenOnTime++
	}
	r.result.OnTimeAt[q.Tier] = append(r.result.OnTimeAt[q.Tier], q.AtMS)
	r.endAttempt(q)
	usage := reserver.Usage{Outcome: reserver.Completed, OutputTokens: q.OutputTokens}
	r.applyDecisions(e.shard, e.shard.policy.HandleEnd(r.nowMS(), q.number, usage))
}

// handleDeadline ends a request at its deadline, when the caller leaves.
func (r *run) handleDeadline(q *request) {
	if q.done {
		return
	}
	r.abandonRequest(q)
	if !q.done {
		r.recordMiss(q)
	}
}

// abandonRequest cancels the attempt of a request whose caller is gone, or removes
// it from the policy's queue.
func (r *run) abandonRequest(q *request) {
	if q.engine != nil {
		r.cancelAttempt(q)
	} else {
		r.applyDecisions(q.shard, q.shard.policy.HandleLeave(r.nowMS(), q.number))
	}
}

// patienceEnd returns the time at which the caller leaves if an attempt that begins
// now gives no token; 0 for none.
func (q *request) patienceEnd(now clock.Millis) clock.Millis {
	if q.PatienceMS == 0 {
		return 0
	}
	return min(max(now, q.AtMS)+q.PatienceMS-q.AtMS, q.DeadlineMS)
}

// handlePatienceEnd ends an attempt whose caller got no token during silence. The
// caller comes back at once, but only once.
func (r *run) handlePatienceEnd(q *request, silence clock.Millis) {
	if q.done || q.firstTokenTime > 0 || (q.returned && r.now < q.returnedAt+float64(silence)) {
		return
	}
	r.abandonRequest(q)
	if !q.done {
		r.scheduleReturn(q, 0)
	}
}

// maxReturnDivisor bounds the wait of a refused caller, to the remaining time
// divided by it.
const maxReturnDivisor = 3

// handleRefusal lets a refused caller come back after retryAfter, or after a third
// of the remaining time if that is sooner. Without patience or retryAfter the
// request is missed.
func (r *run) handleRefusal(q *request, retryAfter clock.Millis) {
	if q.PatienceMS == 0 || retryAfter <= 0 {
		r.recordMiss(q)
		return
	}
	r.scheduleReturn(q, min(retryAfter, (q.DeadlineMS-r.nowMS())/maxReturnDivisor))
}

// scheduleReturn lets a caller come back after a delay, or ends the request if the
// caller has come back before.
func (r *run) scheduleReturn(q *request, delay clock.Millis) {
	if q.returned || q.PatienceMS == 0 {
		r.recordMiss(q)
		return
	}
	q.returned = true
	silence := q.PatienceMS - q.AtMS
	q.returnedAt = r.now + float64(delay)
	r.events.schedule(q.returnedAt, func() {
		if !q.done {
			r.submit(q)
		}
	})
	r.events.schedule(q.returnedAt+float64(silence), func() { r.handlePatienceEnd(q, silence) })
}

// recordMiss ends a request that is not on time and counts it as late or shed. A
// shed request counts as a tier inversion if a lower tier got a slot that it might
// have had.
func (r *run) recordMiss(q *request) {
	q.done = true
	r.result.WastedPrefillTokens += int64(q.wastedTokens)
	if q.sent {
		r.result.tierResult(q.Tier).Late++
		return
	}
	r.result.tierResult(q.Tier).Shed++
	for a, at := range q.shard.lastAdmission {
		if a.tier > q.Tier && at > q.arrivalSequence && !slices.Contains(q.excluded, a.upstream) {
			r.result.TierInversions++
			return
		}
	}
}
