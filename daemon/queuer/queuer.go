// Package queuer is the queue of the requests that wait at one scheduler. It
// orders them strictly by tier, by weighted fair queueing between the
// organisations of a tier, and by earliest deadline within an organisation. Each
// operation takes logarithmic time in the number of waiting requests.
package queuer

import (
	"cmp"
	"slices"

	"yuccaspread/common/clock"
)

// Entry is one waiting request. The exported fields do not change while the
// entry is in a queue.
type Entry[T any] struct {
	// Tier is the rank of the tier; lower ones are more important. Ranks need not be dense.
	Tier         int
	Organisation string
	// Deadline is when the whole answer is due.
	Deadline clock.Millis
	// LatestStart is when serving it has to start to meet the deadline.
	LatestStart clock.Millis
	// Cost is the expected use of a slot, above 0, in the same unit for all
	// entries.
	Cost float64
	// Kind groups entries across tiers and organisations for HeadOfKind.
	Kind  string
	Value T

	// sequence is the order of arrival.
	sequence uint64
	// tier holds the entry while it is in a queue.
	tier *tier[T]
	// kindIndex and memberIndex are the indexes in the heaps of byKind and
	// byOrganisation, -1 outside.
	kindIndex, memberIndex int
	// Indexes in the heaps, -1 outside.
	organisationIndex, deadlineIndex, startIndex int
	skipped                                      bool
}

// organisation holds the entries of one organisation in a tier.
type organisation[T any] struct {
	name string
	// virtualStart is the virtual time at which its next entry starts.
	virtualStart float64
	entries      heap[*Entry[T]]
	activeIndex  int
}

// tier holds the entries of one tier.
type tier[T any] struct {
	rank int
	// virtualTime is the greatest virtual start of the entries served since the tier
	// was last empty.
	virtualTime float64
	// organisations holds each organisation with entries since the tier was last
	// empty.
	organisations map[string]*organisation[T]
	// active holds the organisations with entries that are not skipped.
	active heap[*organisation[T]]
	// byDeadline has the latest deadline at the top, byLatestStart the earliest
	// latest start.
	byDeadline    heap[*Entry[T]]
	byLatestStart heap[*Entry[T]]
}

// maxUnusedTiers bounds the empty tiers that are kept for reuse.
const maxUnusedTiers = 16

// Queue holds waiting requests. The zero value is empty and unbounded. It is
// not safe for concurrent use.
type Queue[T any] struct {
	// Capacity is the largest number of entries; 0 means no limit.
	Capacity int
	// Weights are the weights of organisations; no entry means 1.
	Weights map[string]int

	// tiers holds the tiers with entries, sorted by rank; unused keeps empty ones for reuse.
	tiers, unused []*tier[T]
	length        int
	nextSequence  uint64
	skipped       []*Entry[T]
	// byKind and byOrganisation hold all entries of a kind or organisation, those with
	// the earliest latest start at the top.
	byKind, byOrganisation map[string]*heap[*Entry[T]]
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of entries of a tier, skipped ones included.
func (q *Queue[T]) Waiting(rank int) int {
	index, found := q.search(rank)
	if !found {
		return 0
	}
	return len(q.tiers[index].byDeadline.items)
}

// WaitingUpTo returns the number of entries of a tier and of all more important ones.
func (q *Queue[T]) WaitingUpTo(rank int) (count int) {
	for _, t := range q.tiers {
		if t.rank > rank {
			break
		}
		count += len(t.byDeadline.items)
	}
	return count
}

func (q *Queue[T]) search(rank int) (index int, found bool) {
	return slices.BinarySearchFunc(q.tiers, rank, func(t *tier[T], rank int) int { return cmp.Compare(t.rank, rank) })
}

// tierOf returns the tier of a rank, which it adds if need be.
func (q *Queue[T]) tierOf(rank int) (t *tier[T]) {
	index, found := q.search(rank)
	if found {
		return q.tiers[index]
	}
	if last := len(q.unused) - 1; last >= 0 {
		t, q.unused = q.unused[last], q.unused[:last]
	} else {
		t = newTier[T]()
	}
	t.rank = rank
	q.tiers = slices.Insert(q.tiers, index, t)
	return t
}

// Push adds e. If the queue exceeds its capacity, Push removes and returns the
// entry with the latest deadline in the lowest tier, which may be e.
func (q *Queue[T]) Push(e *Entry[T]) (evicted *Entry[T]) {
	e.sequence = q.nextSequence
	q.nextSequence++
	e.organisationIndex, e.deadlineIndex, e.startIndex = -1, -1, -1
	t := q.tierOf(e.Tier)
	e.tier = t
	t.byDeadline.push(e)
	t.byLatestStart.push(e)
	q.addToGroups(e)
	if o := q.activate(t, e); len(o.entries.items) == 1 {
		o.virtualStart = max(o.virtualStart, t.virtualTime)
		t.active.fix(o)
	}
	q.length++
	if q.Capacity <= 0 || q.length <= q.Capacity {
		return nil
	}
	evicted = q.evictionCandidate()
	q.Remove(evicted)
	return evicted
}

// Head returns the next entry to be served among those that are not skipped.
func (q *Queue[T]) Head() (e *Entry[T], found bool) {
	for _, t := range q.tiers {
		if o, active := t.active.top(); active {
			return o.entries.top()
		}
	}
	return nil, false
}

// Skip hides an entry from Head until RestoreSkipped is called.
func (q *Queue[T]) Skip(e *Entry[T]) {
	q.deactivate(e.tier, e)
	e.skipped = true
	q.skipped = append(q.skipped, e)
}

// RestoreSkipped makes all skipped entries visible to Head again.
func (q *Queue[T]) RestoreSkipped() {
	for _, e := range q.skipped {
		if e.skipped {
			q.activate(e.tier, e)
		}
	}
	clear(q.skipped)
	q.skipped = q.skipped[:0]
}

// Serve removes an entry that is served and charges its cost to its organisation.
func (q *Queue[T]) Serve(e *Entry[T]) {
	t := e.tier
	o := t.organisations[e.Organisation]
	t.virtualTime = max(t.virtualTime, o.virtualStart)
	o.virtualStart += e.Cost / float64(max(q.Weights[e.Organisation], 1))
	if o.activeIndex >= 0 {
		t.active.fix(o)
	}
	q.Remove(e)
}

// Remove removes an entry that is not served. An entry that is not in the
// queue is ignored.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.deadlineIndex < 0 {
		return
	}
	t := e.tier
	q.deactivate(t, e)
	e.skipped = false
	t.byDeadline.remove(e)
	t.byLatestStart.remove(e)
	q.removeFromGroups(e)
	q.length--
	if len(t.byDeadline.items) == 0 {
		t.virtualTime = 0
		clear(t.organisations)
		index, _ := q.search(t.rank)
		q.tiers = slices.Delete(q.tiers, index, index+1)
		if len(q.unused) < maxUnusedTiers {
			q.unused = append(q.unused, t)
		}
	}
}

// Overdue returns the entry with the earliest latest start in the lowest tier where
// that start is before now.
func (q *Queue[T]) Overdue(now clock.Millis) (e *Entry[T], found bool) {
	for rank := len(q.tiers) - 1; rank >= 0; rank-- {
		e, found = q.tiers[rank].byLatestStart.top()
		if found && e.LatestStart < now {
			return e, true
		}
	}
	return nil, false
}

// evictionCandidate returns the entry that is evicted first, or nil if the queue is
// empty.
func (q *Queue[T]) evictionCandidate() *Entry[T] {
	for rank := len(q.tiers) - 1; rank >= 0; rank-- {
		if e, found := q.tiers[rank].byDeadline.top(); found {
			return e
		}
	}
	return nil
}

// activate adds an entry to its organisation and makes that visible to Head.
func (q *Queue[T]) activate(t *tier[T], e *Entry[T]) *organisation[T] {
	e.skipped = false
	o := t.organisations[e.Organisation]
	if o == nil {
		o = newOrganisation[T](e.Organisation)
		t.organisations[e.Organisation] = o
	}
	o.entries.push(e)
	if o.activeIndex < 0 {
		t.active.push(o)
	}
	return o
}

// deactivate removes an entry from its organisation; an entry that is skipped
// already is ignored.
func (q *Queue[T]) deactivate(t *tier[T], e *Entry[T]) {
	if e.organisationIndex < 0 {
		return
	}
	o := t.organisations[e.Organisation]
	o.entries.remove(e)
	if len(o.entries.items) == 0 {
		t.active.remove(o)
	}
}

func newTier[T any]() *tier[T] {
	t := &tier[T]{organisations: map[string]*organisation[T]{}}
	t.active.less = func(a, b *organisation[T]) bool {
		if a.virtualStart != b.virtualStart {
			return a.virtualStart < b.virtualStart
		}
		return a.name < b.name
	}
	t.active.index = func(o *organisation[T]) *int { return &o.activeIndex }
	t.byDeadline.less = func(a, b *Entry[T]) bool {
		if a.Deadline != b.Deadline {
			return a.Deadline > b.Deadline
		}
		return a.sequence > b.sequence
	}
	t.byDeadline.index = func(e *Entry[T]) *int { return &e.deadlineIndex }
	t.byLatestStart.less = func(a, b *Entry[T]) bool {
		if a.LatestStart != b.LatestStart {
			return a.LatestStart < b.LatestStart
		}
		return a.sequence < b.sequence
	}
	t.byLatestStart.index = func(e *Entry[T]) *int { return &e.startIndex }
	return t
}

func newOrganisation[T any](name string) *organisation[T] {
	o := &organisation[T]{name: name, activeIndex: -1}
	o.entries.less = func(a, b *Entry[T]) bool {
		if a.Deadline != b.Deadline {
			return a.Deadline < b.Deadline
		}
		return a.sequence < b.sequence
	}
	o.entries.index = func(e *Entry[T]) *int { return &e.organisationIndex }
	return o
}
