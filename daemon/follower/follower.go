package follower

import (
	"cmp"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/packer"
)

// ErrHistoryDropped means that the register no longer has the requested changes;
// all rows have to be listed again.
var ErrHistoryDropped = errors.New("register no longer has the requested changes")

// Register reads the rows.
type Register interface {
	// List returns all rows of a table and the version as of which they were read, all of
	// one era. It bounds the time of each reply itself.
	List(ctx context.Context, table string) (rows []Row, version Version, err error)
	// Changes returns the rows that changed after a version and the version up to
	// which these are all changes. If there are none, it blocks for at most wait and
	// then returns no rows. ctx bounds the time of the reply. The error wraps
	// ErrHistoryDropped if the register no longer has the changes since that version, or
	// is in a later era.
	Changes(ctx context.Context, table string, after Version, wait clock.Millis) (rows []Row, version Version, err error)
}

// Decoder decodes the values of rows.
type Decoder interface {
	// Config decodes the configuration, which contains no upstreams.
	Config(value []byte) (config *inventory.Config, err error)
	// Upstream decodes the row of an upstream.
	Upstream(key string, value []byte) (upstream inventory.Upstream, err error)
	// ReleaseOrder decodes a row beside the configuration; isOrder is unset if it is not
	// meant to be an order.
	ReleaseOrder(key string, value []byte) (order inventory.ReleaseOrder, isOrder bool, err error)
	// Evacuation decodes the key of a row beside the configuration; isEvacuation is unset if the
	// row is not meant to evacuate a failure domain.
	Evacuation(key string) (domain string, isEvacuation bool, err error)
}

// Tables names the tables that are followed.
type Tables struct {
	// Config holds the configuration in the row ConfigKey, and orders.
	Config    string
	ConfigKey string
	// Upstreams holds a row for each upstream.
	Upstreams string
}

// Timing of the calls to the register and to peers.
const (
	// changesWait is how long one call of a reader waits for changes. A connection that
	// no longer answers is noticed after it, or when a peer knows more.
	changesWait = 12 * clock.Second
	// probeWait is the wait of the call after a failed one. It is short, so that
	// the recovery of the register is noticed at once and not only with the next
	// change.
	probeWait = 100 * clock.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call, which
	// doubles with each consecutive failure; jitter varies it from 1/2 to 3/2.
	minRetryPause = 100 * clock.Millisecond
	maxRetryPause = 1600 * clock.Millisecond
	// syncInterval is the time between two syncs with a random peer. It lets a
	// daemon that can't read the register learn all changes within two seconds.
	syncInterval = 700 * clock.Millisecond
	// batchPause is the pause after a call that returned rows, so that changes in
	// quick succession are read with one call.
	batchPause = 150 * clock.Millisecond
	// idleCheckInterval is the time between two checks whether a daemon that
	// doesn't read the register has to.
	idleCheckInterval = 200 * clock.Millisecond
	// callCheckInterval is the time between two checks whether a call that waits for
	// changes has to end before its time.
	callCheckInterval = 200 * clock.Millisecond
)

// originRegister names the register where a peer could stand.
const originRegister = "register"

// positionUnlisted is the position of a table whose rows have to be listed.
const positionUnlisted = -1

// Follower is an inventory.Source that replicates a register. Its exported fields
// are set before Run.
type Follower struct {
	Register Register
	Decoder  Decoder
	Tables   Tables
	Clock    clock.Clock
	// Name is that of this daemon.
	Name string
	// Peers exchanges rows with other daemons; nil for none.
	Peers Peers
	// Duty returns this daemon's part in reading the register once it knows a
	// configuration; nil means that of a reader.
	Duty func() Duty
	// ApplyBound is the time within which an acknowledged change has to be in force on
	// all daemons; 0 stands for 30 seconds. A daemon reads the register itself within it
	// unless its peers confirm that there is no change.
	ApplyBound clock.Millis
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer

	current atomic.Pointer[inventory.Config]
	orders  atomic.Pointer[[]ReleaseOrder]
	metrics metrics

	mu      sync.Mutex
	replica *Replica
	// config is the newest configuration that could be decoded, without upstreams,
	// and configRow its row.
	config    *inventory.Config
	configRow Row
	// configSince is when config came into force, and configFrom who sent it.
	configSince clock.Millis
	configFrom  string
	// peerRevision is the revision in force at the peer that was last heard.
	peerRevision int64
	// unusableRevision is a revision of a peer that could not be decoded here, 0 for none.
	unusableRevision int64
	lapses           lapseTracker
	standstill       standstillWatch
	// bootTime reads a clock that goes on while the VM is suspended.
	bootTime func() clock.Millis
	packer   rowPacker
	// evacuations holds the evacuated failure domains, by row key.
	evacuations map[string]evacuation
	// decodedUpstreams caches the decoded rows of upstreams, by key.
	decodedUpstreams map[string]decodedUpstream
	// unavailable records, by table, whether the last call to the register failed.
	unavailable map[string]bool
	// freshness records, by table, how current the known rows are.
	freshness map[string]*freshness
	// withheldReplies counts, by table, the consecutive replies without rows from
	// peers that know newer changes. Such a peer doesn't know which rows were removed,
	// or holds lapsed rows.
	withheldReplies map[string]int
}

// decodedUpstream is the decoded row of an upstream; valid is unset if it could
// not be decoded.
type decodedUpstream struct {
	value    []byte
	upstream inventory.Upstream
	valid    bool
}

//nolint:gochecknoglobals // The configuration in force before one is known.
var emptyConfig = &inventory.Config{}

// Current implements inventory.Source.
func (f *Follower) Current() *inventory.Config {
	if config := f.current.Load(); config != nil {
		return config
	}
	return emptyConfig
}

// Ready reports whether a configuration is known.
func (f *Follower) Ready() bool { return f.current.Load() != nil }

func (f *Follower) setup() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica != nil {
		return
	}
	f.replica = NewReplica()
	if f.bootTime == nil {
		f.bootTime = clock.BootTime
	}
	f.packer.packer = packer.New(gzip.BestSpeed)
	f.replica.Equivalent, f.replica.Outdated = f.equivalentRows, f.isOutdated
	f.decodedUpstreams = map[string]decodedUpstream{}
	f.unavailable = map[string]bool{}
	f.freshness = map[string]*freshness{f.Tables.Config: {}, f.Tables.Upstreams: {}}
	f.withheldReplies = map[string]int{}
	f.metrics.init(f.Registerer, []string{f.Tables.Config, f.Tables.Upstreams}, f.confirmedAge, f.knownEra)
}

// Run replicates the register until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.setup()
	var loops sync.WaitGroup
	for _, table := range []string{f.Tables.Config, f.Tables.Upstreams} {
		loops.Go(func() { f.followTable(ctx, table) })
	}
	loops.Go(func() { f.runPeriodicSync(ctx) })
	loops.Go(func() { f.watchStandstills(ctx) })
	loops.Wait()
}

// runPeriodicSync syncs with a random peer every syncInterval until ctx ends. It
// also drops held rows that have expired.
func (f *Follower) runPeriodicSync(ctx context.Context) {
	for {
		clock.Sleep(ctx, syncInterval)
		if ctx.Err() != nil {
			return
		}
		f.expireLapses()
		if f.Peers != nil {
			f.Peers.SyncOne(ctx)
		}
	}
}

// followTable reads one table until ctx ends.
func (f *Follower) followTable(ctx context.Context, table string) {
	position := Version(positionUnlisted)
	pause, failed := minRetryPause, false
	for ctx.Err() == nil {
		duty := f.duty()
		if !f.mustRead(table, duty) {
			clock.Sleep(ctx, idleCheckInterval)
			position = f.knownPosition(table)
			continue
		}
		timing, isOverdue := newCallTiming(duty.Role, f.ApplyBound), f.isOverdue(table, duty)
		if isOverdue {
			timing = newCallTiming(Lead, f.ApplyBound)
		}
		switch {
		case isOverdue || failed || duty.Role == Idle:
			timing.wait = probeWait
		case duty.Role == Lead:
			// A reply with changes confirms less than one without; the next call makes up for it.
			timing.wait = max(timing.wait-f.confirmedAge(table), probeWait)
		}
		next, hasRows, err := f.readOnce(ctx, table, position, timing)
		switch {
		case err == nil:
			position, pause, failed = next, minRetryPause, false
			if hasRows {
				clock.Sleep(ctx, batchPause)
			}
		case errors.Is(err, ErrHistoryDropped) && position != positionUnlisted:
			klog.InfoS("register no longer has the requested changes; listing all rows", "table", table, "after", position)
			position = positionUnlisted
		case errors.Is(err, errRoleChanged):
			klog.InfoS("reading the register with short waits", "table", table, "after", position)
		case ctx.Err() == nil:
			f.handleFailure(table, err)
			failed = true
			clock.Sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, timing.maxPause)
		}
	}
}

func (f *Follower) duty() (d Duty) {
	if f.Duty == nil {
		return d
	}
	return f.Duty()
}

// mustRead reports whether this daemon has to read a table of the register now.
func (f *Follower) mustRead(table string, duty Duty) bool {
	if duty.Role != Idle || !f.Ready() {
		return true
	}
	overdue := f.isOverdue(table, duty)
	f.mu.Lock()
	defer f.mu.Unlock()
	if overdue && !f.unavailable[table] {
		klog.InfoS("no peer has confirmed the known rows for too long; reading the register", "table", table,
			"confirmed_ms_ago", f.Clock.Now()-f.freshness[table].confirmedAt, "version", f.replica.CompleteVersion(table))
	}
	return overdue
}

// isOverdue reports whether nobody has confirmed the known rows of a table for longer than a duty
// allows.
func (f *Follower) isOverdue(table string, duty Duty) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness[table].isOverdue(f.Clock.Now(), duty)
}

// confirmedAge returns the age of the last confirmation that the rows of a table are
// current.
func (f *Follower) confirmedAge(table string) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now() - f.freshness[table].confirmedAt
}

// Provenance returns where the configuration in force comes from and how current it is.
func (f *Follower) Provenance() (p inventory.Provenance) {
	f.setup()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config == nil {
		return p
	}
	now := f.Clock.Now()
	p = inventory.Provenance{Revision: f.config.Revision, From: f.configFrom, InForceMS: now - f.configSince}
	known := f.freshness[f.Tables.Config]
	if known.confirmedAt > 0 {
		p.ConfirmedBy, p.ConfirmedMSAgo = known.confirmedBy, now-known.confirmedAt
	}
	p.MayBeOutdated = known.confirmedAt == 0 || p.ConfirmedMSAgo > cmp.Or(f.ApplyBound, defaultApplyBound)
	return p
}

// knownEra returns the era of the register up to which all rows of a table are known.
func (f *Follower) knownEra(table string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.CompleteVersion(table).Era()
}

// knownPosition returns the version from which changes of a table have to be read,
// or positionUnlisted.
func (f *Follower) knownPosition(table string) Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if complete := f.replica.CompleteVersion(table); complete > 0 {
		return complete
	}
	return positionUnlisted
}

// readOnce makes one call to the register and applies the rows. It returns the next
// position.
func (f *Follower) readOnce(ctx context.Context, table string, position Version, timing callTiming) (next Version, hasRows bool, err error) {
	var rows []Row
	startedAt, standstills := f.beginRead()
	if position == positionUnlisted {
		rows, next, err = f.Register.List(ctx, table)
	} else {
		rows, next, err = f.waitForChanges(ctx, table, position, timing)
	}
	if err != nil {
		return 0, false, err
	}
	duty := f.duty()
	f.mu.Lock()
	f.lapses.noteSuccess(f.Clock.Now())
	f.checkStandstill()
	mayRelay := duty.RelaysReads || f.freshness[table].isOverdue(f.Clock.Now(), duty)
	if f.standstill.count == standstills {
		hasWaited := position != positionUnlisted && len(rows) == 0
		f.freshness[table].confirm(replySentAt(startedAt, f.Clock.Now(), timing.wait, hasWaited), f.Name)
	}
	isRelayed := mayRelay && f.freshness[table].beginRelay(f.ApplyBound)
	if f.unavailable[table] {
		f.unavailable[table] = false
		klog.InfoS("register answers again; reading continues", "table", table, "version", next)
	}
	f.noteEra(table, next)
	f.logIgnoredRows(rows)
	var changes []Change
	if position == positionUnlisted {
		changes = f.replica.ApplyListing(table, rows, next)
	} else {
		changes = f.replica.ApplyFeed(table, rows, next)
	}
	f.trackLapses(changes)
	f.applyChanges(changes, originRegister)
	f.mu.Unlock()
	if len(changes) > 0 && f.Peers != nil {
		f.Peers.Notify(ctx)
	}
	if isRelayed && f.Peers != nil {
		f.Peers.Relay(ctx)
	}
	return next, len(rows) > 0, nil
}

// beginRead returns the time, and the number of standstills so far.
func (f *Follower) beginRead() (now clock.Millis, standstills int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkStandstill()
	return f.Clock.Now(), f.standstill.count
}

// logIgnoredRows logs the rows of the register that say something else than what is known and
// are not taken, because what is known has a version that is not lower. It is called with mu
// held.
func (f *Follower) logIgnoredRows(rows []Row) {
	for _, row := range rows {
		if known, ignored := f.replica.Ignores(row); ignored {
			klog.InfoS("row of the register is not newer than the known one and is ignored", "table", row.Table, "key", row.Key,
				"row_version", row.Version, "known_version", known)
		}
	}
}

// noteEra records that the register was restored, if a version is of a later era than what is
// known of the table. It is called with mu held.
func (f *Follower) noteEra(table string, version Version) {
	known := f.replica.CompleteVersion(table)
	if known == 0 || version.Era() <= known.Era() {
		return
	}
	klog.InfoS("register was restored from a copy; rows that it lacks stay in force for a while", "table", table,
		"version", version, "known_version", known, "held_ms", rewriteGrace)
	if table == f.Tables.Upstreams {
		f.lapses.noteRestore(f.Clock.Now())
	}
}

// waitForChanges calls the register for changes. It ends the call once the daemon's duty
// or what peers know shows that it must not wait on.
func (f *Follower) waitForChanges(ctx context.Context, table string, position Version, timing callTiming) (rows []Row, version Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, (timing.wait + timing.margin).Duration())
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	call := openCall{table: table, startedAt: f.Clock.Now(), timing: timing}
	go f.supervise(ctx, call, end)
	rows, version, err = f.Register.Changes(ctx, table, position, timing.wait)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = fmt.Errorf("%w (%w)", cause, err)
	}
	return rows, version, err
}

// supervise ends a call that must not wait on, until ctx ends.
func (f *Follower) supervise(ctx context.Context, call openCall, end context.CancelCauseFunc) {
	for clock.Sleep(ctx, callCheckInterval) {
		duty := f.duty()
		f.mu.Lock()
		reason := f.freshness[call.table].endReason(f.Clock.Now(), call, duty, f.ApplyBound)
		f.mu.Unlock()
		if reason != nil {
			end(reason)
			return
		}
	}
}

func (f *Follower) handleFailure(table string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lapses.noteFailure()
	f.metrics.failures.Inc()
	if !f.unavailable[table] {
		f.unavailable[table] = true
		klog.ErrorS(err, "register call failed; the known state stays in force", "table", table, "version", f.replica.CompleteVersion(table))
	}
}
