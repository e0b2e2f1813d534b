package follower

import (
	"bytes"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
)

// applyChanges puts changes in force that are already in the replica. It is called
// with mu held.
func (f *Follower) applyChanges(changes []Change, origin string) {
	if len(changes) == 0 {
		return
	}
	ordersChanged := false
	for _, c := range changes {
		switch {
		case c.Table == f.Tables.Upstreams && !c.Removed:
			delete(f.lapses.held, c.Key)
		case c.Table == f.Tables.Config && c.Key == f.Tables.ConfigKey && !c.Removed:
			f.applyConfig(c.Row, origin)
		case c.Table == f.Tables.Config && c.Key != f.Tables.ConfigKey:
			ordersChanged = true
		}
	}
	if ordersChanged {
		f.applyOrders(origin)
		f.applyEvacuations(origin)
	}
	f.publish()
}

// minMassRemoval is the number of upstreams that must be removed at once for the
// removal to count as a sign of an outage of the register.
const minMassRemoval = 3

// trackLapses passes changes of the register to the lapse tracker and schedules
// the expiry of the rows that it holds. Rows of peers don't need this: peers send
// only settled versions. It is called with mu held.
func (f *Follower) trackLapses(changes []Change) {
	now, removed := f.Clock.Now(), 0
	for _, c := range changes {
		if c.Table == f.Tables.Upstreams && c.Removed {
			removed++
		}
	}
	if removed >= minMassRemoval && removed > len(f.replica.Rows(f.Tables.Upstreams)) {
		f.lapses.noteMassRemoval(now)
	}
	for _, c := range changes {
		if c.Table == f.Tables.Upstreams {
			f.lapses.noteChange(now, c)
		}
	}
	if expiry := f.lapses.nextExpiry(); expiry > 0 {
		time.AfterFunc((expiry - now).Duration(), f.expireLapses)
	}
}

// expireLapses drops the lapsed rows that were not written again in time.
func (f *Follower) expireLapses() {
	f.mu.Lock()
	defer f.mu.Unlock()
	evacuationsExpired := f.expireEvacuations()
	if f.lapses.expire(f.Clock.Now()) || evacuationsExpired {
		f.publish()
	}
}

// applyConfig puts the configuration of a row in force if it can be decoded and its
// revision is newer. It is called with mu held.
func (f *Follower) applyConfig(row Row, origin string) {
	config, err := f.Decoder.Config(row.Value)
	if err != nil {
		klog.ErrorS(err, "configuration can't be decoded; the previous one stays in force", "row_version", row.Version, "from", origin)
		return
	}
	if f.config != nil && config.Revision <= f.config.Revision {
		return
	}
	f.config, f.configRow = config, row
	f.configSince, f.configFrom = f.Clock.Now(), origin
	logDisjointHomes(config)
	klog.InfoS("configuration in force", "revision", config.Revision, "row_version", row.Version, "from", origin,
		"routes", len(config.Routes), "organisations", len(config.Organisations))
}

// maxLoggedPairs bounds the log lines on homes without a common region.
const maxLoggedPairs = 8

func logDisjointHomes(config *inventory.Config) {
	pairs := config.DisjointHomes()
	for _, pair := range pairs[:min(len(pairs), maxLoggedPairs)] {
		klog.ErrorS(nil, "homes of a route and of an organisation have no region in common; their requests are refused",
			"revision", config.Revision, "route", pair.Route, logger.KeyOrganisation, pair.Organisation, "pairs", len(pairs))
	}
}

// publish puts the newest configuration with the present upstreams in force. It is
// called with mu held.
func (f *Follower) publish() {
	if f.config == nil {
		return
	}
	upstreams := f.listUpstreams()
	previous := f.Current()
	f.logUpstreamChanges(previous.Upstreams, upstreams)
	if slices.Equal(previous.Upstreams, upstreams) {
		// Callers compare lists by identity: an unchanged list is reused.
		upstreams = previous.Upstreams
	}
	next := *f.config
	next.Upstreams = upstreams
	next.Regions = f.regionsWithEvacuations(previous.Regions)
	f.current.Store(&next)
	f.metrics.revision.Set(float64(next.Revision))
}

// listUpstreams returns the upstreams of the configuration's pools, sorted by name.
// It includes lapsed rows that are held. It is called with mu held.
func (f *Follower) listUpstreams() (list []inventory.Upstream) {
	rows := f.replica.Rows(f.Tables.Upstreams)
	for key, row := range f.lapses.held {
		rows = append(rows, Row{Key: key, Value: row.value})
	}
	present := make(map[string]decodedUpstream, len(rows))
	for _, row := range rows {
		decoded := f.decodedUpstreams[row.Key]
		if !bytes.Equal(decoded.value, row.Value) || decoded.value == nil {
			decoded = f.decodeUpstream(row)
		}
		present[row.Key] = decoded
		if pool, found := inventory.Lookup(f.config.Pools, decoded.upstream.Pool); decoded.valid && found {
			list = append(list, forPool(decoded.upstream, pool))
		}
	}
	f.decodedUpstreams = present
	slices.SortFunc(list, func(a, b inventory.Upstream) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return list
}

// equivalentRows implements Replica.Equivalent: it reports whether a row of an
// upstream decodes to the same as the known one. It is called with mu held.
func (f *Follower) equivalentRows(known, row Row) bool {
	if row.Table != f.Tables.Upstreams {
		return bytes.Equal(known.Value, row.Value)
	}
	decoded := f.decodedUpstreams[row.Key]
	if decoded.value == nil || !bytes.Equal(decoded.value, known.Value) || !decoded.valid {
		return false
	}
	u, err := f.Decoder.Upstream(row.Key, row.Value)
	if err != nil || f.config == nil {
		return err == nil && u == decoded.upstream
	}
	pool, _ := inventory.Lookup(f.config.Pools, u.Pool)
	return forPool(u, pool) == forPool(decoded.upstream, pool)
}

// forPool returns an upstream without what its pool makes no use of.
func forPool(u inventory.Upstream, pool inventory.Pool) inventory.Upstream {
	if !pool.Cold.Limits() {
		u.ColdLeftMS = 0
	}
	return u
}

// isOutdated implements Replica.Outdated. A copy of the register may hold upstreams that have
// left, or begun to leave, since.
func (f *Follower) isOutdated(known, row Row) bool {
	if row.Table != f.Tables.Upstreams {
		return false
	}
	u, err := f.Decoder.Upstream(row.Key, row.Value)
	if err != nil || u.Leaving {
		return false
	}
	if known.Removed {
		return true
	}
	before, err := f.Decoder.Upstream(known.Key, known.Value)
	return err == nil && before.Leaving
}

func (f *Follower) decodeUpstream(row Row) decodedUpstream {
	u, err := f.Decoder.Upstream(row.Key, row.Value)
	if err != nil {
		klog.ErrorS(err, "upstream row can't be decoded; the upstream is not used", "key", row.Key, "row_version", row.Version)
	}
	return decodedUpstream{value: append([]byte{}, row.Value...), upstream: u, valid: err == nil}
}

// logUpstreamChanges logs which upstreams were added, changed or removed.
func (f *Follower) logUpstreamChanges(before, after []inventory.Upstream) {
	oldUpstreams := map[string]inventory.Upstream{}
	for _, u := range before {
		oldUpstreams[u.Name] = u
	}
	for _, u := range after {
		if previous, found := oldUpstreams[u.Name]; !found || previous != u {
			klog.InfoS("upstream added or changed", "upstream", u.Name, "pool", u.Pool, "address", u.Address, "leaving", u.Leaving, "version", u.Version, "cold_left_ms", u.ColdLeftMS)
		}
		delete(oldUpstreams, u.Name)
	}
	for name := range oldUpstreams {
		klog.InfoS("upstream removed", "upstream", name)
	}
}
