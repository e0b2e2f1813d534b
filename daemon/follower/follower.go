package follower

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// ErrHistory means that the register no longer has the changes asked for; all
// rows have to be listed again.
var ErrHistory = errors.New("the changes are no longer kept")

// Register is where the rows are read. Each call has a deadline of its own.
type Register interface {
	// List returns all rows of a table and the version that they are as of.
	List(ctx context.Context, table string) (rows []Row, version int64, err error)
	// Changes waits for rows that changed after a version. Without any it
	// returns none when the wait is over. The error wraps ErrHistory where all
	// rows have to be listed.
	Changes(ctx context.Context, table string, after int64, wait clock.Millis) (rows []Row, version int64, err error)
}

// Decoder reads the rows.
type Decoder interface {
	// Config reads the configuration, which names no upstreams.
	Config(value []byte) (config *inventory.Config, err error)
	// Upstream reads the row of an upstream.
	Upstream(key string, value []byte) (upstream inventory.Upstream, err error)
}

// Tables names the tables that are followed.
type Tables struct {
	// Config holds the configuration in the row ConfigKey.
	Config    string
	ConfigKey string
	// Upstreams holds a row for each upstream.
	Upstreams string
}

// Times of the reading.
const (
	// changesWait is how long one call waits for changes. A connection that has
	// gone silent is noticed after it; peers tell the news meanwhile.
	changesWait = 12 * clock.Second
	// probeWait is the same for the first call after one that failed, so that
	// the return of the register is known when it happens and not only with the
	// next change.
	probeWait = 100 * clock.Millisecond
	// minPause and maxPause bound the pause after a call that failed; the pause
	// doubles with each failure in a row.
	minPause = 100 * clock.Millisecond
	maxPause = 1600 * clock.Millisecond
	// meetInterval is the time between two meetings with a random peer, by which
	// a daemon that the register refuses still learns all within two seconds.
	meetInterval = 700 * clock.Millisecond
	// gatherPause lets changes that come together be read with one call.
	gatherPause = 150 * clock.Millisecond
	// idlePause is the time between two looks at whether to read.
	idlePause = 300 * clock.Millisecond
)

// unlisted is the position in a table that has to be listed.
const unlisted = -1

// Follower is an inventory.Source that follows a register. Its exported fields
// are set before Run.
type Follower struct {
	Register Register
	Decoder  Decoder
	Tables   Tables
	Clock    clock.Clock
	// Peers tells other daemons the news and asks for theirs; nil for none.
	Peers Peers
	// Reads tells whether this daemon reads the register itself once it knows a
	// configuration; nil for always. Those that don't hear the news from peers.
	Reads func() bool
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer

	current atomic.Pointer[inventory.Config]
	metrics metrics

	mu   sync.Mutex
	copy *Copy
	// config is the newest configuration that could be read, without upstreams,
	// and configRow the row that it stands in.
	config    *inventory.Config
	configRow Row
	lapses    lapses
	// decoded holds the rows of upstreams as they were read, by key.
	decoded map[string]entry
	// lost tells for each table that the last call failed.
	lost map[string]bool
	// withheld counts for each table the peers in a row that know more than this
	// daemon and could not tell what was removed.
	withheld map[string]int
}

// entry is a row of an upstream that could be read.
type entry struct {
	value    []byte
	upstream inventory.Upstream
	valid    bool
}

//nolint:gochecknoglobals // The configuration before any is known.
var nothing = &inventory.Config{}

// Current implements inventory.Source.
func (f *Follower) Current() *inventory.Config {
	if config := f.current.Load(); config != nil {
		return config
	}
	return nothing
}

// Ready tells whether a configuration is known.
func (f *Follower) Ready() bool { return f.current.Load() != nil }

func (f *Follower) setup() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy != nil {
		return
	}
	f.copy = NewCopy()
	f.copy.Same = f.same
	f.decoded = map[string]entry{}
	f.lost = map[string]bool{}
	f.withheld = map[string]int{}
	f.metrics.init(f.Registerer)
}

// Run follows the register until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.setup()
	var duties sync.WaitGroup
	for _, table := range []string{f.Tables.Config, f.Tables.Upstreams} {
		duties.Go(func() { f.follow(ctx, table) })
	}
	duties.Go(func() { f.tick(ctx) })
	duties.Wait()
}

// tick meets a peer from time to time.
func (f *Follower) tick(ctx context.Context) {
	for {
		clock.Sleep(ctx, meetInterval)
		if ctx.Err() != nil {
			return
		}
		f.settle()
		if f.Peers != nil {
			f.Peers.Meet(ctx)
		}
	}
}

// follow reads one table for as long as ctx lasts.
func (f *Follower) follow(ctx context.Context, table string) {
	position := int64(unlisted)
	pause, span := minPause, changesWait
	for ctx.Err() == nil {
		if !f.reads() {
			clock.Sleep(ctx, idlePause)
			position = f.known(table)
			continue
		}
		next, some, err := f.read(ctx, table, position, span)
		switch {
		case err == nil:
			position, pause, span = next, minPause, changesWait
			if some {
				clock.Sleep(ctx, gatherPause)
			}
		case errors.Is(err, ErrHistory) && position != unlisted:
			klog.InfoS("register has dropped its history", "table", table, "after", position)
			position = unlisted
		case ctx.Err() == nil:
			f.failed(table, err)
			span = probeWait
			clock.Sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxPause)
		}
	}
}

func (f *Follower) reads() bool { return f.Reads == nil || !f.Ready() || f.Reads() }

// known returns the position up to which a table is known.
func (f *Follower) known(table string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if complete := f.copy.Complete(table); complete > 0 {
		return complete
	}
	return unlisted
}

// read makes one call, which waits for changes for at most a span, and takes in
// what it brings.
func (f *Follower) read(ctx context.Context, table string, position int64, span clock.Millis) (next int64, some bool, err error) {
	var rows []Row
	if position == unlisted {
		rows, next, err = f.Register.List(ctx, table)
	} else {
		rows, next, err = f.Register.Changes(ctx, table, position, span)
	}
	if err != nil {
		return 0, false, err
	}
	f.mu.Lock()
	f.lapses.answered(f.Clock.Now())
	if f.lost[table] {
		f.lost[table] = false
		klog.InfoS("register answers again", "table", table, "version", next)
	}
	var changes []Change
	if position == unlisted {
		changes = f.copy.List(table, rows, next)
	} else {
		changes = f.copy.Continue(table, rows, next)
	}
	f.noteLapses(changes)
	f.adopt(changes, "register")
	f.mu.Unlock()
	if len(changes) > 0 && f.Peers != nil {
		f.Peers.Spread(ctx)
	}
	return next, len(rows) > 0, nil
}

func (f *Follower) failed(table string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lapses.failed()
	f.metrics.failures.Inc()
	if !f.lost[table] {
		f.lost[table] = true
		klog.ErrorS(err, "register does not answer", "table", table, "version", f.copy.Complete(table))
	}
}

// adopt brings changes in force; the lock is held.
func (f *Follower) adopt(changes []Change, from string) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		switch {
		case c.Table == f.Tables.Upstreams && !c.Gone:
			delete(f.lapses.held, c.Key)
		case c.Table == f.Tables.Config && c.Key == f.Tables.ConfigKey && !c.Gone:
			f.adoptConfig(c.Row, from)
		}
	}
	f.publish()
}

// leastMassive is the number of rows that must go at once to look like a return
// of the register.
const leastMassive = 3

// noteLapses looks which of the changes that the register told may be lapses, and
// sets the time at which they end; the lock is held. What peers tell is settled.
func (f *Follower) noteLapses(changes []Change) {
	now, gone := f.Clock.Now(), 0
	for _, c := range changes {
		if c.Table == f.Tables.Upstreams && c.Gone {
			gone++
		}
	}
	if gone >= leastMassive && gone > len(f.copy.Rows(f.Tables.Upstreams)) {
		f.lapses.massive(now)
	}
	for _, c := range changes {
		if c.Table == f.Tables.Upstreams {
			f.lapses.note(now, c)
		}
	}
	if at := f.lapses.next(); at > 0 {
		time.AfterFunc((at - now).Duration(), f.settle)
	}
}

// settle ends the lapses whose time is over.
func (f *Follower) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lapses.expire(f.Clock.Now()) {
		f.publish()
	}
}

func (f *Follower) adoptConfig(row Row, from string) {
	config, err := f.Decoder.Config(row.Value)
	if err != nil {
		klog.ErrorS(err, "configuration can't be used; the one before stays in force", "row_version", row.Version, "from", from)
		return
	}
	if f.config != nil && config.Revision <= f.config.Revision {
		return
	}
	f.config, f.configRow = config, row
	klog.InfoS("configuration in force", "revision", config.Revision, "row_version", row.Version, "from", from,
		"routes", len(config.Routes), "organisations", len(config.Organisations))
}

// publish makes what is known the configuration in force; the lock is held.
func (f *Follower) publish() {
	if f.config == nil {
		return
	}
	upstreams := f.upstreams()
	before := f.Current()
	f.tell(before.Upstreams, upstreams)
	if slices.Equal(before.Upstreams, upstreams) {
		// Others compare lists by identity: one that did not change is kept.
		upstreams = before.Upstreams
	}
	next := *f.config
	next.Upstreams = upstreams
	f.current.Store(&next)
	f.metrics.revision.Set(float64(next.Revision))
}

// upstreams returns the upstreams of the configuration's pools, by name.
func (f *Follower) upstreams() (list []inventory.Upstream) {
	rows := f.copy.Rows(f.Tables.Upstreams)
	for key, row := range f.lapses.held {
		rows = append(rows, Row{Key: key, Value: row.value})
	}
	present := make(map[string]entry, len(rows))
	for _, row := range rows {
		e := f.decoded[row.Key]
		if !bytes.Equal(e.value, row.Value) || e.value == nil {
			e = f.decode(row)
		}
		present[row.Key] = e
		if _, found := inventory.Lookup(f.config.Pools, e.upstream.Pool); e.valid && found {
			list = append(list, e.upstream)
		}
	}
	f.decoded = present
	slices.SortFunc(list, func(a, b inventory.Upstream) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return list
}

// same tells that an upstream wrote its row again and nothing that is read of it
// changed; the lock is held.
func (f *Follower) same(known, row Row) bool {
	if row.Table != f.Tables.Upstreams {
		return bytes.Equal(known.Value, row.Value)
	}
	e := f.decoded[row.Key]
	if e.value == nil || !bytes.Equal(e.value, known.Value) || !e.valid {
		return false
	}
	u, err := f.Decoder.Upstream(row.Key, row.Value)
	return err == nil && u == e.upstream
}

func (f *Follower) decode(row Row) entry {
	u, err := f.Decoder.Upstream(row.Key, row.Value)
	if err != nil {
		klog.ErrorS(err, "row names no upstream", "key", row.Key, "row_version", row.Version)
	}
	return entry{value: append([]byte{}, row.Value...), upstream: u, valid: err == nil}
}

// tell logs which upstreams are new, changed or gone.
func (f *Follower) tell(before, after []inventory.Upstream) {
	old := map[string]inventory.Upstream{}
	for _, u := range before {
		old[u.Name] = u
	}
	for _, u := range after {
		if was, found := old[u.Name]; !found || was != u {
			klog.InfoS("upstream listed", "upstream", u.Name, "pool", u.Pool, "address", u.Address, "leaving", u.Leaving, "version", u.Version)
		}
		delete(old, u.Name)
	}
	for name := range old {
		klog.InfoS("upstream gone", "upstream", name)
	}
}
