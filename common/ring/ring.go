// Package ring provides bounded queues between the goroutines of a process, and
// a buffer of the newest items. A full queue makes its producer wait or drop
// items instead of growing.
package ring

import (
	"context"
	"sync"
)

// Queue is a bounded first-in, first-out queue for any number of producers
// and consumers. Create it with NewQueue.
type Queue[T any] struct {
	items chan T
}

// NewQueue returns an empty queue that holds at most size items; a size below 1 counts
// as 1.
func NewQueue[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, max(size, 1))}
}

// TryPush appends item. It returns false, without waiting, if the queue is full.
func (q *Queue[T]) TryPush(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Push appends item and waits while the queue is full. It returns the error of ctx
// if ctx ends first.
func (q *Queue[T]) Push(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest item and waits while the queue is empty. It returns the
// error of ctx if ctx ends first.
func (q *Queue[T]) Pop(ctx context.Context) (item T, err error) {
	select {
	case item = <-q.items:
		return item, nil
	case <-ctx.Done():
		return item, ctx.Err()
	}
}

// Items returns the channel from which items can be received, for use in a select
// statement.
func (q *Queue[T]) Items() <-chan T {
	return q.items
}

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Window is a circular buffer that keeps the newest items and drops the oldest.
// It is safe for concurrent use. Create it with NewWindow.
type Window[T any] struct {
	// mu guards items and oldest.
	mu    sync.Mutex
	items []T
	// oldest is the index of the oldest item, which is overwritten next once the
	// window is full; 0 <= oldest < size.
	oldest int
	// size is the maximum number of items, at least 1.
	size int
}

// NewWindow returns an empty window that keeps the newest size items; a size
// below 1 counts as 1.
func NewWindow[T any](size int) *Window[T] {
	return &Window[T]{size: max(size, 1)}
}

// Add appends item and drops the oldest one if the window is full.
func (w *Window[T]) Add(item T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.items) < w.size {
		w.items = append(w.items, item)
		return
	}
	w.items[w.oldest] = item
	w.oldest = (w.oldest + 1) % w.size
}

// Items returns a copy of the items, oldest first.
func (w *Window[T]) Items() []T {
	w.mu.Lock()
	defer w.mu.Unlock()
	items := make([]T, 0, len(w.items))
	items = append(items, w.items[w.oldest:]...)
	return append(items, w.items[:w.oldest]...)
}
