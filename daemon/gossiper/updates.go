package gossiper

import (
	"cmp"
	"slices"
)

// updateQueue holds the peers whose last change is still to be sent, by name.
type updateQueue map[string]queuedUpdate

type queuedUpdate struct {
	// sent is the number of packets that have carried the update.
	sent int
	// lowPriority marks changes of nothing but load and revision, which are sent after
	// all others.
	lowPriority bool
}

// enqueue queues the peer and starts its count of packets anew. A change of low
// priority does not lower the priority of a peer that is already queued.
func (q updateQueue) enqueue(name string, lowPriority bool) {
	old, found := q[name]
	if found && !old.lowPriority {
		lowPriority = false
	}
	q[name] = queuedUpdate{lowPriority: lowPriority}
}

// take returns at most count names, those of low priority last and otherwise
// the least sent first, and removes those that have now been sent limit times.
func (q updateQueue) take(count, limit int) []string {
	names := make([]string, 0, len(q))
	for name := range q {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := q[a], q[b]
		if x.lowPriority != y.lowPriority {
			if x.lowPriority {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(a, b))
	})
	names = names[:min(count, len(names))]
	for _, name := range names {
		update := q[name]
		update.sent++
		q[name] = update
		if update.sent >= limit {
			delete(q, name)
		}
	}
	return names
}
