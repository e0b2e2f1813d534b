// Package ring holds the bounded queues that join the goroutines of a
// process. A full ring pushes back on its producer instead of growing.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in, first-out queue for any number of producers
// and consumers. Create it with New.
type Ring[T any] struct {
	items chan T
}

// New returns an empty ring that holds at most size items; size is raised to
// 1 where it is smaller.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(size, 1))}
}

// TryPush appends item and reports false when the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Push appends item and waits while the ring is full. It returns the
// context's error when ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest item and waits while the ring is empty. It returns
// the context's error when ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (item T, err error) {
	select {
	case item = <-r.items:
		return item, nil
	case <-ctx.Done():
		return item, ctx.Err()
	}
}

// Items returns the receiving side, for use in a select statement.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Window keeps the newest items and forgets the oldest. It is safe for
// concurrent use. Create it with NewWindow.
type Window[T any] struct {
	mu    sync.Mutex
	items []T
	// next is the place of the item to be overwritten, 0 <= next < cap.
	next int
	size int
}

// NewWindow returns an empty window over the newest size items; size is
// raised to 1 where it is smaller.
func NewWindow[T any](size int) *Window[T] {
	return &Window[T]{size: max(size, 1)}
}

// Add appends item and drops the oldest one when the window is full.
func (w *Window[T]) Add(item T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.items) < w.size {
		w.items = append(w.items, item)
		return
	}
	w.items[w.next] = item
	w.next = (w.next + 1) % w.size
}

// Items returns a copy of the items, oldest first.
func (w *Window[T]) Items() []T {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]T, 0, len(w.items))
	out = append(out, w.items[w.next:]...)
	return append(out, w.items[:w.next]...)
}
