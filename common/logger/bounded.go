package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/ring"
)

// Limits of a Bounded writer.
const (
	// maxLines is the capacity of the queue: a busy daemon logs about as many
	// lines in a second.
	maxLines = 2048
	// maxBatch is the size of a write in bytes at which no further line is added.
	maxBatch = 32 << 10
	// closeTimeout is how long Close waits for the remaining lines.
	closeTimeout = 200 * clock.Millisecond
)

// Bounded is an io.Writer for log lines that never blocks on the underlying
// writer: if its queue is full, lines are dropped and counted. Create it with
// NewBounded and call Close at the end.
type Bounded struct {
	out     io.Writer
	lines   *ring.Queue[[]byte]
	dropped atomic.Int64
	// closing is closed by Close; the goroutine then writes the remaining lines
	// and ends.
	closing chan struct{}
	// ending orders the last look at the queue after every Write that used it.
	ending sync.RWMutex
	// done is closed when the goroutine has ended.
	done      chan struct{}
	closeOnce sync.Once
}

// NewBounded returns a Bounded that writes to out, and starts its goroutine.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: ring.NewQueue[[]byte](maxLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; line is one whole log line. Once the goroutine has
// ended after Close, it writes directly to the underlying writer.
func (b *Bounded) Write(line []byte) (n int, err error) {
	if b.enqueue(line) {
		return len(line), nil
	}
	return b.out.Write(line)
}

// enqueue queues a copy of the line, or counts it as dropped. It returns false
// once the goroutine has ended.
func (b *Bounded) enqueue(line []byte) bool {
	b.ending.RLock()
	defer b.ending.RUnlock()
	select {
	case <-b.done:
		return false
	default:
	}
	if !b.lines.TryPush(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return true
}

// Dropped returns the number of lines dropped so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close ends the goroutine and waits until all lines are written, at most for
// closeTimeout.
func (b *Bounded) Close() {
	b.closeOnce.Do(func() { close(b.closing) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout.Duration()):
	}
}

func (b *Bounded) run() {
	var reported int64
	for {
		select {
		case line := <-b.lines.Items():
			b.writeBatch(line)
		case <-b.closing:
			if b.finish(reported) {
				return
			}
			select {
			case line := <-b.lines.Items():
				b.writeBatch(line)
			default:
			}
		}
		reported = b.reportDropped(reported)
	}
}

// finish marks the goroutine as ended if no line is queued and all dropped lines are
// reported; later lines are then written directly.
func (b *Bounded) finish(reported int64) bool {
	b.ending.Lock()
	defer b.ending.Unlock()
	if b.lines.Len() > 0 || b.Dropped() > reported {
		return false
	}
	close(b.done)
	return true
}

// reportDropped logs how many lines were dropped beyond those that were reported
// before, and returns the number of reported ones.
func (b *Bounded) reportDropped(reported int64) int64 {
	dropped := b.Dropped()
	if dropped > reported {
		_, _ = fmt.Fprintf(b.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped-reported)
	}
	return dropped
}

// writeBatch writes batch and the lines that wait in the queue in a single write.
func (b *Bounded) writeBatch(batch []byte) {
	for len(batch) < maxBatch {
		select {
		case line := <-b.lines.Items():
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	_, _ = b.out.Write(batch)
}
