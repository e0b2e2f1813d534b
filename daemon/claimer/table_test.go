package claimer_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"yuccaspread/common/platform"
)

// fault is what happens to one call of the table.
type fault int

const (
	works fault = iota
	// refuses has no effect and says so.
	refuses
	// dropsRequest has no effect, dropsReply has one; neither tells.
	dropsRequest
	dropsReply
	// comesLate tells nothing and takes effect some time afterwards.
	comesLate
	// isSlow works after a long while.
	isSlow
	faultCount
)

const (
	callTime = 2 * time.Millisecond
	lateTime = 300 * time.Millisecond
)

var errTable = errors.New("the table failed")

// faultyTable is a table in memory that fails by a plan: call number i meets
// the fault i modulo the length of the plan.
type faultyTable struct {
	platform.Table

	plan []fault

	mu      sync.Mutex
	calls   int
	version int64
	rows    map[string]platform.Row
	late    sync.WaitGroup
}

func (f *faultyTable) next() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if len(f.plan) == 0 {
		return works
	}
	return f.plan[f.calls%len(f.plan)]
}

func (f *faultyTable) Read(_ context.Context, keys ...string) (rows []platform.Row, err error) {
	time.Sleep(callTime)
	switch f.next() {
	case works, comesLate, dropsRequest:
	case isSlow:
		time.Sleep(lateTime)
	case refuses, dropsReply, faultCount:
		return nil, &platform.Error{Op: "read", Certainty: platform.NotDone, Err: errTable}
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
	time.Sleep(callTime)
	lost := &platform.Error{Op: "apply", Certainty: platform.Unknown, Err: errTable}
	switch f.next() {
	case refuses:
		return result, &platform.Error{Op: "apply", Certainty: platform.NotDone, Err: errTable}
	case dropsRequest:
		return result, lost
	case dropsReply:
		f.apply(txn)
		return result, lost
	case comesLate:
		f.late.Go(func() {
			time.Sleep(lateTime)
			f.apply(txn)
		})
		return result, lost
	case isSlow:
		time.Sleep(lateTime)
	case works, faultCount:
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
