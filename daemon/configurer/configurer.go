// Package configurer keeps the configuration in force at this daemon, commits
// accepted changes to the platform's table and brings them to all daemons.
package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// pollInterval is the time between two looks at the head row.
const pollInterval = 2 * clock.Second

// Sizes of what is read and kept.
const (
	// pageRows bounds the revisions that one scan returns.
	pageRows = 500
	// recentChanges is the number of changes that are kept for other daemons.
	recentChanges = 512
	// snapshotEvery is the number of revisions between two snapshots.
	snapshotEvery = 200
	// historyRows is the number of revisions whose rows stay in the table.
	historyRows = 20_000
)

// Configurer follows the revisions. Its exported fields are set before Run.
type Configurer struct {
	Table platform.Table
	// Objects holds the snapshots; nil for none.
	Objects platform.ObjectStore
	// Peers are the other daemons; nil for none.
	Peers Peers
	Clock clock.Clock
	// Daemon is the name of this daemon in audit entries.
	Daemon string
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer

	// current is nil until a configuration was read; its revision only grows.
	current atomic.Pointer[inventory.Config]
	// ready is set once the newest known revision is in force and never
	// cleared.
	ready atomic.Bool
	// stored is the last reading at which the table answered, 0 for never.
	stored atomic.Int64
	// moving is held while a configuration is brought in force.
	moving sync.Mutex
	// committing holds one token while a change is written by this daemon.
	committing chan struct{}
	// hurry holds a token while a poll is wanted before its time.
	hurry  chan struct{}
	once   sync.Once
	recent changeLog
	// mu guards head.
	mu sync.Mutex
	// head is the newest head row that was seen.
	head headRow
}

// headRow is a head with the version of its row, 0 where there is none.
type headRow struct {
	inventory.Head

	version int64
}

func (c *Configurer) setup() {
	c.once.Do(func() {
		c.committing = make(chan struct{}, 1)
		c.hurry = make(chan struct{}, 1)
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

// Ready tells whether the newest revision that the table or another daemon
// knew of was in force here at any time since the start.
func (c *Configurer) Ready() bool {
	return c.ready.Load()
}

// Stored returns when the table last answered, and false for never.
func (c *Configurer) Stored() (last clock.Millis, found bool) {
	last = clock.Millis(c.stored.Load())
	return last, last > 0
}

// Run polls the table until ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	c.setup()
	if c.Peers != nil {
		c.Peers.Await(ctx)
	}
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		if err := c.Poll(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "configuration not read")
		}
		select {
		case <-ticker.C:
		case <-c.hurry:
		case <-ctx.Done():
			return
		}
	}
}

// pollSoon asks Run for a poll before its time.
func (c *Configurer) pollSoon() {
	c.setup()
	select {
	case c.hurry <- struct{}{}:
	default:
	}
}

// Poll brings the newest revision in force that the table or another daemon
// knows. The error tells what could not be read, even if the rest sufficed.
func (c *Configurer) Poll(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("poll configuration: %w", err)
		}
	}()
	c.setup()
	head, storeErr := c.readHead(ctx)
	if storeErr == nil {
		storeErr = c.followTable(ctx, head)
	}
	told, peerErr := c.followPeers(ctx, storeErr != nil)
	newest := max(head.Revision, told.revision)
	if (storeErr == nil || told.proved) && c.Current().Revision >= newest {
		c.advance(c.Current(), nil)
		if !c.ready.Swap(true) {
			klog.InfoS("configuration is known", "revision", c.Current().Revision)
		}
	}
	return errors.Join(storeErr, peerErr)
}

// readHead reads the head row. A head older than what is in force is kept out
// of the way: the table may answer with a state of earlier.
func (c *Configurer) readHead(ctx context.Context) (head headRow, err error) {
	rows, err := c.Table.Read(ctx, inventory.HeadKey)
	if err != nil {
		return head, err
	}
	c.stored.Store(int64(c.Clock.Now()))
	if len(rows) > 0 {
		if head, err = parseHead(rows[0]); err != nil {
			return head, err
		}
	}
	c.remember(head)
	return head, nil
}

func parseHead(row platform.Row) (head headRow, err error) {
	head.version = row.Version
	err = json.Unmarshal(row.Value, &head.Head)
	return head, err
}

func (c *Configurer) remember(head headRow) {
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

// followTable brings the head's revision in force.
func (c *Configurer) followTable(ctx context.Context, head headRow) (err error) {
	config := c.Current()
	if head.Revision < config.Revision {
		klog.V(1).InfoS("the table answers with an older state", "head", head.Revision, "in_force", config.Revision)
		return nil
	}
	if head.Snapshot > config.Revision && head.Revision-config.Revision > pageRows {
		if snapshot, err := c.readSnapshot(ctx, head.Snapshot); err == nil {
			c.advance(snapshot, nil)
		} else {
			klog.ErrorS(err, "snapshot not read", "revision", head.Snapshot)
		}
	}
	for c.Current().Revision < head.Revision {
		if err = c.followPage(ctx); err != nil {
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
		err = fmt.Errorf("snapshot %d holds another revision", revision)
	}
	return config, err
}

// followPage applies the next page of revisions.
func (c *Configurer) followPage(ctx context.Context) (err error) {
	from := c.Current().Revision + 1
	deltas, err := c.history(ctx, from, pageRows)
	if err != nil {
		return err
	}
	if len(deltas) == 0 {
		return fmt.Errorf("revision %d is missing", from)
	}
	return c.applyAll(deltas)
}

// history reads the changes that led to the revisions from the given one on.
func (c *Configurer) history(ctx context.Context, from int64, limit int) (deltas []inventory.Delta, err error) {
	rows, err := c.Table.Scan(ctx, inventory.RevisionPrefix, inventory.RevisionKey(from), limit)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		var delta inventory.Delta
		if err = json.Unmarshal(row.Value, &delta); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		deltas = append(deltas, delta)
	}
	return deltas, nil
}

// applyAll brings the changes in force one after the other and skips those
// that already are.
func (c *Configurer) applyAll(deltas []inventory.Delta) (err error) {
	c.moving.Lock()
	defer c.moving.Unlock()
	for _, delta := range deltas {
		if delta.Base < c.Current().Revision {
			continue
		}
		next, err := c.Current().Apply(delta)
		if err != nil {
			return err
		}
		c.put(&next, &delta)
	}
	return nil
}

// advance brings config in force unless a newer revision already is. delta is
// the change that led to it, nil where it is not known.
func (c *Configurer) advance(config *inventory.Config, delta *inventory.Delta) {
	c.moving.Lock()
	defer c.moving.Unlock()
	c.put(config, delta)
}

// put is advance for callers that hold c.moving.
func (c *Configurer) put(config *inventory.Config, delta *inventory.Delta) {
	old := c.current.Load()
	if old != nil && old.Revision >= config.Revision {
		return
	}
	c.recent.add(delta)
	c.current.Store(config)
	klog.InfoS("configuration in force", "revision", config.Revision)
}
