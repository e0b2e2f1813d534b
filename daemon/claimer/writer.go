package claimer

import (
	"context"
	"sync"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
	"yuccaspread/common/ring"
)

// submitRing bounds the Ops that wait for the goroutine of a Writer.
const submitRing = 4096

// Writer commits Ops to the table in groups: it runs a Core and its effects.
// Its exported fields are set before Run.
type Writer struct {
	Table platform.Table
	Clock clock.Clock
	// Spacing returns the least time between two transactions; nil for none.
	Spacing func() clock.Millis
	// Batch bounds the rows of a transaction; 0 stands for DefaultBatch.
	Batch int
	// Observe is called with the rows of each transaction; nil for none.
	Observe func(rows int)

	once    sync.Once
	submits *ring.Ring[pending]
	replies chan Reply
}

type pending struct {
	op   Op
	done chan Result
}

func (w *Writer) init() {
	w.once.Do(func() {
		w.submits = ring.New[pending](submitRing)
		w.replies = make(chan Reply, 1)
	})
}

// Commit waits for the end of op. It ends by itself soon after the deadline;
// where ctx ends before, the verdict is Doubtful.
func (w *Writer) Commit(ctx context.Context, op Op) Result {
	w.init()
	p := pending{op: op, done: make(chan Result, 1)}
	if err := w.submits.Push(ctx, p); err != nil {
		return Result{Verdict: Expired}
	}
	select {
	case result := <-p.done:
		return result
	case <-ctx.Done():
		return Result{Verdict: Doubtful}
	}
}

// Run commits until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	w.init()
	core := &Core{Batch: w.Batch}
	waiting := map[uint64]chan Result{}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var number uint64
	for {
		var message Message
		select {
		case <-ctx.Done():
			return
		case p := <-w.submits.Items():
			number++
			waiting[number] = p.done
			message = Submit{ID: number, Op: p.op}
		case message = <-w.replies:
		case <-timer.C:
			message = Tick{}
		}
		if w.Spacing != nil {
			core.Spacing = w.Spacing()
		}
		for _, effect := range core.Step(w.Clock.Now(), message) {
			w.run(ctx, effect, waiting, timer)
		}
	}
}

func (w *Writer) run(ctx context.Context, effect Effect, waiting map[uint64]chan Result, timer *time.Timer) {
	switch e := effect.(type) {
	case Apply:
		if w.Observe != nil {
			w.Observe(len(e.Txn.Writes))
		}
		go w.apply(ctx, e.Txn)
	case Settle:
		waiting[e.ID] <- e.Result
		delete(waiting, e.ID)
	case Wake:
		timer.Reset(max(e.At-w.Clock.Now(), 1).Duration())
	}
}

func (w *Writer) apply(ctx context.Context, txn platform.Txn) {
	result, err := w.Table.Apply(ctx, txn)
	w.replies <- Reply{Result: result, Failed: err != nil, Certainty: platform.CertaintyOf(err)}
}
