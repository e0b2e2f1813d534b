package configurer

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"yuccaspread/common/inventory"
)

// maxHistory bounds the changes of one answer.
const maxHistory = 200

// parallelAsks bounds the daemons that are asked at once for a status.
const parallelAsks = 32

// ErrUnknownRevision means that no row tells of the revision any more.
var ErrUnknownRevision = errors.New("the revision is not in the history")

// Behind is a daemon at which the newest revision is not in force.
type Behind struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Revision int64  `json:"revision"`
	// Reached tells whether the daemon answered; the revision of one that did
	// not is what it last told.
	Reached bool `json:"reached"`
}

// Status tells how far the newest configuration has come.
type Status struct {
	// Accepted is the newest revision that the table or a daemon knows.
	Accepted int64 `json:"accepted"`
	// TableReached tells whether the table answered.
	TableReached bool `json:"table_reached"`
	// InForce of Daemons have it in force.
	InForce int `json:"in_force"`
	Daemons int `json:"daemons"`
	// Missing are the others, in the order of the membership.
	Missing []Behind `json:"missing"`
}

// Status asks the table and all daemons.
func (c *Configurer) Status(ctx context.Context) (status Status) {
	c.setup()
	status.Accepted = c.Current().Revision
	if head, err := c.readHead(ctx); err == nil {
		status.TableReached = true
		status.Accepted = max(status.Accepted, head.Revision)
	}
	all := c.askAll(ctx)
	status.Daemons = len(all) + 1
	for _, d := range all {
		status.Accepted = max(status.Accepted, d.Revision)
	}
	if c.Current().Revision >= status.Accepted {
		status.InForce++
	}
	status.Missing = []Behind{}
	for _, d := range all {
		if d.Reached && d.Revision >= status.Accepted {
			status.InForce++
			continue
		}
		status.Missing = append(status.Missing, d)
	}
	return status
}

func (c *Configurer) askAll(ctx context.Context) []Behind {
	if c.Peers == nil {
		return nil
	}
	list := c.Peers.List()
	all := make([]Behind, len(list))
	slots := make(chan struct{}, parallelAsks)
	var wait sync.WaitGroup
	for i, p := range list {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			all[i] = Behind{Name: p.Name, Region: p.Region, Revision: p.Revision}
			if told, err := c.Peers.Ask(ctx, p); err == nil {
				all[i].Revision = told.Revision
				all[i].Reached = true
			}
		})
	}
	wait.Wait()
	return all
}

// History returns accepted changes after the revision, oldest first, and at
// most limit of them; a limit out of range is brought into it.
func (c *Configurer) History(ctx context.Context, after int64, limit int) (deltas []inventory.Delta, err error) {
	c.setup()
	if limit < 1 || limit > maxHistory {
		limit = maxHistory
	}
	deltas, err = c.history(ctx, after+1, limit)
	if err != nil {
		return nil, fmt.Errorf("history after revision %d: %w", after, err)
	}
	return deltas, nil
}

// Undoing returns the change that takes an accepted revision back on top of
// the base. The error is a *Conflict where a later change touched an entry of
// it, for that one would be lost.
func (c *Configurer) Undoing(ctx context.Context, revision, base int64) (inverse inventory.Delta, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("undo revision %d: %w", revision, err)
		}
	}()
	deltas, err := c.History(ctx, revision-1, 1)
	if err != nil {
		return inverse, err
	}
	if len(deltas) == 0 || deltas[0].Base+1 != revision {
		return inverse, ErrUnknownRevision
	}
	if err = c.untouched(ctx, deltas[0], base); err != nil {
		return inverse, err
	}
	inverse = deltas[0].Inverse()
	inverse.Base = base
	return inverse, nil
}

// untouched returns a *Conflict where a change after delta, up to the base,
// touched one of its entries.
func (c *Configurer) untouched(ctx context.Context, delta inventory.Delta, base int64) (err error) {
	ours := map[inventory.Key]bool{}
	for _, key := range delta.Keys() {
		ours[key] = true
	}
	conflict := &Conflict{Revision: base, Whole: true}
	for after := delta.Base + 1; after < base; {
		later, err := c.History(ctx, after, maxHistory)
		if err != nil {
			return err
		}
		if len(later) == 0 {
			return ErrUnknownRevision
		}
		for _, d := range later {
			after = d.Base + 1
			if after > base {
				break
			}
			conflict.Differences = append(conflict.Differences, differences(d, ours)...)
		}
	}
	if len(conflict.Differences) > 0 {
		return conflict
	}
	return nil
}

func differences(d inventory.Delta, keys map[inventory.Key]bool) (found []Difference) {
	for _, e := range d.Set {
		if keys[e.Key] {
			found = append(found, Difference{Key: e.Key, Revision: d.Base + 1, Author: d.Author, Value: e.Value})
		}
	}
	for _, key := range d.Remove {
		if keys[key] {
			found = append(found, Difference{Key: key, Revision: d.Base + 1, Author: d.Author})
		}
	}
	return found
}
