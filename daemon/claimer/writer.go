package claimer

import (
	"context"
	"sync"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
	"yuccaspread/common/ring"
)

// queueCapacity is the capacity of the queues to the goroutines of a Writer and
// a Reader.
const queueCapacity = 4096

// Writer commits Ops to the table in batches: it runs a Core and its effects.
// Its exported fields are set before Run.
type Writer struct {
	Table platform.Table
	Clock clock.Clock
	// Spacing returns the minimum time between the starts of two transactions;
	// nil means no minimum.
	Spacing func() clock.Millis
	// MaxRows is the maximum number of rows of a transaction; 0 stands for
	// DefaultMaxRows.
	MaxRows int
	// Observe, if not nil, is called with the number of rows of each transaction.
	Observe func(rows int)

	once        sync.Once
	submissions *ring.Queue[submission]
	replies     chan Reply
}

// submission is an Op with the channel for its result.
type submission struct {
	op   Op
	done chan Result
}

func (w *Writer) init() {
	w.once.Do(func() {
		w.submissions = ring.NewQueue[submission](queueCapacity)
		w.replies = make(chan Reply, 1)
	})
}

// Commit returns the result of op, shortly after its deadline at the latest.
// If ctx ends first, the verdict is Expired while op is not yet queued and
// Doubtful afterwards. Run must be running.
func (w *Writer) Commit(ctx context.Context, op Op) Result {
	w.init()
	submitted := submission{op: op, done: make(chan Result, 1)}
	if err := w.submissions.Push(ctx, submitted); err != nil {
		return Result{Verdict: Expired}
	}
	select {
	case result := <-submitted.done:
		return result
	case <-ctx.Done():
		return Result{Verdict: Doubtful}
	}
}

// Run commits the submitted Ops until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	w.init()
	core := &Core{MaxRows: w.MaxRows}
	results := map[uint64]chan Result{}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var lastID uint64
	for {
		var message Message
		select {
		case <-ctx.Done():
			return
		case submitted := <-w.submissions.Items():
			lastID++
			results[lastID] = submitted.done
			message = Submit{ID: lastID, Op: submitted.op}
		case message = <-w.replies:
		case <-timer.C:
			message = Tick{}
		}
		if w.Spacing != nil {
			core.Spacing = w.Spacing()
		}
		for _, effect := range core.Step(w.Clock.Now(), message) {
			w.execute(ctx, effect, results, timer)
		}
	}
}

func (w *Writer) execute(ctx context.Context, effect Effect, results map[uint64]chan Result, timer *time.Timer) {
	switch e := effect.(type) {
	case Apply:
		if w.Observe != nil {
			w.Observe(len(e.Txn.Writes))
		}
		go w.apply(ctx, e.Txn)
	case Complete:
		results[e.ID] <- e.Result
		delete(results, e.ID)
	case ScheduleTick:
		timer.Reset(max(e.At-w.Clock.Now(), 1).Duration())
	}
}

func (w *Writer) apply(ctx context.Context, txn platform.Txn) {
	result, err := w.Table.Apply(ctx, txn)
	w.replies <- Reply{Result: result, Failed: err != nil, Effect: platform.EffectOf(err)}
}
