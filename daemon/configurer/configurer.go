// Package configurer keeps the configuration in force at this daemon and
// commits accepted changes to the platform's table.
package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// pollInterval is the time between two looks at the head row.
const pollInterval = 2 * clock.Second

// pageRows bounds the revisions that one scan returns.
const pageRows = 500

// ErrConflict is returned by Commit when the change's base is not the newest
// revision.
var ErrConflict = errors.New("the configuration has changed since")

// Configurer follows the revisions. Its exported fields are set before Run.
type Configurer struct {
	Table platform.Table
	Clock clock.Clock

	// current is nil until the first revision was read; its revision only grows.
	current atomic.Pointer[inventory.Config]
}

// Current implements inventory.Source.
func (c *Configurer) Current() *inventory.Config {
	if config := c.current.Load(); config != nil {
		return config
	}
	return &inventory.Config{}
}

// Ready tells whether a revision was read since the start.
func (c *Configurer) Ready() bool {
	return c.current.Load() != nil
}

// Run polls the table until ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		if err := c.Poll(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "configuration not read")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Poll reads the head row and brings the newest revision in force.
func (c *Configurer) Poll(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("poll configuration: %w", err)
		}
	}()
	head, _, err := c.head(ctx)
	if err != nil {
		return err
	}
	config := *c.Current()
	for config.Revision < head.Revision {
		if config, err = c.follow(ctx, config); err != nil {
			return err
		}
	}
	c.advance(&config)
	return nil
}

// head returns the head row's content and version; both are zero before the
// first change.
func (c *Configurer) head(ctx context.Context) (head inventory.Head, version int64, err error) {
	rows, err := c.Table.Read(ctx, inventory.HeadKey)
	if err != nil || len(rows) == 0 {
		return head, 0, err
	}
	err = json.Unmarshal(rows[0].Value, &head)
	return head, rows[0].Version, err
}

// follow applies the next page of revisions to config.
func (c *Configurer) follow(ctx context.Context, config inventory.Config) (next inventory.Config, err error) {
	rows, err := c.Table.Scan(ctx, inventory.RevisionPrefix, inventory.RevisionKey(config.Revision+1), pageRows)
	if err != nil {
		return config, err
	}
	if len(rows) == 0 {
		return config, fmt.Errorf("revision %d is missing", config.Revision+1)
	}
	for _, row := range rows {
		var delta inventory.Delta
		if err = json.Unmarshal(row.Value, &delta); err != nil {
			return config, fmt.Errorf("row %s: %w", row.Key, err)
		}
		if config, err = config.Apply(delta); err != nil {
			return config, err
		}
	}
	return config, nil
}

// advance brings config in force unless a newer revision already is.
func (c *Configurer) advance(config *inventory.Config) {
	for {
		old := c.current.Load()
		if old != nil && old.Revision >= config.Revision {
			return
		}
		if c.current.CompareAndSwap(old, config) {
			klog.InfoS("configuration in force", "revision", config.Revision)
			return
		}
	}
}

// Commit writes the change as the next revision. The error wraps ErrConflict
// when the base is old, or tells by platform.CertaintyOf what it did.
func (c *Configurer) Commit(ctx context.Context, delta inventory.Delta) (revision int64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("commit change %q: %w", delta.ChangeID, err)
		}
	}()
	if err = c.Poll(ctx); err != nil {
		return 0, err
	}
	head, version, err := c.head(ctx)
	if err != nil {
		return 0, err
	}
	if head.Revision != delta.Base || c.Current().Revision != delta.Base {
		return 0, ErrConflict
	}
	delta.Time = c.Clock.Now()
	if _, err = c.Current().Apply(delta); err != nil {
		return 0, err
	}
	revision = delta.Base + 1
	return revision, c.write(ctx, delta, inventory.Head{Revision: revision, Snapshot: head.Snapshot}, version)
}

func (c *Configurer) write(ctx context.Context, delta inventory.Delta, head inventory.Head, version int64) (err error) {
	row, err := json.Marshal(delta)
	if err != nil {
		return err
	}
	top, err := json.Marshal(head)
	if err != nil {
		return err
	}
	result, err := c.Table.Apply(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: inventory.HeadKey, Version: version}},
		Writes: []platform.Write{
			{Key: inventory.HeadKey, Value: top},
			{Key: inventory.RevisionKey(head.Revision), Value: row},
		},
	})
	if err != nil {
		return err
	}
	if !result.Applied {
		return ErrConflict
	}
	return c.Poll(ctx)
}
