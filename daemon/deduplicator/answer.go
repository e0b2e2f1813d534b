// Package deduplicator buffers the answers of running requests, and for a limited time
// those of finished ones. A request with the key of a running one joins it
// instead of running again, and a caller that reconnects gets the whole answer.
// The memory of finished answers is bounded.
package deduplicator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

// ErrNotBuffered means that the start of the answer is no longer buffered.
var ErrNotBuffered = errors.New("answer exceeds the kept size: its start is no longer buffered")

// maxUnreadBytes is the minimum of the bound on the bytes buffered for the
// slowest reader of an answer that exceeds its keepLimit; a larger keepLimit
// is the bound instead.
const maxUnreadBytes = 256 << 10

// Head is the status and header of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Answer is the part of an answer received so far. One goroutine writes it and
// any number of goroutines read it. It must be created by newAnswer.
type Answer struct {
	// keepLimit is the largest size in bytes at which the whole answer stays
	// buffered; 0 means that bytes are not kept once all readers have read them.
	keepLimit int

	mu sync.Mutex
	// changed is closed and replaced at every change.
	changed chan struct{}
	head    *Head
	// data holds the body from the offset dataOffset on.
	data       []byte
	dataOffset int
	// readers are the readers that have not been closed.
	readers map[*Reader]struct{}
	ended   bool
	// err is set if the answer ended incomplete.
	err error
}

func newAnswer(keepLimit int) *Answer {
	return &Answer{keepLimit: keepLimit, changed: make(chan struct{}), readers: map[*Reader]struct{}{}}
}

// notify wakes all waiting goroutines. It is called with a.mu held.
func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetHead sets the head. It must be called before Append.
func (a *Answer) SetHead(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &head
	a.notify()
}

// HasHead reports whether the head was set.
func (a *Answer) HasHead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head != nil
}

// Append adds a piece of the body. If the answer exceeds its keepLimit, Append
// blocks while the slowest reader is too far behind. It returns the error of
// ctx if that ends first.
func (a *Answer) Append(ctx context.Context, piece []byte) (err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.isFull() {
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

// isFull reports whether an append must wait for the slowest reader. For an
// answer that exceeds its keepLimit it first drops the bytes that all readers
// have read. It is called with a.mu held.
func (a *Answer) isFull() bool {
	size := a.dataOffset + len(a.data)
	if size <= a.keepLimit {
		return false
	}
	lowestOffset := size
	for r := range a.readers {
		lowestOffset = min(lowestOffset, r.offset)
	}
	if lowestOffset > a.dataOffset {
		a.data = append([]byte(nil), a.data[lowestOffset-a.dataOffset:]...)
		a.dataOffset = lowestOffset
	}
	return len(a.data) >= max(maxUnreadBytes, a.keepLimit)
}

// Finish ends the answer; err is nil for a whole answer. Only the first call has
// an effect.
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

// Content returns the head and the body received so far. kept is false if there
// is no head yet or if the answer exceeds its keepLimit.
func (a *Answer) Content() (head Head, body []byte, kept bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dataOffset > 0 || a.head == nil || len(a.data) > a.keepLimit {
		return head, nil, false
	}
	return *a.head, a.data, true
}

// isReplayable reports whether the answer is whole and buffered from its start.
func (a *Answer) isReplayable() bool {
	_, _, kept := a.Content()
	a.mu.Lock()
	defer a.mu.Unlock()
	return kept && a.ended && a.err == nil
}

// memoryBytes returns the size of the body's buffer.
func (a *Answer) memoryBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cap(a.data)
}

// Read returns a reader that begins at the start of the answer. It returns
// ErrNotBuffered if the start was dropped. The caller closes the reader.
func (a *Answer) Read() (reader *Reader, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dataOffset > 0 {
		return nil, ErrNotBuffered
	}
	reader = &Reader{answer: a}
	a.readers[reader] = struct{}{}
	return reader, nil
}

// Reader reads an answer at its own speed. It must be closed, because an unread
// Reader blocks the writer of a large answer.
type Reader struct {
	answer *Answer
	// offset is the offset of the next byte in the body. answer.mu guards it.
	offset int
}

// Close removes the reader, so that the writer no longer waits for it.
func (r *Reader) Close() {
	r.answer.mu.Lock()
	defer r.answer.mu.Unlock()
	delete(r.answer.readers, r)
	r.answer.notify()
}

// Head waits for the head and returns it. If the answer ends without a head, it
// returns the error of Finish, or io.ErrUnexpectedEOF if that was nil.
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

// Next waits for the next bytes of the body and returns them. It returns io.EOF
// at the end of a whole answer and the error of Finish at the end of an
// incomplete one.
func (r *Reader) Next(ctx context.Context) (piece []byte, err error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	for r.offset == a.dataOffset+len(a.data) {
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
	piece = a.data[r.offset-a.dataOffset:]
	r.offset += len(piece)
	if r.offset > a.keepLimit {
		a.notify()
	}
	return piece[:len(piece):len(piece)], nil
}

// wait waits for the next change of the answer. It is called with a.mu held,
// releases it while waiting and returns with it held.
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
