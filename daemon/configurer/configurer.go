// Package configurer keeps the configuration that is in force at this daemon. It
// commits changes as numbered revisions to the platform's table, guarded by
// optimistic concurrency control on a head row, and pushes them to all daemons.
// Daemons that miss a push poll the table and fetch from their peers.
package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// pollInterval is the time between two reads of the head row.
const pollInterval = 2 * clock.Second

// Limits of reading and retention, in revisions.
const (
	// scanPageRows bounds the revisions that one scan returns.
	scanPageRows = 500
	// maxRecentChanges is the number of changes that are kept in memory for other
	// daemons.
	maxRecentChanges = 512
	// revisionsPerSnapshot is the number of revisions between two snapshots.
	revisionsPerSnapshot = 200
	// retainedRevisions is the number of revisions whose rows stay in the table.
	retainedRevisions = 20_000
)

// Configurer keeps the newest revision in force and commits new ones. Its exported
// fields are set before Run.
type Configurer struct {
	Table platform.Table
	// Objects stores the snapshots; nil for no snapshots.
	Objects platform.ObjectStore
	// Peers are the other daemons; nil for none.
	Peers Peers
	Clock clock.Clock
	// Daemon is the name of this daemon in audit entries.
	Daemon string
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer

	// current is nil until a configuration is known; its revision only grows.
	current atomic.Pointer[inventory.Config]
	// ready is set once the newest known revision is in force, and never cleared.
	ready atomic.Bool
	// lastTableRead is when the table last answered, in clock.Millis; 0 for never.
	lastTableRead atomic.Int64
	// activateMu is held while a configuration is put in force.
	activateMu sync.Mutex
	// commitToken holds one token while this daemon commits a change.
	commitToken chan struct{}
	// pollRequest holds a token while a poll before the next interval is requested.
	pollRequest   chan struct{}
	setupOnce     sync.Once
	recentChanges changeLog
	// mu guards head.
	mu sync.Mutex
	// head is the newest head row that was read or written.
	head headRow
}

// headRow is a head with the version of its row, 0 if there is no row.
type headRow struct {
	inventory.Head

	version int64
}

func (c *Configurer) setup() {
	c.setupOnce.Do(func() {
		c.commitToken = make(chan struct{}, 1)
		c.pollRequest = make(chan struct{}, 1)
		if c.Registerer == nil {
			return
		}
		c.Registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "yuccaspread_configuration_revision",
			Help: "Revision of the configuration in force at this daemon.",
		}, func() float64 { return float64(c.Current().Revision) }))
	})
}

// Current implements inventory.Source.
func (c *Configurer) Current() *inventory.Config {
	if config := c.current.Load(); config != nil {
		return config
	}
	return &inventory.Config{}
}

// Ready reports whether, at any time since the start, the newest revision that the
// table and the other daemons knew was in force here. While the table is down, that
// requires the answer of another daemon that is ready.
func (c *Configurer) Ready() bool {
	return c.ready.Load()
}

// LastTableRead returns when the table last answered, and false if it never did.
func (c *Configurer) LastTableRead() (last clock.Millis, found bool) {
	last = clock.Millis(c.lastTableRead.Load())
	return last, last > 0
}

// Run polls the table and the other daemons until ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	c.setup()
	if c.Peers != nil {
		c.Peers.AwaitDiscovery(ctx)
	}
	ticker := clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := c.Poll(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "configuration poll failed; the next one follows within the poll interval")
		}
		select {
		case <-ticker.C:
		case <-c.pollRequest:
		case <-ctx.Done():
			return
		}
	}
}

// requestPoll makes Run poll without waiting for the next interval.
func (c *Configurer) requestPoll() {
	c.setup()
	select {
	case c.pollRequest <- struct{}{}:
	default:
	}
}

// Poll puts the newest revision in force that the table or another daemon knows. The
// error tells what could not be read, even if the rest sufficed.
func (c *Configurer) Poll(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("poll configuration: %w", err)
		}
	}()
	c.setup()
	head, tableErr := c.readHead(ctx)
	if tableErr == nil {
		tableErr = c.applyFromTable(ctx, head)
	}
	answers, peerErr := c.syncFromPeers(ctx, tableErr != nil)
	newest := max(head.Revision, answers.highestRevision)
	if (tableErr == nil || answers.anyReady) && c.Current().Revision >= newest {
		c.activate(c.Current(), nil)
		if !c.ready.Swap(true) {
			klog.InfoS("newest configuration is known; the daemon is ready", "revision", c.Current().Revision)
		}
	}
	return errors.Join(tableErr, peerErr)
}

// readHead reads the head row. It doesn't remember a head older than the newest
// known one, because the table may return an earlier state.
func (c *Configurer) readHead(ctx context.Context) (head headRow, err error) {
	rows, err := c.Table.Read(ctx, inventory.HeadKey)
	if err != nil {
		return head, err
	}
	c.lastTableRead.Store(int64(c.Clock.Now()))
	if len(rows) > 0 {
		if head, err = parseHead(rows[0]); err != nil {
			return head, err
		}
	}
	c.rememberHead(head)
	return head, nil
}

func parseHead(row platform.Row) (head headRow, err error) {
	head.version = row.Version
	err = json.Unmarshal(row.Value, &head.Head)
	return head, err
}

// rememberHead stores the head as the newest known one unless it is older.
func (c *Configurer) rememberHead(head headRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if head.Revision > c.head.Revision || head.Revision == c.head.Revision && head.version > c.head.version {
		c.head = head
	}
}

func (c *Configurer) knownHead() headRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// applyFromTable puts the revision of the head in force. It starts from the snapshot
// if the daemon is more than one page of revisions behind.
func (c *Configurer) applyFromTable(ctx context.Context, head headRow) (err error) {
	config := c.Current()
	if head.Revision < config.Revision {
		klog.V(1).InfoS("table returned an older head than the revision in force; head ignored", "head", head.Revision, "in_force", config.Revision)
		return nil
	}
	if head.Snapshot > config.Revision && head.Revision-config.Revision > scanPageRows {
		if snapshot, err := c.readSnapshot(ctx, head.Snapshot); err == nil {
			c.activate(snapshot, nil)
		} else {
			klog.ErrorS(err, "snapshot not read; applying the revisions one by one", "revision", head.Snapshot)
		}
	}
	for c.Current().Revision < head.Revision {
		if err = c.applyNextPage(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configurer) readSnapshot(ctx context.Context, revision int64) (config *inventory.Config, err error) {
	if c.Objects == nil {
		return nil, platform.ErrNotFound
	}
	content, err := c.Objects.Get(ctx, inventory.SnapshotName(revision))
	if err != nil {
		return nil, err
	}
	config, err = unpack[*inventory.Config](content)
	if err == nil && (config == nil || config.Revision != revision) {
		err = fmt.Errorf("snapshot %d contains another revision", revision)
	}
	return config, err
}

// applyNextPage reads and applies the next page of revisions.
func (c *Configurer) applyNextPage(ctx context.Context) (err error) {
	first := c.Current().Revision + 1
	deltas, err := c.readDeltas(ctx, first, scanPageRows)
	if err != nil {
		return err
	}
	if len(deltas) == 0 {
		return fmt.Errorf("revision %d is missing in the table", first)
	}
	return c.applyDeltas(deltas)
}

// readDeltas reads the changes that led to the revisions from first on, at most
// limit.
func (c *Configurer) readDeltas(ctx context.Context, first int64, limit int) (deltas []inventory.Delta, err error) {
	rows, err := c.Table.Scan(ctx, inventory.RevisionPrefix, inventory.RevisionKey(first), limit)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		var delta inventory.Delta
		if err = json.Unmarshal(row.Value, &delta); err != nil {
			return nil, fmt.Errorf("decode row %s: %w", row.Key, err)
		}
		deltas = append(deltas, delta)
	}
	return deltas, nil
}

// applyDeltas puts the changes in force in order and skips those that already are.
func (c *Configurer) applyDeltas(deltas []inventory.Delta) (err error) {
	c.activateMu.Lock()
	defer c.activateMu.Unlock()
	for _, delta := range deltas {
		if delta.Base < c.Current().Revision {
			continue
		}
		next, err := c.Current().Apply(delta)
		if err != nil {
			return err
		}
		c.activateLocked(&next, &delta)
	}
	return nil
}

// activate puts config in force unless the same or a newer revision already is.
// delta is the change that led to it, nil if it is not known.
func (c *Configurer) activate(config *inventory.Config, delta *inventory.Delta) {
	c.activateMu.Lock()
	defer c.activateMu.Unlock()
	c.activateLocked(config, delta)
}

// activateLocked is activate for callers that hold activateMu.
func (c *Configurer) activateLocked(config *inventory.Config, delta *inventory.Delta) {
	old := c.current.Load()
	if old != nil && old.Revision >= config.Revision {
		return
	}
	c.recentChanges.add(delta)
	c.current.Store(config)
	klog.InfoS("configuration in force", "revision", config.Revision)
}
