package claimer

import (
	"bytes"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

// Op puts a row if the row still has the version that the writer has seen.
type Op struct {
	Key string
	// Version is the expected version, 0 for an absent row.
	Version int64
	// Value is unlike the value of any other Op, so that a row that holds it
	// proves that this Op took effect.
	Value []byte
	// Deadline ends the tries.
	Deadline clock.Millis
}

// Verdict is how an Op ended.
type Verdict int

// The verdicts.
const (
	// Applied means that the row holds the value.
	Applied Verdict = iota
	// Conflict means that another write came first.
	Conflict
	// Expired means that the deadline came, and that the Op had no effect and
	// never will.
	Expired
	// Doubtful means that the deadline came and that a try may have taken
	// effect, or may do so later.
	Doubtful
)

// Result is the end of an Op.
type Result struct {
	Verdict Verdict
	// Row is the row as it stands, for Applied and Conflict; its Version is 0
	// where it is absent.
	Row platform.Row
}

// Message is one of the message types of Core.
type Message interface{ message() }

// Submit hands in an Op under a number that was never used before.
type Submit struct {
	ID uint64
	Op Op
}

// Reply is the answer to the Apply effect.
type Reply struct {
	Result platform.TxnResult
	// Failed tells that the call failed; Certainty is then valid.
	Failed    bool
	Certainty platform.Certainty
}

// Tick lets time pass.
type Tick struct{}

func (Submit) message() {}
func (Reply) message()  {}
func (Tick) message()   {}

// Effect is one of the effect types of Core.
type Effect interface{ effect() }

// Apply asks for a transaction; exactly one Reply must follow.
type Apply struct{ Txn platform.Txn }

// Settle ends an Op.
type Settle struct {
	ID     uint64
	Result Result
}

// Wake asks for a Tick at a time, at the latest.
type Wake struct{ At clock.Millis }

func (Apply) effect()  {}
func (Settle) effect() {}
func (Wake) effect()   {}

// Pauses after a failed call.
const (
	firstBackoff = 20 * clock.Millisecond
	maxBackoff   = 1 * clock.Second
)

// DefaultBatch is the number of rows of a transaction where Core names none.
const DefaultBatch = 128

// Core decides which rows go into the next transaction and what its reply
// means for each. It keeps one transaction in flight; what arrives meanwhile
// shares the next one. It is pure and not safe for concurrent use.
type Core struct {
	// Batch bounds the rows of a transaction; 0 stands for DefaultBatch.
	Batch int
	// Spacing is the least time between the starts of two transactions.
	Spacing clock.Millis

	queue  []entry
	flight []entry
	// next is the earliest start of the next transaction.
	next clock.Millis
	// backoff is the pause after the last failure, 0 after a success.
	backoff clock.Millis
}

type entry struct {
	id uint64
	op Op
	// doubtful is set once a try may have had an effect that is not known.
	doubtful bool
}

// Step takes one message at a clock reading and returns the effects in order.
func (c *Core) Step(now clock.Millis, message Message) (effects []Effect) {
	switch m := message.(type) {
	case Submit:
		c.queue = append(c.queue, entry{id: m.ID, op: m.Op})
	case Reply:
		effects = c.settle(now, m)
	case Tick:
	}
	return append(effects, c.advance(now)...)
}

// Waiting returns the number of Ops that have not ended.
func (c *Core) Waiting() int {
	return len(c.queue) + len(c.flight)
}

// settle ends the Ops whose fate the reply tells and queues the others again,
// before those that came later.
func (c *Core) settle(now clock.Millis, m Reply) (effects []Effect) {
	flight := c.flight
	c.flight = nil
	if m.Failed {
		c.retreat(now)
		for i := range flight {
			flight[i].doubtful = flight[i].doubtful || m.Certainty != platform.NotDone
		}
		c.queue = append(flight, c.queue...)
		return nil
	}
	c.backoff = 0
	rows := make(map[string]platform.Row, len(m.Result.Rows))
	for _, row := range m.Result.Rows {
		rows[row.Key] = row
	}
	var again []entry
	for _, e := range flight {
		result, known := judge(e.op, m.Result, rows[e.op.Key])
		if !known {
			again = append(again, e)
			continue
		}
		effects = append(effects, Settle{ID: e.id, Result: result})
	}
	if len(again) == len(flight) {
		c.retreat(now)
	}
	c.queue = append(again, c.queue...)
	return effects
}

// judge tells the fate of one Op of a transaction; known is false where only
// other rows kept the transaction from being applied. A refused condition
// reads the row back: where it holds our value, an earlier try whose reply
// was lost took effect.
func judge(op Op, txn platform.TxnResult, row platform.Row) (result Result, known bool) {
	row.Key = op.Key
	switch {
	case txn.Applied:
		return Result{Verdict: Applied, Row: platform.Row{Key: op.Key, Value: op.Value, Version: txn.Version}}, true
	case row.Version == op.Version:
		return result, false
	case row.Version != 0 && bytes.Equal(row.Value, op.Value):
		return Result{Verdict: Applied, Row: row}, true
	default:
		return Result{Verdict: Conflict, Row: row}, true
	}
}

// retreat lets the table recover after a failure.
func (c *Core) retreat(now clock.Millis) {
	c.backoff = min(max(2*c.backoff, firstBackoff), maxBackoff)
	c.next = max(c.next, now+c.backoff)
}

// advance ends what is past its deadline and starts the next transaction.
func (c *Core) advance(now clock.Millis) (effects []Effect) {
	effects = c.expire(now)
	switch {
	case len(c.flight) > 0 || len(c.queue) == 0:
		return effects
	case now < c.next:
		return append(effects, Wake{At: c.wake()})
	}
	c.take()
	c.next = now + c.Spacing
	var txn platform.Txn
	for _, e := range c.flight {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: e.op.Key, Version: e.op.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: e.op.Key, Value: e.op.Value})
	}
	return append(effects, Apply{Txn: txn})
}

func (c *Core) expire(now clock.Millis) (effects []Effect) {
	kept := c.queue[:0]
	for _, e := range c.queue {
		if now < e.op.Deadline {
			kept = append(kept, e)
			continue
		}
		verdict := Expired
		if e.doubtful {
			verdict = Doubtful
		}
		effects = append(effects, Settle{ID: e.id, Result: Result{Verdict: verdict}})
	}
	c.queue = kept
	return effects
}

func (c *Core) wake() clock.Millis {
	at := c.next
	for _, e := range c.queue {
		at = min(at, e.op.Deadline)
	}
	return at
}

// take moves the oldest entries of different rows into flight.
func (c *Core) take() {
	size := c.Batch
	if size <= 0 {
		size = DefaultBatch
	}
	keys := map[string]bool{}
	var rest []entry
	for _, e := range c.queue {
		if len(c.flight) >= size || keys[e.op.Key] {
			rest = append(rest, e)
			continue
		}
		keys[e.op.Key] = true
		c.flight = append(c.flight, e)
	}
	c.queue = rest
}
