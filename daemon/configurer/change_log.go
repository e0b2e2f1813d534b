package configurer

import (
	"slices"
	"sync"

	"yuccaspread/common/inventory"
)

// changeLog keeps the newest changes without gaps. The zero value is empty.
type changeLog struct {
	mu sync.Mutex
	// changes are in order; the base of each is the revision of the one before.
	changes []inventory.Delta
}

// add appends the change. Nil stands for changes that are not known, after
// which the log starts anew.
func (l *changeLog) add(delta *inventory.Delta) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delta == nil {
		l.changes = nil
		return
	}
	kept := *delta
	kept.Replaced = nil
	if len(l.changes) == recentChanges {
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
