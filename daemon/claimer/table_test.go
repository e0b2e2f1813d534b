package claimer_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"yuccaspread/common/platform"
)

// fault is the fault injected into one call of the table.
type fault int

const (
	noFault fault = iota
	// rejected has no effect, and the error says so.
	rejected
	// requestLost has no effect and replyLost takes effect; the error is the
	// same for both.
	requestLost
	replyLost
	// appliedLate returns the same error and takes effect lateDelay afterwards.
	appliedLate
	// slowCall succeeds after lateDelay.
	slowCall
	faultCount
)

const (
	callLatency = 2 * time.Millisecond
	lateDelay   = 300 * time.Millisecond
)

var errTable = errors.New("injected table fault")

// faultyTable is an in-memory table with injected faults: call number i gets
// the fault at index i modulo the length of the plan.
type faultyTable struct {
	platform.Table

	plan []fault

	mu         sync.Mutex
	calls      int
	version    int64
	rows       map[string]platform.Row
	lateWrites sync.WaitGroup
}

func (f *faultyTable) nextFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if len(f.plan) == 0 {
		return noFault
	}
	return f.plan[f.calls%len(f.plan)]
}

func (f *faultyTable) Read(_ context.Context, keys ...string) (rows []platform.Row, err error) {
	time.Sleep(callLatency)
	switch f.nextFault() {
	case noFault, appliedLate, requestLost:
	case slowCall:
		time.Sleep(lateDelay)
	case rejected, replyLost, faultCount:
		return nil, &platform.Error{Op: "read", Effect: platform.NoEffect, Err: errTable}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range keys {
		if row, found := f.rows[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (f *faultyTable) Apply(_ context.Context, txn platform.Txn) (result platform.TxnResult, err error) {
	time.Sleep(callLatency)
	errUnknown := &platform.Error{Op: "apply", Effect: platform.EffectUnknown, Err: errTable}
	switch f.nextFault() {
	case rejected:
		return result, &platform.Error{Op: "apply", Effect: platform.NoEffect, Err: errTable}
	case requestLost:
		return result, errUnknown
	case replyLost:
		f.apply(txn)
		return result, errUnknown
	case appliedLate:
		f.lateWrites.Go(func() {
			time.Sleep(lateDelay)
			f.apply(txn)
		})
		return result, errUnknown
	case slowCall:
		time.Sleep(lateDelay)
	case noFault, faultCount:
	}
	return f.apply(txn), nil
}

func (f *faultyTable) apply(txn platform.Txn) (result platform.TxnResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	result.Applied = true
	for _, c := range txn.Conditions {
		row, found := f.rows[c.Key]
		if found {
			result.Rows = append(result.Rows, row)
		}
		if row.Version != c.Version {
			result.Applied = false
		}
	}
	if !result.Applied {
		return result
	}
	f.version++
	result.Version = f.version
	if f.rows == nil {
		f.rows = map[string]platform.Row{}
	}
	for _, w := range txn.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.version}
	}
	return result
}
