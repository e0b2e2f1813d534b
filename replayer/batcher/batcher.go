// Package batcher is a small model of an engine on a virtual clock: it
// batches continuously, reads prompts one after the other, caches prefixes in
// bounded memory, takes what comes in that order and knows no tiers.
package batcher

import (
	"cmp"
	"container/list"
	"math"
	"slices"

	"yuccaspread/common/hasher"
	"yuccaspread/replayer/parser"
)

// readingSlowdown is how much reading stretches the time between tokens.
const readingSlowdown = 1.2

// Job is one attempt of a request on an engine.
type Job struct {
	// Prompt and Output are in tokens, Output above 0.
	Prompt, Output int
	Blocks         []uint64
	// Cached is set when the engine begins to read the prompt.
	Cached int
	// Read is the number of prompt tokens that were worked on.
	Read float64

	begun  bool
	endsAt float64 // in tokens that the batch has generated
}

// Event is what an engine did.
type Event struct {
	Job *Job
	// Ended is false for the first token.
	Ended bool
}

// Engine is one engine. Its exported fields are set before use. Times are in
// milliseconds and never go back.
type Engine struct {
	parser.Upstream
	// Slowness multiplies all times; above 0.
	Slowness float64

	now     float64
	waiting []*Job
	reading []*Job
	writing []*Job
	// generated counts the tokens that each request of the batch got.
	generated float64
	cache     cache
}

// Submit hands a job over.
func (e *Engine) Submit(j *Job) {
	e.waiting = append(e.waiting, j)
	e.admit()
}

// Cancel ends a job early; one that is not here is ignored.
func (e *Engine) Cancel(j *Job) {
	is := func(o *Job) bool { return o == j }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.reading = slices.DeleteFunc(e.reading, is)
	e.writing = slices.DeleteFunc(e.writing, is)
	e.admit()
}

// Load returns the jobs in the batch and those that found no room in it.
func (e *Engine) Load() (running, waiting int) {
	return len(e.reading) + len(e.writing), len(e.waiting)
}

// Drop empties the engine and returns what ran or waited there.
func (e *Engine) Drop() []*Job {
	all := slices.Concat(e.waiting, e.reading, e.writing)
	e.waiting, e.reading, e.writing, e.cache = nil, nil, nil, cache{}
	return all
}

// CacheChanges returns the blocks stored and removed since the last call.
func (e *Engine) CacheChanges() (stored, removed []uint64) {
	defer func() { e.cache.stored, e.cache.removed = nil, nil }()
	return e.cache.stored, e.cache.removed
}

// Next returns when the next event comes, infinity for never.
func (e *Engine) Next() float64 {
	next := math.Inf(1)
	if len(e.reading) > 0 {
		next = e.now + e.readingLeft()
	}
	if len(e.writing) > 0 {
		next = min(next, e.now+(e.writing[0].endsAt-e.generated)*e.gap())
	}
	return next
}

// Advance moves to a time not after Next and returns what happened there.
func (e *Engine) Advance(now float64) (events []Event) {
	const tiny = 1e-6
	span := now - e.now
	if len(e.writing) > 0 {
		e.generated += span / e.gap()
	}
	if len(e.reading) > 0 {
		j := e.reading[0]
		left := e.readingLeft()
		j.Read += span * e.PrefillPerSecond / 1000 / e.Slowness
		if span >= left-tiny {
			e.finishReading(j)
			events = append(events, Event{Job: j})
		}
	}
	e.now = now
	for len(e.writing) > 0 && e.writing[0].endsAt <= e.generated+tiny {
		events = append(events, Event{Job: e.writing[0], Ended: true})
		e.writing = e.writing[1:]
	}
	e.admit()
	return events
}

func (e *Engine) finishReading(j *Job) {
	e.reading = e.reading[1:]
	j.endsAt = e.generated + float64(j.Output-1)
	at, _ := slices.BinarySearchFunc(e.writing, j.endsAt, func(o *Job, end float64) int { return cmp.Compare(o.endsAt, end) })
	e.writing = slices.Insert(e.writing, at, j)
	e.cache.add(j.Blocks, e.CacheBlocks)
}

// admit lets waiting jobs in as long as there are slots and memory.
func (e *Engine) admit() {
	used := 0
	for _, j := range slices.Concat(e.reading, e.writing) {
		used += j.Prompt + j.Output
	}
	for running, waiting := e.Load(); waiting > 0 && running < e.Slots; running, waiting = e.Load() {
		used += e.waiting[0].Prompt + e.waiting[0].Output
		if running > 0 && used > e.MemoryTokens {
			return
		}
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

func (e *Engine) readingLeft() float64 {
	j := e.reading[0]
	if !j.begun {
		j.begun = true
		j.Cached = min(e.cache.hits(j.Blocks)*hasher.BlockTokens, j.Prompt-1)
	}
	return max(float64(j.Prompt-j.Cached)-j.Read, 0) / e.PrefillPerSecond * 1000 * e.Slowness
}

func (e *Engine) gap() float64 {
	gap := (e.GapMS + e.GapRequestMS*float64(len(e.writing)-1)) * e.Slowness
	if len(e.reading) > 0 {
		gap *= readingSlowdown
	}
	return gap
}

// cache keeps the blocks that were used last.
type cache struct {
	order           list.List
	blocks          map[uint64]*list.Element
	stored, removed []uint64
}

func (c *cache) hits(blocks []uint64) int {
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
