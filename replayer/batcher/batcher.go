// Package batcher models an engine on a virtual clock, with continuous batching,
// sequential prefill and a bounded prefix cache. It admits jobs in order of
// arrival, regardless of their tiers.
package batcher

import (
	"cmp"
	"container/list"
	"math"
	"slices"

	"yuccaspread/common/hasher"
	"yuccaspread/replayer/parser"
)

// prefillSlowdown is the factor by which a running prefill lengthens the time
// between tokens.
const prefillSlowdown = 1.2

// Job is one attempt of a request on an engine.
type Job struct {
	// OutputTokens is above 0.
	PromptTokens, OutputTokens int
	Blocks                     []uint64
	// CachedTokens is set when the prefill begins.
	CachedTokens int
	// PrefilledTokens is the number of prompt tokens computed so far.
	PrefilledTokens float64

	prefillStarted bool
	endsAt         float64 // as a value of Engine.generated
}

// Event is the first token or the end of a job.
type Event struct {
	Job *Job
	// Ended is false for the first token.
	Ended bool
}

// Engine is a model of one engine. Its exported fields are set before use. Times
// are in milliseconds and never decrease.
type Engine struct {
	parser.Upstream
	// Slowness multiplies all times; above 0.
	Slowness float64

	now        float64
	waiting    []*Job
	prefilling []*Job
	decoding   []*Job
	// generated counts the tokens generated for each decoding job, from the start
	// on; a job ends when it reaches the job's endsAt. decoding is sorted by endsAt.
	generated float64
	cache     cache
}

// Submit adds a job, which waits until there is a slot and memory for it.
func (e *Engine) Submit(j *Job) {
	e.waiting = append(e.waiting, j)
	e.admit()
}

// Cancel removes a job; an unknown job is ignored.
func (e *Engine) Cancel(j *Job) {
	isJob := func(o *Job) bool { return o == j }
	e.waiting = slices.DeleteFunc(e.waiting, isJob)
	e.prefilling = slices.DeleteFunc(e.prefilling, isJob)
	e.decoding = slices.DeleteFunc(e.decoding, isJob)
	e.admit()
}

// Load returns the numbers of jobs in the batch and of those waiting for it.
func (e *Engine) Load() (running, waiting int) {
	return len(e.prefilling) + len(e.decoding), len(e.waiting)
}

// Drop removes all jobs and cache blocks, and returns the jobs.
func (e *Engine) Drop() []*Job {
	jobs := slices.Concat(e.waiting, e.prefilling, e.decoding)
	e.waiting, e.prefilling, e.decoding, e.cache = nil, nil, nil, cache{}
	return jobs
}

// CacheChanges returns the blocks stored and removed since the last call.
func (e *Engine) CacheChanges() (stored, removed []uint64) {
	defer func() { e.cache.stored, e.cache.removed = nil, nil }()
	return e.cache.stored, e.cache.removed
}

// NextEvent returns the time of the next event, infinity if there is none.
func (e *Engine) NextEvent() float64 {
	next := math.Inf(1)
	if len(e.prefilling) > 0 {
		next = e.now + e.remainingPrefillMS()
	}
	if len(e.decoding) > 0 {
		next = min(next, e.now+(e.decoding[0].endsAt-e.generated)*e.tokenGapMS())
	}
	return next
}

// Advance moves the clock to a time not after NextEvent and returns the events at
// that time.
func (e *Engine) Advance(now float64) (events []Event) {
	const epsilon = 1e-6
	span := now - e.now
	if len(e.decoding) > 0 {
		e.generated += span / e.tokenGapMS()
	}
	if len(e.prefilling) > 0 {
		j := e.prefilling[0]
		left := e.remainingPrefillMS()
		j.PrefilledTokens += span * e.PrefillPerSecond / 1000 / e.Slowness
		if span >= left-epsilon {
			e.finishPrefill(j)
			events = append(events, Event{Job: j})
		}
	}
	e.now = now
	for len(e.decoding) > 0 && e.decoding[0].endsAt <= e.generated+epsilon {
		events = append(events, Event{Job: e.decoding[0], Ended: true})
		e.decoding = e.decoding[1:]
	}
	e.admit()
	return events
}

func (e *Engine) finishPrefill(j *Job) {
	e.prefilling = e.prefilling[1:]
	j.endsAt = e.generated + float64(j.OutputTokens-1)
	index, _ := slices.BinarySearchFunc(e.decoding, j.endsAt, func(o *Job, end float64) int { return cmp.Compare(o.endsAt, end) })
	e.decoding = slices.Insert(e.decoding, index, j)
	e.cache.add(j.Blocks, e.CacheBlocks)
}

// admit moves waiting jobs into the batch while there are slots and memory. An
// empty batch admits a job of any size.
func (e *Engine) admit() {
	used := 0
	for _, j := range slices.Concat(e.prefilling, e.decoding) {
		used += j.PromptTokens + j.OutputTokens
	}
	for running, waiting := e.Load(); waiting > 0 && running < e.Slots; running, waiting = e.Load() {
		used += e.waiting[0].PromptTokens + e.waiting[0].OutputTokens
		if running > 0 && used > e.MemoryTokens {
			return
		}
		e.prefilling = append(e.prefilling, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

func (e *Engine) remainingPrefillMS() float64 {
	j := e.prefilling[0]
	if !j.prefillStarted {
		j.prefillStarted = true
		j.CachedTokens = min(e.cache.prefixHits(j.Blocks)*hasher.BlockTokens, j.PromptTokens-1)
	}
	return max(float64(j.PromptTokens-j.CachedTokens)-j.PrefilledTokens, 0) / e.PrefillPerSecond * 1000 * e.Slowness
}

func (e *Engine) tokenGapMS() float64 {
	gap := (e.GapMS + e.GapRequestMS*float64(len(e.decoding)-1)) * e.Slowness
	if len(e.prefilling) > 0 {
		gap *= prefillSlowdown
	}
	return gap
}

// cache is a least-recently-used cache of prompt blocks. stored and removed hold
// the changes since the last call of Engine.CacheChanges.
type cache struct {
	order           list.List
	blocks          map[uint64]*list.Element
	stored, removed []uint64
}

// prefixHits returns the number of leading blocks that are cached.
func (c *cache) prefixHits(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

func (c *cache) add(blocks []uint64, capacity int) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	for _, b := range blocks {
		if c.blocks[b] == nil {
			c.blocks[b] = c.order.PushFront(b)
			c.stored = append(c.stored, b)
		}
		c.order.MoveToFront(c.blocks[b])
	}
	for c.order.Len() > capacity {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, oldest)
		c.removed = append(c.removed, oldest)
	}
}
