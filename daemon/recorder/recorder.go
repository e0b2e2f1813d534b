// Package recorder is the flight recorder of the decision packages, such as the
// scheduler: it keeps the newest messages that they received, so that their
// decisions can be replayed elsewhere. It is disabled until switched on.
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

// Bounds of what is kept.
const (
	// DefaultSize is the number of messages that are kept.
	DefaultSize = 50_000
	// historyPerKind is the number of messages kept outside of the window for each
	// kind whose messages replace earlier ones of it.
	historyPerKind = 8
)

// Record is one recorded message.
type Record struct {
	// Number is the position of the message among all recorded ones, from 1.
	Number uint64       `json:"number"`
	AtMS   clock.Millis `json:"at_ms"`
	// Package is the name of the decision package; Shard distinguishes the states
	// of one package.
	Package string          `json:"package"`
	Shard   string          `json:"shard,omitempty"`
	Kind    string          `json:"kind"`
	Message json.RawMessage `json:"message"`
}

// historyKey identifies the messages that replace each other.
type historyKey struct{ pkg, shard, kind string }

// Recorder keeps the newest records. Its exported fields are set before use. It
// is safe for concurrent use.
type Recorder struct {
	// Size bounds the records in the window; 0 means DefaultSize.
	Size int

	enabled atomic.Bool

	// mu guards the fields below.
	mu         sync.Mutex
	lastNumber uint64
	window     *ring.Window[Record]
	// histories holds the newest messages of each kind whose messages replace
	// earlier ones.
	histories map[historyKey]*ring.Window[Record]
}

// SetEnabled turns recording on or off. Records stay readable after recording is
// turned off, until it is turned on again.
func (r *Recorder) SetEnabled(on bool) {
	if on && !r.enabled.Load() {
		r.mu.Lock()
		size := r.Size
		if size <= 0 {
			size = DefaultSize
		}
		r.window = ring.NewWindow[Record](size)
		r.mu.Unlock()
	}
	r.enabled.Store(on)
}

// Enabled reports whether messages are recorded.
func (r *Recorder) Enabled() bool { return r.enabled.Load() }

// Add records a message while the recorder is on. Messages of a kind that
// replaces earlier ones are kept even while it is off, since a replay needs
// them. A message that can't be encoded as JSON is dropped.
func (r *Recorder) Add(now clock.Millis, pkg, shard, kind string, replaces bool, message any) {
	if !replaces && !r.enabled.Load() {
		return
	}
	raw, err := json.Marshal(message)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	record := Record{Number: r.lastNumber, AtMS: now, Package: pkg, Shard: shard, Kind: kind, Message: raw}
	if replaces {
		r.addHistory(record)
	}
	if r.enabled.Load() && r.window != nil {
		r.window.Add(record)
	}
}

func (r *Recorder) addHistory(record Record) {
	if r.histories == nil {
		r.histories = map[historyKey]*ring.Window[Record]{}
	}
	key := historyKey{record.Package, record.Shard, record.Kind}
	if r.histories[key] == nil {
		r.histories[key] = ring.NewWindow[Record](historyPerKind)
	}
	r.histories[key].Add(record)
}

// Records returns the newest messages, oldest first. They are preceded by the
// messages that were in force when the first of them came: for each kind whose
// messages replace earlier ones, the last one before it.
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
	for _, history := range r.histories {
		var latest *Record
		for _, candidate := range history.Items() {
			if candidate.Number < newest[0].Number {
				latest = &candidate
			}
		}
		if latest != nil {
			records = append(records, *latest)
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

// Read reads the records that Write has written.
func Read(in io.Reader) (records []Record, err error) {
	decoder := json.NewDecoder(bufio.NewReader(in))
	for {
		var record Record
		err = decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err == nil && record.Package == "" {
			err = errors.New("record has no package")
		}
		if err != nil {
			return nil, fmt.Errorf("read flight record, line %d: %w", len(records)+1, err)
		}
		records = append(records, record)
	}
}
