package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// settleTimeout bounds the tries to learn whether a write took effect.
const settleTimeout = 8 * clock.Second

// ErrConflict is wrapped by a *Conflict.
var ErrConflict = errors.New("the configuration has changed since")

// ErrChangeID means that a change with the same id but another content was
// accepted before.
var ErrChangeID = errors.New("the change id belongs to another change")

// ErrInvalid is wrapped by errors that tell mistakes of the change itself.
var ErrInvalid = errors.New("the change is not valid")

// ErrOldTable means that the table answers with an older state, so that
// nothing may be written.
var ErrOldTable = errors.New("the table answers with an older state")

var (
	// errNotReady means that this daemon does not know the newest revision.
	errNotReady = errors.New("the newest revision is not known here")
	// errMoved means that the head row was written without a new revision.
	errMoved = errors.New("the head row has moved")
)

// Pauses between tries to learn what a write did.
const (
	minSettlePause = 50 * clock.Millisecond
	maxSettlePause = 250 * clock.Millisecond
)

// Difference is an entry that was changed since the base of a refused change.
type Difference struct {
	inventory.Key

	// Revision is the newest one that changed the entry, Author who did it.
	Revision int64  `json:"revision"`
	Author   string `json:"author"`
	// Value is the entry as it stands now; absent where it was removed.
	Value json.RawMessage `json:"value,omitempty"`
}

// Conflict is the error for a change whose base is not the newest revision.
type Conflict struct {
	// Revision is the newest one.
	Revision int64
	// Differences are the entries that changed since the base.
	Differences []Difference
	// Whole tells whether Differences holds all of them; the oldest changes
	// may no longer be at hand.
	Whole bool
}

// Error implements error.
func (e *Conflict) Error() string {
	return fmt.Sprintf("%v: revision %d is in force, %d entries differ", ErrConflict, e.Revision, len(e.Differences))
}

// Unwrap returns ErrConflict.
func (e *Conflict) Unwrap() error { return ErrConflict }

// Commit writes the change as the next revision and brings it to all daemons.
// A change that is already committed under its id gets its revision again.
// The error wraps ErrConflict, ErrInvalid, ErrChangeID or ErrOldTable, or
// tells by platform.CertaintyOf what it did.
func (c *Configurer) Commit(ctx context.Context, delta inventory.Delta) (revision int64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("commit change %q: %w", delta.ChangeID, err)
		}
	}()
	c.setup()
	select {
	case c.committing <- struct{}{}:
		defer func() { <-c.committing }()
	case <-ctx.Done():
		return 0, &platform.Error{Op: "configuration.commit", Certainty: platform.NotDone, Err: ctx.Err()}
	}
	next, err := c.prepare(ctx, &delta)
	if err != nil {
		return c.settled(ctx, delta, err)
	}
	// A caller that hangs up must not leave a write in doubt.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout.Duration())
	defer cancel()
	if err = c.write(ctx, delta); err != nil {
		return 0, err
	}
	c.accept(ctx, next, delta)
	return next.Revision, nil
}

// Preview checks the change as Commit would and writes nothing.
func (c *Configurer) Preview(ctx context.Context, delta inventory.Delta) (err error) {
	c.setup()
	_, err = c.prepare(ctx, &delta)
	return err
}

// prepare checks the change against the newest revision and fills in what
// acceptance adds to it.
func (c *Configurer) prepare(ctx context.Context, delta *inventory.Delta) (next inventory.Config, err error) {
	if mistakes := delta.CheckForm(); len(mistakes) > 0 {
		return next, invalid(mistakes)
	}
	if err = c.catchUp(ctx, delta.Base); err != nil {
		return next, err
	}
	present := c.Current()
	if delta.Base != present.Revision {
		return next, c.conflict(delta.Base)
	}
	delta.Time = c.Clock.Now()
	if delta.Replaced, err = present.Replaced(*delta); err != nil {
		return next, invalid([]error{err})
	}
	if next, err = present.Apply(*delta); err != nil {
		return next, invalid([]error{err})
	}
	if mistakes := append(next.Check(), next.CheckDates(*delta, delta.Time)...); len(mistakes) > 0 {
		return next, invalid(mistakes)
	}
	return next, nil
}

// catchUp polls unless this daemon already knows the head of the base.
func (c *Configurer) catchUp(ctx context.Context, base int64) (err error) {
	if c.Ready() && c.knownHead().Revision == base && c.Current().Revision == base {
		return nil
	}
	pollErr := c.Poll(ctx)
	if c.Ready() && c.Current().Revision > base {
		return nil
	}
	if pollErr == nil && !c.Ready() {
		pollErr = errNotReady
	}
	if pollErr == nil && c.knownHead().Revision < c.Current().Revision {
		pollErr = ErrOldTable
	}
	if pollErr != nil {
		return notDone(pollErr)
	}
	return nil
}

func notDone(err error) error {
	return &platform.Error{Op: "configuration.commit", Certainty: platform.NotDone, Err: err}
}

func invalid(mistakes []error) error {
	return fmt.Errorf("%w: %w", ErrInvalid, errors.Join(mistakes...))
}

// settled finds out whether a change that conflicts is itself the one that
// came after its base, written by an earlier call whose reply was lost.
func (c *Configurer) settled(ctx context.Context, delta inventory.Delta, cause error) (revision int64, err error) {
	if !errors.Is(cause, ErrConflict) {
		return 0, cause
	}
	earlier, found, err := c.change(ctx, delta.Base+1)
	if err != nil || !found || earlier.ChangeID != delta.ChangeID {
		return 0, cause
	}
	if !earlier.Same(delta) {
		return 0, ErrChangeID
	}
	return delta.Base + 1, nil
}

// change returns the change that led to the revision.
func (c *Configurer) change(ctx context.Context, revision int64) (delta inventory.Delta, found bool, err error) {
	for _, d := range c.recent.items() {
		if d.Base+1 == revision {
			return d, true, nil
		}
	}
	deltas, err := c.history(ctx, revision, 1)
	if err != nil || len(deltas) == 0 || deltas[0].Base+1 != revision {
		return delta, false, err
	}
	return deltas[0], true, nil
}

// conflict tells what changed since the base.
func (c *Configurer) conflict(base int64) *Conflict {
	present := c.Current()
	e := &Conflict{Revision: present.Revision}
	newest := map[inventory.Key]int{}
	oldest := present.Revision
	for _, d := range c.recent.items() {
		if d.Base < base {
			continue
		}
		oldest = min(oldest, d.Base)
		for _, key := range d.Keys() {
			at, found := newest[key]
			if !found {
				at = len(e.Differences)
				newest[key] = at
				e.Differences = append(e.Differences, Difference{Key: key})
			}
			e.Differences[at].Revision = d.Base + 1
			e.Differences[at].Author = d.Author
		}
	}
	for i, d := range e.Differences {
		if entry, found, err := present.Entry(d.Key); err == nil && found {
			e.Differences[i].Value = entry.Value
		}
	}
	e.Whole = oldest <= base
	return e
}

// write adds the change to the table. It writes again while it is unknown
// whether it did, which is harmless: the conditions hold for one write only.
func (c *Configurer) write(ctx context.Context, delta inventory.Delta) (err error) {
	doubt := false
	for {
		err = c.writeOnce(ctx, delta)
		switch {
		case err == nil, errors.Is(err, ErrConflict):
			return err
		case errors.Is(err, errMoved) && ctx.Err() == nil:
			continue
		}
		// Once a write is in doubt, a later one that surely failed settles
		// nothing.
		doubt = doubt || platform.CertaintyOf(err) == platform.Unknown
		if !doubt {
			return err
		}
		if !clock.Sleep(ctx, minSettlePause+rand.N(maxSettlePause-minSettlePause)) {
			return &platform.Error{Op: "configuration.commit", Certainty: platform.Unknown, Err: err}
		}
	}
}

func (c *Configurer) writeOnce(ctx context.Context, delta inventory.Delta) (err error) {
	head := c.knownHead()
	if head.Revision < delta.Base {
		return notDone(ErrOldTable)
	}
	txn, top, err := c.transaction(head, delta)
	if err != nil {
		return err
	}
	result, err := c.Table.Apply(ctx, txn)
	if err != nil {
		return err
	}
	if result.Applied {
		c.remember(headRow{Head: top, version: result.Version})
		return nil
	}
	return c.refused(head, delta, result.Rows)
}

// transaction returns the write of the change on top of the head.
func (c *Configurer) transaction(head headRow, delta inventory.Delta) (txn platform.Txn, top inventory.Head, err error) {
	row, err := json.Marshal(delta)
	if err != nil {
		return txn, top, err
	}
	top = head.Head
	top.Revision = delta.Base + 1
	content, err := json.Marshal(top)
	if err != nil {
		return txn, top, err
	}
	key := inventory.RevisionKey(top.Revision)
	txn.Conditions = []platform.Condition{{Key: inventory.HeadKey, Version: head.version}, {Key: key}}
	txn.Writes = []platform.Write{{Key: inventory.HeadKey, Value: content}, {Key: key, Value: row}}
	audit, err := auditWrite(c.auditOf(delta))
	if err != nil {
		return txn, top, err
	}
	txn.Writes = append(txn.Writes, audit)
	if old := top.Revision - historyRows; old > 0 && old < head.Older {
		txn.Writes = append(txn.Writes, platform.Write{Key: inventory.RevisionKey(old), Delete: true})
	}
	return txn, top, nil
}

// refused judges the rows that stood in the way of a write.
func (c *Configurer) refused(used headRow, delta inventory.Delta, rows []platform.Row) (err error) {
	var head headRow
	for _, row := range rows {
		if row.Key == inventory.HeadKey {
			if head, err = parseHead(row); err != nil {
				return err
			}
			continue
		}
		var present inventory.Delta
		if err = json.Unmarshal(row.Value, &present); err != nil {
			return err
		}
		if present.ChangeID == delta.ChangeID && present.Author == delta.Author && present.Same(delta) {
			return nil
		}
	}
	switch {
	case head.Revision < delta.Base:
		return notDone(ErrOldTable)
	case head.Revision == delta.Base && head.version != used.version:
		c.remember(head)
		return notDone(errMoved)
	default:
		return c.raced(delta.Base)
	}
}

// raced returns the conflict with a change that another daemon has accepted.
func (c *Configurer) raced(base int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), platform.CallTimeout.Duration())
	defer cancel()
	if err := c.Poll(ctx); err != nil {
		klog.ErrorS(err, "configuration not read after a conflict")
	}
	return c.conflict(base)
}

// accept brings the written change in force here and everywhere.
func (c *Configurer) accept(ctx context.Context, next inventory.Config, delta inventory.Delta) {
	c.advance(&next, &delta)
	background := context.WithoutCancel(ctx)
	if c.Peers != nil {
		go c.Peers.PushAll(background, next.Revision, delta)
	}
	if c.Objects != nil && next.Revision-c.knownHead().Snapshot >= snapshotEvery {
		go c.snapshot(background, &next)
	}
}
