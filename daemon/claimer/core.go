package claimer

import (
	"bytes"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

// Op is a conditional write: it puts Value if the row still has Version.
type Op struct {
	Key string
	// Version is the expected version, 0 for an absent row.
	Version int64
	// Value is unique to this Op, so that a row that holds it proves that this
	// Op took effect.
	Value []byte
	// Deadline is when no further attempt is started.
	Deadline clock.Millis
}

// Verdict is how an Op ended.
type Verdict int

// The verdicts.
const (
	// Applied means that the row holds the value.
	Applied Verdict = iota
	// Conflict means that the row has another version, written by someone else.
	Conflict
	// Expired means that the deadline passed and that the Op had no effect and
	// never will.
	Expired
	// Doubtful means that the deadline passed and that an attempt may have taken
	// effect, or may do so later.
	Doubtful
)

// Result is the outcome of an Op.
type Result struct {
	Verdict Verdict
	// Row is the present row, set for Applied and Conflict; its Version is 0 if
	// the row is absent.
	Row platform.Row
}

// Message is one of the message types of Core.
type Message interface{ message() }

// Submit queues an Op under an ID that was never used before.
type Submit struct {
	ID uint64
	Op Op
}

// Reply is the result of an Apply effect.
type Reply struct {
	Result platform.TxnResult
	// Failed is set if the call failed. Effect, which is valid only then, tells
	// whether the failed call may have taken effect.
	Failed bool
	Effect platform.Effect
}

// Tick makes Core act on the present time: expire Ops and start a transaction.
type Tick struct{}

func (Submit) message() {}
func (Reply) message()  {}
func (Tick) message()   {}

// Effect is one of the effect types of Core.
type Effect interface{ effect() }

// Apply asks for a transaction; exactly one Reply must follow.
type Apply struct{ Txn platform.Txn }

// Complete delivers the result of an Op.
type Complete struct {
	ID     uint64
	Result Result
}

// ScheduleTick asks for a Tick at At or earlier.
type ScheduleTick struct{ At clock.Millis }

func (Apply) effect()        {}
func (Complete) effect()     {}
func (ScheduleTick) effect() {}

// Backoff after a failed call: the first delay, doubled up to the last.
const (
	firstBackoff = 20 * clock.Millisecond
	maxBackoff   = 1 * clock.Second
)

// DefaultMaxRows is the maximum number of rows of a transaction if
// Core.MaxRows is 0.
const DefaultMaxRows = 128

// Core batches Ops into transactions and derives the result of each Op from
// the replies. It keeps one transaction in flight; Ops that arrive meanwhile
// share the next one. It performs no I/O and is not safe for concurrent use.
type Core struct {
	// MaxRows is the maximum number of rows of a transaction; 0 stands for
	// DefaultMaxRows.
	MaxRows int
	// Spacing is the minimum time between the starts of two transactions.
	Spacing clock.Millis

	queue    []queuedOp
	inFlight []queuedOp
	// nextStart is the earliest start of the next transaction.
	nextStart clock.Millis
	// backoff is the delay after the last failure, 0 after a success.
	backoff clock.Millis
}

// queuedOp is an Op that is queued or in flight.
type queuedOp struct {
	id uint64
	op Op
	// doubtful is set once an attempt may have taken effect without a reply.
	doubtful bool
}

// Step handles one message at the time now and returns the effects to run, in
// order.
func (c *Core) Step(now clock.Millis, message Message) (effects []Effect) {
	switch m := message.(type) {
	case Submit:
		c.queue = append(c.queue, queuedOp{id: m.ID, op: m.Op})
	case Reply:
		effects = c.handleReply(now, m)
	case Tick:
	}
	return append(effects, c.advance(now)...)
}

// Waiting returns the number of Ops without a result.
func (c *Core) Waiting() int {
	return len(c.queue) + len(c.inFlight)
}

// handleReply completes the Ops whose result the reply decides and queues the
// others again, ahead of those submitted later.
func (c *Core) handleReply(now clock.Millis, m Reply) (effects []Effect) {
	inFlight := c.inFlight
	c.inFlight = nil
	if m.Failed {
		c.increaseBackoff(now)
		for i := range inFlight {
			inFlight[i].doubtful = inFlight[i].doubtful || m.Effect != platform.NoEffect
		}
		c.queue = append(inFlight, c.queue...)
		return nil
	}
	c.backoff = 0
	rows := make(map[string]platform.Row, len(m.Result.Rows))
	for _, row := range m.Result.Rows {
		rows[row.Key] = row
	}
	var retries []queuedOp
	for _, e := range inFlight {
		result, resolved := resolveOp(e.op, m.Result, rows[e.op.Key])
		if !resolved {
			retries = append(retries, e)
			continue
		}
		effects = append(effects, Complete{ID: e.id, Result: result})
	}
	if len(retries) == len(inFlight) {
		c.increaseBackoff(now)
	}
	c.queue = append(retries, c.queue...)
	return effects
}

// resolveOp returns the result of one Op of a transaction; resolved is false
// if only other rows kept the transaction from being applied. A transaction
// whose conditions fail returns the present rows: a row that holds the Op's
// value means that an earlier attempt, whose reply was lost, took effect.
func resolveOp(op Op, txn platform.TxnResult, row platform.Row) (result Result, resolved bool) {
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

// increaseBackoff doubles the delay before the next transaction, so that the
// table can recover after a failure.
func (c *Core) increaseBackoff(now clock.Millis) {
	c.backoff = min(max(2*c.backoff, firstBackoff), maxBackoff)
	c.nextStart = max(c.nextStart, now+c.backoff)
}

// advance completes the queued Ops that are past their deadline and starts the
// next transaction if none is in flight.
func (c *Core) advance(now clock.Millis) (effects []Effect) {
	effects = c.expire(now)
	switch {
	case len(c.inFlight) > 0 || len(c.queue) == 0:
		return effects
	case now < c.nextStart:
		return append(effects, ScheduleTick{At: c.nextTick()})
	}
	c.takeBatch()
	c.nextStart = now + c.Spacing
	var txn platform.Txn
	for _, e := range c.inFlight {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: e.op.Key, Version: e.op.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: e.op.Key, Value: e.op.Value})
	}
	return append(effects, Apply{Txn: txn})
}

// expire completes the queued Ops whose deadline has passed.
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
		effects = append(effects, Complete{ID: e.id, Result: Result{Verdict: verdict}})
	}
	c.queue = kept
	return effects
}

// nextTick returns the next start of a transaction or the first deadline,
// whichever is earlier.
func (c *Core) nextTick() clock.Millis {
	at := c.nextStart
	for _, e := range c.queue {
		at = min(at, e.op.Deadline)
	}
	return at
}

// takeBatch moves the oldest Ops into flight, at most one for each row.
func (c *Core) takeBatch() {
	maxRows := c.MaxRows
	if maxRows <= 0 {
		maxRows = DefaultMaxRows
	}
	keys := map[string]bool{}
	var remaining []queuedOp
	for _, e := range c.queue {
		if len(c.inFlight) >= maxRows || keys[e.op.Key] {
			remaining = append(remaining, e)
			continue
		}
		keys[e.op.Key] = true
		c.inFlight = append(c.inFlight, e)
	}
	c.queue = remaining
}
