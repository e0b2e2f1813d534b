package keeper

import (
	"container/list"
	"sync"
	"sync/atomic"

	"yuccaspread/common/clock"
)

// Key names a request across its repeats.
type Key struct {
	Organisation string
	Key          string
}

// Bounds of the kept answers where Keeper names none.
const (
	DefaultTotalBytes = 48 << 20
	DefaultAge        = 10 * clock.Minute
	// entryBytes is what an answer takes besides its body.
	entryBytes = 1 << 10
)

// Keeper knows the running requests of this daemon and the answers of those
// that ended lately. Its exported fields are set before use.
type Keeper struct {
	Clock clock.Clock
	// TotalBytes bounds the memory of finished answers; 0 stands for
	// DefaultTotalBytes.
	TotalBytes int
	// Age bounds how long they are kept; 0 stands for DefaultAge.
	Age clock.Millis

	mu      sync.Mutex
	entries map[Key]*Entry
	// finished orders the kept answers, the oldest first.
	finished *list.List
	// bytes is the memory of the finished answers.
	bytes int
}

// Entry is one request with a key.
type Entry struct {
	Key         Key
	Fingerprint uint64
	Answer      *Answer
	// Sent tells that a byte of the request may have gone to an upstream.
	Sent atomic.Bool

	// ended and bytes are set when the answer is finished.
	ended clock.Millis
	bytes int
	place *list.Element
}

// Begin returns the entry of the key. first tells that there was none, so
// that the caller has to run the request and to call End. limit bounds the
// bytes of the answer that are kept.
func (k *Keeper) Begin(key Key, fingerprint uint64, limit int) (entry *Entry, first bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evict()
	if entry = k.entries[key]; entry != nil {
		return entry, false
	}
	if k.entries == nil {
		k.entries = map[Key]*Entry{}
	}
	entry = &Entry{Key: key, Fingerprint: fingerprint, Answer: newAnswer(limit)}
	k.entries[key] = entry
	return entry, true
}

// Lone returns an entry for a request without a key; nobody can join it.
func (k *Keeper) Lone() *Entry {
	return &Entry{Answer: newAnswer(0)}
}

// Find returns the entry of the key, if this daemon has one.
func (k *Keeper) Find(key Key) (entry *Entry, found bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	entry, found = k.entries[key]
	return entry, found
}

// End finishes the answer with err. A whole one is kept, any other is
// forgotten, so that a repeat finds out anew.
func (k *Keeper) End(entry *Entry, err error) {
	entry.Answer.Finish(err)
	whole := entry.Answer.whole()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries[entry.Key] != entry {
		return
	}
	if !whole {
		delete(k.entries, entry.Key)
		return
	}
	if k.finished == nil {
		k.finished = list.New()
	}
	entry.ended = k.Clock.Now()
	entry.bytes = entry.Answer.size() + entryBytes
	entry.place = k.finished.PushBack(entry)
	k.bytes += entry.bytes
	k.evict()
}

// evict drops what is too old or too much; k.mu is held.
func (k *Keeper) evict() {
	if k.finished == nil {
		return
	}
	total, age := k.TotalBytes, k.Age
	if total <= 0 {
		total = DefaultTotalBytes
	}
	if age <= 0 {
		age = DefaultAge
	}
	now := k.Clock.Now()
	for k.finished.Len() > 0 {
		oldest := k.finished.Front().Value.(*Entry)
		if k.bytes <= total && now-oldest.ended <= age {
			return
		}
		k.finished.Remove(oldest.place)
		k.bytes -= oldest.bytes
		delete(k.entries, oldest.Key)
	}
}
