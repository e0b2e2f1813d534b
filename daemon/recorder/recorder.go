// Package recorder is the flight recorder of the decision packages: it keeps
// the newest messages that they got, so that what they decided can be replayed
// elsewhere. It is off until it is switched on.
package recorder

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"yuccaspread/common/clock"
	"yuccaspread/common/ring"
)

// Sizes.
const (
	// DefaultSize is the number of messages that are kept.
	DefaultSize = 50_000
	// pinned is how many older messages are kept of a kind that replaces what
	// earlier ones of it said.
	pinned = 8
)

// Record is one recorded message.
type Record struct {
	// Number counts the messages of the recorder.
	Number uint64       `json:"number"`
	AtMS   clock.Millis `json:"at_ms"`
	// Package names the decision package, Shard which of its states.
	Package string          `json:"package"`
	Shard   string          `json:"shard,omitempty"`
	Kind    string          `json:"kind"`
	Message json.RawMessage `json:"message"`
}

type pin struct{ pkg, shard, kind string }

// Recorder keeps records. Its exported fields are set before use. It is safe
// for concurrent use.
type Recorder struct {
	// Size bounds the records; 0 means DefaultSize.
	Size int

	on atomic.Bool

	mu     sync.Mutex
	number uint64
	window *ring.Window[Record]
	pins   map[pin]*ring.Window[Record]
}

// Switch turns recording on or off. What was recorded stays readable until it
// is switched on again.
func (r *Recorder) Switch(on bool) {
	if on && !r.on.Load() {
		r.mu.Lock()
		size := r.Size
		if size <= 0 {
			size = DefaultSize
		}
		r.window = ring.NewWindow[Record](size)
		r.mu.Unlock()
	}
	r.on.Store(on)
}

// On tells whether messages are recorded.
func (r *Recorder) On() bool { return r.on.Load() }

// Add records a message while the recorder is on. Messages of a kind that
// replaces earlier ones are kept even while it is off: a replay needs them.
func (r *Recorder) Add(now clock.Millis, pkg, shard, kind string, replaces bool, message any) {
	if !replaces && !r.on.Load() {
		return
	}
	raw, err := json.Marshal(message)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	record := Record{Number: r.number, AtMS: now, Package: pkg, Shard: shard, Kind: kind, Message: raw}
	if replaces {
		r.pin(record)
	}
	if r.on.Load() && r.window != nil {
		r.window.Add(record)
	}
}

func (r *Recorder) pin(record Record) {
	if r.pins == nil {
		r.pins = map[pin]*ring.Window[Record]{}
	}
	key := pin{record.Package, record.Shard, record.Kind}
	if r.pins[key] == nil {
		r.pins[key] = ring.NewWindow[Record](pinned)
	}
	r.pins[key].Add(record)
}

// Records returns what is kept, oldest first: the newest messages, and before
// them of each replacing kind the last one that was in force at their start.
func (r *Recorder) Records() (records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window == nil {
		return nil
	}
	newest := r.window.Items()
	if len(newest) == 0 {
		return nil
	}
	for _, w := range r.pins {
		var before *Record
		for _, p := range w.Items() {
			if p.Number < newest[0].Number {
				before = &p
			}
		}
		if before != nil {
			records = append(records, *before)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Number, b.Number) })
	return append(records, newest...)
}

// Write writes the records as JSON lines.
func (r *Recorder) Write(w io.Writer) (err error) {
	buffer := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffer)
	for _, record := range r.Records() {
		if err = encoder.Encode(record); err != nil {
			return fmt.Errorf("write flight record: %w", err)
		}
	}
	return buffer.Flush()
}

// Read reads what Write wrote.
func Read(in io.Reader) (records []Record, err error) {
	decoder := json.NewDecoder(bufio.NewReader(in))
	for {
		var record Record
		err = decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err == nil && record.Package == "" {
			err = errors.New("a line names no package")
		}
		if err != nil {
			return nil, fmt.Errorf("read flight record, line %d: %w", len(records)+1, err)
		}
		records = append(records, record)
	}
}
