package runner

import "container/heap"

// event is a function that is called at a time.
type event struct {
	at       float64
	sequence uint64
	handle   func()
}

// eventQueue holds events in order of time, and events of the same time in the
// order in which they were scheduled.
type eventQueue struct {
	pending  []event
	sequence uint64
}

func (q *eventQueue) schedule(at float64, handle func()) {
	q.sequence++
	heap.Push(q, event{at, q.sequence, handle})
}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.pending) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	if q.pending[i].at != q.pending[j].at {
		return q.pending[i].at < q.pending[j].at
	}
	return q.pending[i].sequence < q.pending[j].sequence
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.pending[i], q.pending[j] = q.pending[j], q.pending[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.pending = append(q.pending, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.pending) - 1
	e := q.pending[last]
	q.pending[last] = event{}
	q.pending = q.pending[:last]
	return e
}
