package runner

import "container/heap"

// event is something that happens at a time.
type event struct {
	at     float64
	number uint64
	do     func()
}

// agenda holds events in the order of their times, those of one time in the
// order in which they were added.
type agenda struct {
	events []event
	number uint64
}

func (a *agenda) add(at float64, do func()) {
	a.number++
	heap.Push(a, event{at, a.number, do})
}

// Len implements heap.Interface.
func (a *agenda) Len() int { return len(a.events) }

// Less implements heap.Interface.
func (a *agenda) Less(i, j int) bool {
	if a.events[i].at != a.events[j].at {
		return a.events[i].at < a.events[j].at
	}
	return a.events[i].number < a.events[j].number
}

// Swap implements heap.Interface.
func (a *agenda) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { a.events = append(a.events, x.(event)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(a.events) - 1
	e := a.events[last]
	a.events[last] = event{}
	a.events = a.events[:last]
	return e
}
