package configurer

import (
	"slices"
	"sync"

	"yuccaspread/common/inventory"
)

// changeLog keeps the newest consecutive changes, at most maxRecentChanges. It is
// safe for concurrent use; the zero value is empty.
type changeLog struct {
	mu sync.Mutex
	// changes are in order; the base of each is the revision of the previous one.
	changes []inventory.Delta
}

// add appends the change. Nil stands for changes that are not known and clears
// the log.
func (l *changeLog) add(delta *inventory.Delta) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delta == nil {
		l.changes = nil
		return
	}
	kept := *delta
	kept.Replaced = nil
	if len(l.changes) == maxRecentChanges {
		l.changes = l.changes[1:]
	}
	l.changes = append(l.changes, kept)
}

// items returns a copy of the changes, oldest first.
func (l *changeLog) items() []inventory.Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.changes)
}
