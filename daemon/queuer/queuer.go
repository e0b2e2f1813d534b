// Package queuer keeps the requests that wait at one scheduler in the order
// in which they shall be served: strictly by tier, weighted fair between the
// organisations of a tier, and by the earliest deadline inside an
// organisation. Every operation is logarithmic in what waits.
package queuer

import "yuccaspread/common/clock"

// maxTiers bounds the ranks; lower ranks are served like the last one.
const maxTiers = 64

// Entry is one waiting request. The exported fields do not change while the
// entry is in a queue.
type Entry[T any] struct {
	// Tier is the rank, 0 for the most important one.
	Tier         int
	Organisation string
	// Deadline is when the whole answer is due.
	Deadline clock.Millis
	// LatestStart is when serving it has to begin to meet the deadline.
	LatestStart clock.Millis
	// Cost is the expected use of a slot, above 0, in any unit that all
	// entries share.
	Cost  float64
	Value T

	// number is the order of arrival.
	number uint64
	// Places in the heaps, -1 outside.
	inOrganisation, inLatest, inStart int
	skipped                           bool
}

// organisation is the part of a tier that belongs to one organisation.
type organisation[T any] struct {
	name string
	// tag is the virtual time at which its next entry starts.
	tag     float64
	entries heap[*Entry[T]]
	inTier  int
}

type tier[T any] struct {
	// virtual is the tag of the entry that was taken last.
	virtual float64
	// known holds each organisation of the present busy period.
	known map[string]*organisation[T]
	// active holds those with entries that are not skipped.
	active heap[*organisation[T]]
	latest heap[*Entry[T]]
	start  heap[*Entry[T]]
}

// Queue holds waiting requests. The zero value is empty and unbounded. It is
// not safe for concurrent use.
type Queue[T any] struct {
	// Size bounds the entries; 0 means no bound.
	Size int
	// Weights are the shares of organisations; no entry means 1.
	Weights map[string]int

	tiers   []*tier[T]
	length  int
	number  uint64
	skipped []*Entry[T]
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of entries of a tier.
func (q *Queue[T]) Waiting(rank int) int {
	if rank < 0 || rank >= len(q.tiers) {
		return 0
	}
	return len(q.tiers[rank].latest.items)
}

// Tiers returns one more than the highest rank that was ever pushed.
func (q *Queue[T]) Tiers() int { return len(q.tiers) }

// Push adds e. When the queue is full it returns the entry that has to go for
// it: the one with the latest deadline in the lowest tier, which may be e.
func (q *Queue[T]) Push(e *Entry[T]) (evicted *Entry[T]) {
	e.Tier = min(max(e.Tier, 0), maxTiers-1)
	e.number = q.number
	q.number++
	e.inOrganisation, e.inLatest, e.inStart = -1, -1, -1
	for len(q.tiers) <= e.Tier {
		q.tiers = append(q.tiers, newTier[T]())
	}
	t := q.tiers[e.Tier]
	t.latest.push(e)
	t.start.push(e)
	if o := q.activate(t, e); len(o.entries.items) == 1 {
		o.tag = max(o.tag, t.virtual)
		t.active.fix(o)
	}
	q.length++
	if q.Size <= 0 || q.length <= q.Size {
		return nil
	}
	evicted = q.worst()
	q.Remove(evicted)
	return evicted
}

// Head returns the entry to be served next among those that are not skipped.
func (q *Queue[T]) Head() (e *Entry[T], found bool) {
	for _, t := range q.tiers {
		if o, some := t.active.top(); some {
			return o.entries.top()
		}
	}
	return nil, false
}

// Skip passes over an entry until Restore.
func (q *Queue[T]) Skip(e *Entry[T]) {
	q.deactivate(q.tiers[e.Tier], e)
	e.skipped = true
	q.skipped = append(q.skipped, e)
}

// Restore ends all skipping.
func (q *Queue[T]) Restore() {
	for _, e := range q.skipped {
		if e.skipped {
			q.activate(q.tiers[e.Tier], e)
		}
	}
	clear(q.skipped)
	q.skipped = q.skipped[:0]
}

// Take removes an entry because it is served, and charges its organisation.
func (q *Queue[T]) Take(e *Entry[T]) {
	t := q.tiers[e.Tier]
	o := t.known[e.Organisation]
	t.virtual = max(t.virtual, o.tag)
	o.tag += e.Cost / float64(max(q.Weights[e.Organisation], 1))
	if o.inTier >= 0 {
		t.active.fix(o)
	}
	q.Remove(e)
}

// Remove removes an entry that is not served. An entry that is not in the
// queue is ignored.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.inLatest < 0 {
		return
	}
	t := q.tiers[e.Tier]
	q.deactivate(t, e)
	e.skipped = false
	t.latest.remove(e)
	t.start.remove(e)
	q.length--
	if len(t.latest.items) == 0 {
		t.virtual = 0
		clear(t.known)
	}
}

// Overdue returns an entry whose latest start is before now, the lowest tier
// first.
func (q *Queue[T]) Overdue(now clock.Millis) (e *Entry[T], found bool) {
	for rank := len(q.tiers) - 1; rank >= 0; rank-- {
		e, found = q.tiers[rank].start.top()
		if found && e.LatestStart < now {
			return e, true
		}
	}
	return nil, false
}

// worst returns the entry that is evicted first; the queue is not empty.
func (q *Queue[T]) worst() *Entry[T] {
	for rank := len(q.tiers) - 1; rank >= 0; rank-- {
		if e, found := q.tiers[rank].latest.top(); found {
			return e
		}
	}
	return nil
}

func (q *Queue[T]) activate(t *tier[T], e *Entry[T]) *organisation[T] {
	e.skipped = false
	o := t.known[e.Organisation]
	if o == nil {
		o = newOrganisation[T](e.Organisation)
		t.known[e.Organisation] = o
	}
	o.entries.push(e)
	if o.inTier < 0 {
		t.active.push(o)
	}
	return o
}

func (q *Queue[T]) deactivate(t *tier[T], e *Entry[T]) {
	if e.inOrganisation < 0 {
		return
	}
	o := t.known[e.Organisation]
	o.entries.remove(e)
	if len(o.entries.items) == 0 {
		t.active.remove(o)
	}
}

func newTier[T any]() *tier[T] {
	t := &tier[T]{known: map[string]*organisation[T]{}}
	t.active.less = func(a, b *organisation[T]) bool {
		if a.tag != b.tag {
			return a.tag < b.tag
		}
		return a.name < b.name
	}
	t.active.place = func(o *organisation[T]) *int { return &o.inTier }
	t.latest.less = func(a, b *Entry[T]) bool {
		if a.Deadline != b.Deadline {
			return a.Deadline > b.Deadline
		}
		return a.number > b.number
	}
	t.latest.place = func(e *Entry[T]) *int { return &e.inLatest }
	t.start.less = func(a, b *Entry[T]) bool {
		if a.LatestStart != b.LatestStart {
			return a.LatestStart < b.LatestStart
		}
		return a.number < b.number
	}
	t.start.place = func(e *Entry[T]) *int { return &e.inStart }
	return t
}

func newOrganisation[T any](name string) *organisation[T] {
	o := &organisation[T]{name: name, inTier: -1}
	o.entries.less = func(a, b *Entry[T]) bool {
		if a.Deadline != b.Deadline {
			return a.Deadline < b.Deadline
		}
		return a.number < b.number
	}
	o.entries.place = func(e *Entry[T]) *int { return &e.inOrganisation }
	return o
}
