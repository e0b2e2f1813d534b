package deduplicator

import (
	"container/list"
	"sync"
	"sync/atomic"

	"yuccaspread/common/clock"
)

// Key identifies a request across its repetitions.
type Key struct {
	Organisation string
	Key          string
}

// Bounds of the finished answers in memory if the fields of Deduplicator are 0.
const (
	DefaultMaxBytes = 48 << 20
	DefaultMaxAge   = 10 * clock.Minute
	// entryOverheadBytes is the memory counted for an answer besides its body.
	entryOverheadBytes = 1 << 10
)

// Deduplicator holds the running requests of this daemon and the answers of recently
// finished ones. Its exported fields are set before use.
type Deduplicator struct {
	Clock clock.Clock
	// MaxBytes is the maximum memory of finished answers; 0 stands for
	// DefaultMaxBytes.
	MaxBytes int
	// MaxAge is the maximum time for which a finished answer is kept; 0 stands
	// for DefaultMaxAge.
	MaxAge clock.Millis

	mu      sync.Mutex
	entries map[Key]*Entry
	// finished lists the finished entries, the oldest first.
	finished *list.List
	// finishedBytes is the memory of the finished answers.
	finishedBytes int
}

// Entry is one request and its answer.
type Entry struct {
	Key         Key
	Fingerprint uint64
	Answer      *Answer
	// Sent is set once a byte of the request may have been sent to an upstream.
	Sent atomic.Bool

	// finishedAt, memoryBytes and element are set when a whole answer is finished.
	finishedAt  clock.Millis
	memoryBytes int
	element     *list.Element
}

// Begin returns the entry of the key. created is set if there was none; the
// caller then has to run the request and to call End. keepLimit is the largest
// size in bytes at which a new entry keeps the whole answer.
func (d *Deduplicator) Begin(key Key, fingerprint uint64, keepLimit int) (entry *Entry, created bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evict()
	if entry = d.entries[key]; entry != nil {
		return entry, false
	}
	if d.entries == nil {
		d.entries = map[Key]*Entry{}
	}
	entry = &Entry{Key: key, Fingerprint: fingerprint, Answer: newAnswer(keepLimit)}
	d.entries[key] = entry
	return entry, true
}

// NewUnkeyedEntry returns an entry for a request without a key. It isn't registered with the
// Deduplicator, so no other request can join it.
func (d *Deduplicator) NewUnkeyedEntry() *Entry {
	return &Entry{Answer: newAnswer(0)}
}

// Find returns the entry of the key, if there is one.
func (d *Deduplicator) Find(key Key) (entry *Entry, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, found = d.entries[key]
	return entry, found
}

// End finishes the answer with err. A whole answer within its keepLimit is kept.
// Any other entry is removed, so that a repeated request looks up the outcome
// again instead of getting an incomplete answer.
func (d *Deduplicator) End(entry *Entry, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A repeat by a caller that sees the end here must not find the entry any more.
	entry.Answer.Finish(err)
	if d.entries[entry.Key] != entry {
		return
	}
	if !entry.Answer.isReplayable() {
		delete(d.entries, entry.Key)
		return
	}
	if d.finished == nil {
		d.finished = list.New()
	}
	entry.finishedAt = d.Clock.Now()
	entry.memoryBytes = entry.Answer.memoryBytes() + entryOverheadBytes
	entry.element = d.finished.PushBack(entry)
	d.finishedBytes += entry.memoryBytes
	d.evict()
}

// evict removes the oldest finished answers until the rest are within the bounds
// of memory and age. It is called with k.mu held.
func (d *Deduplicator) evict() {
	if d.finished == nil {
		return
	}
	maxBytes, maxAge := d.MaxBytes, d.MaxAge
	if maxBytes <= 0 {
		maxBytes = DefaultMaxBytes
	}
	if maxAge <= 0 {
		maxAge = DefaultMaxAge
	}
	now := d.Clock.Now()
	for d.finished.Len() > 0 {
		oldest := d.finished.Front().Value.(*Entry)
		if d.finishedBytes <= maxBytes && now-oldest.finishedAt <= maxAge {
			return
		}
		d.finished.Remove(oldest.element)
		d.finishedBytes -= oldest.memoryBytes
		delete(d.entries, oldest.Key)
	}
}
