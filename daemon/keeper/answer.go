// Package keeper holds the answers of running requests, and for a while those
// of finished ones, so that repeats of a key join what runs and callers that
// reconnect get the whole answer. Its memory is bounded.
package keeper

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

// ErrForgotten means that the start of the answer is no longer kept.
var ErrForgotten = errors.New("the answer is too large to be read again")

// window bounds the bytes that wait for the slowest reader of an answer that
// is not kept.
const window = 256 << 10

// Head is the start of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Answer is what came of a request so far. One goroutine writes it, any number
// reads. Create it with newAnswer.
type Answer struct {
	// limit bounds the bytes that are kept from the start on; 0 keeps none.
	limit int

	mu sync.Mutex
	// changed is closed and replaced at every change.
	changed chan struct{}
	head    *Head
	// data holds the bytes from the offset base on.
	data []byte
	base int
	// readers are those that have not read to the end.
	readers map[*Reader]struct{}
	ended   bool
	// err is why the answer is not whole; nil at the end of a whole one.
	err error
}

func newAnswer(limit int) *Answer {
	return &Answer{limit: limit, changed: make(chan struct{}), readers: map[*Reader]struct{}{}}
}

// notify wakes all who wait; a.mu is held.
func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Begin writes the head. It must come before any Append.
func (a *Answer) Begin(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &head
	a.notify()
}

// Begun tells whether the head was written.
func (a *Answer) Begun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head != nil
}

// Append adds a piece. It waits while a reader of a large answer is slow.
func (a *Answer) Append(ctx context.Context, piece []byte) (err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.full() {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
			err = nil
		case <-ctx.Done():
			err = ctx.Err()
		}
		a.mu.Lock()
		if err != nil {
			return err
		}
	}
	a.data = append(a.data, piece...)
	a.notify()
	return nil
}

// full trims what no reader needs and tells whether the window is full;
// a.mu is held.
func (a *Answer) full() bool {
	size := a.base + len(a.data)
	if size <= a.limit {
		return false
	}
	lowest := size
	for r := range a.readers {
		lowest = min(lowest, r.offset)
	}
	if lowest > a.base {
		a.data = append([]byte(nil), a.data[lowest-a.base:]...)
		a.base = lowest
	}
	return len(a.data) >= max(window, a.limit)
}

// Finish ends the answer; err tells why it is not whole.
func (a *Answer) Finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.err = err
	a.notify()
}

// Content returns the head and all bytes so far; kept is false where the
// answer is too large to be kept from its start on.
func (a *Answer) Content() (head Head, body []byte, kept bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.base > 0 || a.head == nil || len(a.data) > a.limit {
		return head, nil, false
	}
	return *a.head, a.data, true
}

// whole tells whether the answer ended whole and is kept from its start on.
func (a *Answer) whole() bool {
	_, _, kept := a.Content()
	a.mu.Lock()
	defer a.mu.Unlock()
	return kept && a.ended && a.err == nil
}

// size returns the bytes in memory.
func (a *Answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cap(a.data)
}

// Read returns a reader from the start on.
func (a *Answer) Read() (reader *Reader, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.base > 0 {
		return nil, ErrForgotten
	}
	reader = &Reader{answer: a}
	a.readers[reader] = struct{}{}
	return reader, nil
}

// Reader reads an answer at its own speed. Close it.
type Reader struct {
	answer *Answer
	// offset is the place of the next byte; answer.mu guards it.
	offset int
}

// Close lets the answer go on without this reader.
func (r *Reader) Close() {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	delete(r.answer.readers, r)
	r.answer.notify()
}

// Head waits for the head. The error is the one that the answer ended with.
func (r *Reader) Head(ctx context.Context) (head Head, err error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.head == nil && !a.ended {
		if err = a.wait(ctx); err != nil {
			return head, err
		}
	}
	if a.head == nil {
		if a.err == nil {
			return head, io.ErrUnexpectedEOF
		}
		return head, a.err
	}
	return *a.head, nil
}

// Next waits for the next bytes. It returns io.EOF at the end of a whole
// answer and the answer's error at the end of another.
func (r *Reader) Next(ctx context.Context) (piece []byte, err error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	for r.offset == a.base+len(a.data) {
		if a.ended {
			if a.err != nil {
				return nil, a.err
			}
			return nil, io.EOF
		}
		if err = a.wait(ctx); err != nil {
			return nil, err
		}
	}
	piece = a.data[r.offset-a.base:]
	r.offset += len(piece)
	if r.offset > a.limit {
		a.notify()
	}
	return piece[:len(piece):len(piece)], nil
}

// wait waits for a change; a.mu is held before and after.
func (a *Answer) wait(ctx context.Context) (err error) {
	changed := a.changed
	a.mu.Unlock()
	defer a.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
