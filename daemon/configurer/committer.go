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

// writeOutcomeTimeout bounds the retries that find out whether a write took effect.
const writeOutcomeTimeout = 8 * clock.Second

// ErrConflict means that the base of a change is not the newest revision; a
// *Conflict wraps it.
var ErrConflict = errors.New("the configuration has changed since")

// ErrChangeID means that a change with the same ID but other content was accepted
// before.
var ErrChangeID = errors.New("the change id belongs to another change")

// ErrInvalid is wrapped by errors that list mistakes of the change itself.
var ErrInvalid = errors.New("the change is not valid")

// ErrStaleTable means that the table returns a head older than the revision in
// force, so that nothing may be written.
var ErrStaleTable = errors.New("the table answers with an older state")

var (
	// errNotReady means that this daemon does not know the newest revision.
	errNotReady = errors.New("the newest revision is not known here")
	// errHeadChanged means that the head row was written without a new revision,
	// as when a snapshot is recorded.
	errHeadChanged = errors.New("the head row was changed without a new revision")
)

// Bounds of the random pause between retries of a write whose outcome is unknown.
const (
	minWriteRetryPause = 50 * clock.Millisecond
	maxWriteRetryPause = 250 * clock.Millisecond
)

// Difference is an entry that was changed since the base of a rejected change.
type Difference struct {
	inventory.Key

	// Revision is the newest revision that changed the entry, Author its author.
	Revision int64  `json:"revision"`
	Author   string `json:"author"`
	// Value is the current value of the entry, absent if it was removed.
	Value json.RawMessage `json:"value,omitempty"`
}

// Conflict is the error for a change whose base is not the newest revision, and for
// an undo of entries that were changed later.
type Conflict struct {
	// Revision is the newest revision or, for an undo, its base.
	Revision int64
	// Differences are the entries that changed since the base.
	Differences []Difference
	// Complete reports whether Differences is complete; the oldest changes may no
	// longer be kept here.
	Complete bool
}

// Error implements error.
func (e *Conflict) Error() string {
	return fmt.Sprintf("%v: revision %d is in force, %d entries differ", ErrConflict, e.Revision, len(e.Differences))
}

// Unwrap returns ErrConflict.
func (e *Conflict) Unwrap() error { return ErrConflict }

// Commit writes the change as the next revision and pushes it to all daemons. For
// a change that is already committed as the revision after its base, with the same
// ID and content, it returns that revision again. The error wraps ErrConflict,
// ErrInvalid, ErrChangeID or ErrStaleTable; for others platform.EffectOf reports
// whether the change may have been written.
func (c *Configurer) Commit(ctx context.Context, delta inventory.Delta) (revision int64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("commit change %q: %w", delta.ChangeID, err)
		}
	}()
	c.setup()
	select {
	case c.commitToken <- struct{}{}:
		defer func() { <-c.commitToken }()
	case <-ctx.Done():
		return 0, &platform.Error{Op: "configuration.commit", Effect: platform.NoEffect, Err: ctx.Err()}
	}
	next, err := c.prepare(ctx, &delta)
	if err != nil {
		return c.resolveConflict(ctx, delta, err)
	}
	// A caller that disconnects must not leave the outcome of a write unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeOutcomeTimeout.Duration())
	defer cancel()
	if err = c.writeDelta(ctx, delta); err != nil {
		return 0, err
	}
	c.publish(ctx, next, delta)
	return next.Revision, nil
}

// Preview checks the change as Commit does, but writes nothing.
func (c *Configurer) Preview(ctx context.Context, delta inventory.Delta) (err error) {
	c.setup()
	_, err = c.prepare(ctx, &delta)
	return err
}

// prepare checks the change against the newest revision, sets its Time and Replaced
// and returns the configuration that it leads to.
func (c *Configurer) prepare(ctx context.Context, delta *inventory.Delta) (next inventory.Config, err error) {
	if mistakes := delta.CheckForm(); len(mistakes) > 0 {
		return next, invalidError(mistakes)
	}
	if err = c.catchUp(ctx, delta.Base); err != nil {
		return next, err
	}
	current := c.Current()
	if delta.Base != current.Revision {
		return next, c.newConflict(delta.Base)
	}
	delta.Time = c.Clock.Now()
	if delta.Replaced, err = current.Replaced(*delta); err != nil {
		return next, invalidError([]error{err})
	}
	if next, err = current.Apply(*delta); err != nil {
		return next, invalidError([]error{err})
	}
	if mistakes := append(next.Check(), next.CheckDates(*delta, delta.Time)...); len(mistakes) > 0 {
		return next, invalidError(mistakes)
	}
	return next, nil
}

// catchUp polls unless the base is the newest revision known here. It returns an
// error if the newest revision can't be determined or the table is stale, and none
// if the base is known to be outdated.
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
		pollErr = ErrStaleTable
	}
	if pollErr != nil {
		return noEffectError(pollErr)
	}
	return nil
}

// noEffectError returns an error whose Effect is platform.NoEffect.
func noEffectError(err error) error {
	return &platform.Error{Op: "configuration.commit", Effect: platform.NoEffect, Err: err}
}

// invalidError returns an error that wraps ErrInvalid and the mistakes.
func invalidError(mistakes []error) error {
	return fmt.Errorf("%w: %w", ErrInvalid, errors.Join(mistakes...))
}

// resolveConflict checks whether a change that conflicts was itself committed as
// the revision after its base by an earlier call whose reply was lost. If so, it
// returns that revision, otherwise cause or ErrChangeID.
func (c *Configurer) resolveConflict(ctx context.Context, delta inventory.Delta, cause error) (revision int64, err error) {
	if !errors.Is(cause, ErrConflict) {
		return 0, cause
	}
	earlier, found, err := c.findDelta(ctx, delta.Base+1)
	if err != nil || !found || earlier.ChangeID != delta.ChangeID {
		return 0, cause
	}
	if !earlier.SameChanges(delta) {
		return 0, ErrChangeID
	}
	return delta.Base + 1, nil
}

// findDelta returns the change that led to the revision.
func (c *Configurer) findDelta(ctx context.Context, revision int64) (delta inventory.Delta, found bool, err error) {
	for _, d := range c.recentChanges.items() {
		if d.Base+1 == revision {
			return d, true, nil
		}
	}
	deltas, err := c.readDeltas(ctx, revision, 1)
	if err != nil || len(deltas) == 0 || deltas[0].Base+1 != revision {
		return delta, false, err
	}
	return deltas[0], true, nil
}

// newConflict returns a conflict with the entries that changed since the base.
func (c *Configurer) newConflict(base int64) *Conflict {
	current := c.Current()
	conflict := &Conflict{Revision: current.Revision}
	indexes := map[inventory.Key]int{}
	oldest := current.Revision
	for _, d := range c.recentChanges.items() {
		if d.Base < base {
			continue
		}
		oldest = min(oldest, d.Base)
		for _, key := range d.Keys() {
			index, found := indexes[key]
			if !found {
				index = len(conflict.Differences)
				indexes[key] = index
				conflict.Differences = append(conflict.Differences, Difference{Key: key})
			}
			conflict.Differences[index].Revision = d.Base + 1
			conflict.Differences[index].Author = d.Author
		}
	}
	for i, d := range conflict.Differences {
		if entry, found, err := current.Entry(d.Key); err == nil && found {
			conflict.Differences[i].Value = entry.Value
		}
	}
	conflict.Complete = oldest <= base
	return conflict
}

// writeDelta writes the change to the table. It retries while the outcome is
// unknown, which is safe: the conditions of the transaction hold only once.
func (c *Configurer) writeDelta(ctx context.Context, delta inventory.Delta) (err error) {
	effectUnknown := false
	for {
		err = c.writeOnce(ctx, delta)
		switch {
		case err == nil, errors.Is(err, ErrConflict):
			return err
		case errors.Is(err, errHeadChanged) && ctx.Err() == nil:
			continue
		}
		// Once the outcome of a write is unknown, a later write that certainly
		// failed doesn't settle it.
		effectUnknown = effectUnknown || platform.EffectOf(err) == platform.EffectUnknown
		if !effectUnknown {
			return err
		}
		if !clock.Sleep(ctx, minWriteRetryPause+rand.N(maxWriteRetryPause-minWriteRetryPause)) {
			return &platform.Error{Op: "configuration.commit", Effect: platform.EffectUnknown, Err: err}
		}
	}
}

// writeOnce tries to write the change on top of the newest known head.
func (c *Configurer) writeOnce(ctx context.Context, delta inventory.Delta) (err error) {
	head := c.knownHead()
	if head.Revision < delta.Base {
		return noEffectError(ErrStaleTable)
	}
	txn, newHead, err := c.buildTransaction(head, delta)
	if err != nil {
		return err
	}
	result, err := c.Table.Apply(ctx, txn)
	if err != nil {
		return err
	}
	if result.Applied {
		c.rememberHead(headRow{Head: newHead, version: result.Version})
		return nil
	}
	return c.resolveRejectedWrite(head, delta, result.Rows)
}

// buildTransaction returns the transaction that writes the change on top of the
// head, with its audit entry, and the head after it. It also deletes the revision
// that is no longer retained, if both snapshots that the head records are newer.
func (c *Configurer) buildTransaction(head headRow, delta inventory.Delta) (txn platform.Txn, newHead inventory.Head, err error) {
	deltaValue, err := json.Marshal(delta)
	if err != nil {
		return txn, newHead, err
	}
	newHead = head.Head
	newHead.Revision = delta.Base + 1
	headValue, err := json.Marshal(newHead)
	if err != nil {
		return txn, newHead, err
	}
	key := inventory.RevisionKey(newHead.Revision)
	txn.Conditions = []platform.Condition{{Key: inventory.HeadKey, Version: head.version}, {Key: key}}
	txn.Writes = []platform.Write{{Key: inventory.HeadKey, Value: headValue}, {Key: key, Value: deltaValue}}
	audit, err := auditWrite(c.newAuditEntry(delta))
	if err != nil {
		return txn, newHead, err
	}
	txn.Writes = append(txn.Writes, audit)
	if expired := newHead.Revision - retainedRevisions; expired > 0 && expired < head.PreviousSnapshot {
		txn.Writes = append(txn.Writes, platform.Write{Key: inventory.RevisionKey(expired), Delete: true})
	}
	return txn, newHead, nil
}

// resolveRejectedWrite interprets the rows that a rejected write conflicts with. It
// returns nil if the change itself is among them.
func (c *Configurer) resolveRejectedWrite(expected headRow, delta inventory.Delta, rows []platform.Row) (err error) {
	var head headRow
	for _, row := range rows {
		if row.Key == inventory.HeadKey {
			if head, err = parseHead(row); err != nil {
				return err
			}
			continue
		}
		var stored inventory.Delta
		if err = json.Unmarshal(row.Value, &stored); err != nil {
			return err
		}
		if stored.ChangeID == delta.ChangeID && stored.Author == delta.Author && stored.SameChanges(delta) {
			return nil
		}
	}
	switch {
	case head.Revision < delta.Base:
		return noEffectError(ErrStaleTable)
	case head.Revision == delta.Base && head.version != expected.version:
		c.rememberHead(head)
		return noEffectError(errHeadChanged)
	default:
		return c.pollConflict(delta.Base)
	}
}

// pollConflict polls the newest revision after another daemon has committed a change
// and returns the conflict with it.
func (c *Configurer) pollConflict(base int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), platform.CallTimeout.Duration())
	defer cancel()
	if err := c.Poll(ctx); err != nil {
		klog.ErrorS(err, "configuration poll after a conflict failed; the conflict may not list all differences")
	}
	return c.newConflict(base)
}

// publish puts the written change in force here, pushes it to all daemons and
// starts a snapshot if one is due.
func (c *Configurer) publish(ctx context.Context, next inventory.Config, delta inventory.Delta) {
	c.activate(&next, &delta)
	background := context.WithoutCancel(ctx)
	if c.Peers != nil {
		go c.Peers.PushAll(background, next.Revision, delta)
	}
	if c.Objects != nil && next.Revision-c.knownHead().Snapshot >= revisionsPerSnapshot {
		go c.saveSnapshot(background, &next)
	}
}
