package configurer

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"yuccaspread/common/inventory"
)

// maxHistoryPage bounds the changes or audit entries of one answer.
const maxHistoryPage = 200

// maxParallelStatusCalls bounds the daemons that are asked for their status at once.
const maxParallelStatusCalls = 32

// ErrUnknownRevision means that the table never had the revision or no longer has
// its row.
var ErrUnknownRevision = errors.New("the revision is not in the history")

// DaemonStatus is the revision that is in force at another daemon.
type DaemonStatus struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Revision int64  `json:"revision"`
	// Reached reports whether the daemon answered; if not, Revision is the one that
	// it last reported through the membership.
	Reached bool `json:"reached"`
}

// Status describes the rollout of the newest revision to the daemons.
type Status struct {
	// Accepted is the newest revision that the table or a daemon knows.
	Accepted int64 `json:"accepted"`
	// TableReached reports whether the table answered.
	TableReached bool `json:"table_reached"`
	// InForce is the number of daemons, out of Daemons, at which Accepted is in
	// force. Both include this one.
	InForce int `json:"in_force"`
	Daemons int `json:"daemons"`
	// Missing lists the daemons that don't have Accepted in force or did not answer,
	// in the order of Peers.List.
	Missing []DaemonStatus `json:"missing"`
}

// Status asks the table and all daemons for their revisions.
func (c *Configurer) Status(ctx context.Context) (status Status) {
	c.setup()
	status.Accepted = c.Current().Revision
	if head, err := c.readHead(ctx); err == nil {
		status.TableReached = true
		status.Accepted = max(status.Accepted, head.Revision)
	}
	daemons := c.queryDaemons(ctx)
	status.Daemons = len(daemons) + 1
	for _, d := range daemons {
		status.Accepted = max(status.Accepted, d.Revision)
	}
	if c.Current().Revision >= status.Accepted {
		status.InForce++
	}
	status.Missing = []DaemonStatus{}
	for _, d := range daemons {
		if d.Reached && d.Revision >= status.Accepted {
			status.InForce++
			continue
		}
		status.Missing = append(status.Missing, d)
	}
	return status
}

// queryDaemons asks all other daemons for their revisions, in the order of
// Peers.List.
func (c *Configurer) queryDaemons(ctx context.Context) []DaemonStatus {
	if c.Peers == nil {
		return nil
	}
	peers := c.Peers.List()
	daemons := make([]DaemonStatus, len(peers))
	slots := make(chan struct{}, maxParallelStatusCalls)
	var wait sync.WaitGroup
	for i, p := range peers {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			daemons[i] = DaemonStatus{Name: p.Name, Region: p.Region, Revision: p.Revision}
			if peerStatus, err := c.Peers.Status(ctx, p); err == nil {
				daemons[i].Revision = peerStatus.Revision
				daemons[i].Reached = true
			}
		})
	}
	wait.Wait()
	return daemons
}

// History returns at most limit accepted changes after the revision, oldest first. A
// limit out of range is replaced by maxHistoryPage.
func (c *Configurer) History(ctx context.Context, after int64, limit int) (deltas []inventory.Delta, err error) {
	c.setup()
	if limit < 1 || limit > maxHistoryPage {
		limit = maxHistoryPage
	}
	deltas, err = c.readDeltas(ctx, after+1, limit)
	if err != nil {
		return nil, fmt.Errorf("history after revision %d: %w", after, err)
	}
	return deltas, nil
}

// BuildUndo returns the change on top of the base that reverts an accepted revision.
// The error wraps a *Conflict if a later change touched one of its entries, because
// the undo would overwrite that change, or ErrUnknownRevision if the table no longer
// has the revisions.
func (c *Configurer) BuildUndo(ctx context.Context, revision, base int64) (inverse inventory.Delta, err error) {
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
	if err = c.checkUntouched(ctx, deltas[0], base); err != nil {
		return inverse, err
	}
	inverse = deltas[0].Inverse()
	inverse.Base = base
	return inverse, nil
}

// checkUntouched returns a *Conflict if a change after delta, up to the base,
// touched one of its entries.
func (c *Configurer) checkUntouched(ctx context.Context, delta inventory.Delta, base int64) (err error) {
	touched := map[inventory.Key]bool{}
	for _, key := range delta.Keys() {
		touched[key] = true
	}
	conflict := &Conflict{Revision: base, Complete: true}
	for after := delta.Base + 1; after < base; {
		later, err := c.History(ctx, after, maxHistoryPage)
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
			conflict.Differences = append(conflict.Differences, findDifferences(d, touched)...)
		}
	}
	if len(conflict.Differences) > 0 {
		return conflict
	}
	return nil
}

// findDifferences returns the entries of a change that are among keys.
func findDifferences(d inventory.Delta, keys map[inventory.Key]bool) (found []Difference) {
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
