package follower

import (
	"cmp"
	"slices"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
)

// knownVersions returns the settled version of each table. All rows up to it are
// known, because a listing is complete and later changes come in order.
func (f *Follower) knownVersions() (have []*wire.TableVersion) {
	f.setup()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, table := range []string{f.Tables.Config, f.Tables.Upstreams} {
		have = append(have, &wire.TableVersion{Table: table, Version: int64(f.settledVersion(table)), ConfirmedMsAgo: f.confirmedMSAgo(table), ConfirmedBy: f.freshness[table].confirmedBy})
	}
	if f.config != nil {
		have[0].Revision = f.config.Revision
	}
	return have
}

// confirmedMSAgo returns the age of the confirmation that peers may rely on: none
// while lapsed rows are held, because those are not sent. It is called with mu held.
func (f *Follower) confirmedMSAgo(table string) int64 {
	confirmedAt := f.freshness[table].confirmedAt
	if confirmedAt == 0 || f.settledVersion(table) < f.replica.NewestVersion(table) {
		return 0
	}
	return int64(max(f.Clock.Now()-confirmedAt, 1))
}

// noteConfirmations takes over what a peer states: its revision, and the age of its rows, for
// the tables of which it knows no newer change.
func (f *Follower) noteConfirmations(peerVersions []*wire.TableVersion) {
	f.setup()
	f.mu.Lock()
	defer f.mu.Unlock()
	isCredible := f.checkStandstill()
	for _, v := range peerVersions {
		if v.GetTable() == f.Tables.Config {
			f.peerRevision = v.GetRevision()
		}
		known, followed := f.freshness[v.GetTable()]
		if isCredible && followed && v.GetConfirmedMsAgo() > 0 && Version(v.GetVersion()) <= f.settledVersion(v.GetTable()) {
			known.confirm(f.Clock.Now()-clock.Millis(v.GetConfirmedMsAgo()), v.GetConfirmedBy())
		}
	}
}

// noteRelay records that what is confirmed here is being relayed, and returns it.
func (f *Follower) noteRelay() (relayed confirmations) {
	f.setup()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range f.freshness {
		known.relayedAt = known.confirmedAt
	}
	return confirmations{f.freshness[f.Tables.Config].confirmedAt, f.freshness[f.Tables.Upstreams].confirmedAt}
}

// settledVersion returns the version up to which all rows of a table may be sent to
// peers: a row that may only have lapsed is not sent as removed. It is called with
// mu held.
func (f *Follower) settledVersion(table string) Version {
	newest := f.replica.NewestVersion(table)
	if table == f.Tables.Upstreams {
		return f.lapses.settledVersion(newest)
	}
	return newest
}

// isBehind reports whether a peer knows newer changes of a table, or a newer revision: a
// register that was restored may hold an older one at a higher version.
func (f *Follower) isBehind(peerVersions []*wire.TableVersion) bool {
	own := versionsByTable(f.knownVersions())
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range peerVersions {
		newest, followed := own[v.GetTable()]
		if followed && (Version(v.GetVersion()) > newest || f.lacksRevision(v.GetRevision())) {
			return true
		}
	}
	return false
}

// requestedVersions returns the versions after which rows are requested from a
// peer: the known versions, or 0 to request a table whole or a newer revision.
func (f *Follower) requestedVersions() (have []*wire.TableVersion) {
	have = f.knownVersions()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range have {
		lacksRevision := v.GetTable() == f.Tables.Config && f.lacksRevision(f.peerRevision)
		if lacksRevision || f.withheldReplies[v.GetTable()] >= maxWithheldReplies {
			v.Version = 0
		}
	}
	return have
}

// reply returns the rows that a peer lacks, packed if the peer accepts that.
func (f *Follower) reply(in *wire.SyncRequest) (out *wire.SyncReply, err error) {
	out = f.buildReply(in)
	if in.GetAcceptsPacked() {
		err = f.packer.packRows(out)
	}
	return out, err
}

// buildReply returns the rows that a peer lacks, given the versions that it knows.
func (f *Follower) buildReply(in *wire.SyncRequest) (out *wire.SyncReply) {
	have := f.knownVersions()
	out = &wire.SyncReply{Have: have}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range in.GetHave() {
		rows, whole, complete := f.rowsSince(v.GetTable(), Version(v.GetVersion()))
		switch {
		case whole:
			out.Whole = append(out.Whole, v.GetTable())
		case !complete:
			continue
		case len(rows) > maxReplyRows:
			rows = oldestRows(rows)
			for _, h := range have {
				if h.GetTable() == v.GetTable() {
					h.Version, h.ConfirmedMsAgo = int64(rows[len(rows)-1].Version), 0
				}
			}
		}
		out.Complete = append(out.Complete, v.GetTable())
		for _, gap := range f.replica.listingGapsSince(v.GetTable(), Version(v.GetVersion())) {
			out.Gaps = append(out.Gaps, &wire.VersionGap{Table: v.GetTable(), After: int64(gap.after), Before: int64(gap.before)})
		}
		for _, row := range rows {
			out.Rows = append(out.Rows, f.packer.toWire(row, in.GetAcceptsPacked()))
		}
	}
	return out
}

// oldestRows returns maxReplyRows of the oldest of more rows, and those of the same version as the
// last of these: the next reply continues after it. Rows that a listing showed to be removed
// have its version.
func oldestRows(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	end := maxReplyRows
	for end < len(rows) && rows[end].Version == rows[end-1].Version {
		end++
	}
	return rows[:end]
}

// rowsSince returns the settled rows of a table that changed after a version. If
// it is not known which rows were removed since, it returns all present rows and
// sets whole; or it returns no rows and unsets complete, if the table is too large to
// be sent unrequested or not settled. It is called with mu held.
func (f *Follower) rowsSince(table string, version Version) (rows []Row, whole, complete bool) {
	settled := f.settledVersion(table)
	if !f.replica.KnowsRemovalsSince(table, version) {
		rows = f.replica.Rows(table)
		if settled < f.replica.NewestVersion(table) || (version > 0 && len(rows) > smallTableRows) {
			return nil, false, false
		}
		whole = true
	} else {
		rows = f.replica.RowsSince(table, version)
	}
	if usable := f.configRow; table == usable.Table && version < usable.Version && !slices.ContainsFunc(rows, usable.isSameVersion) {
		// The newest row may be one that can't be decoded.
		rows = append([]Row{usable}, rows...)
	}
	return slices.DeleteFunc(rows, func(row Row) bool { return row.Version > settled }), whole, true
}

// applyReply applies the rows of a peer's reply and reports whether any changed.
func (f *Follower) applyReply(reply *wire.SyncReply, peer string) (changed bool) {
	f.setup()
	if err := unpackRows(reply); err != nil {
		klog.ErrorS(err, "rows of a peer can't be unpacked; its reply is not used", "peer", peer)
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	byTable := map[string][]Row{}
	for _, r := range reply.GetRows() {
		row, err := fromWire(r)
		if err != nil {
			klog.ErrorS(err, "row of a peer can't be unpacked; its reply is not used", "table", r.GetTable(), "key", r.GetKey(), "peer", peer)
			return false
		}
		byTable[row.Table] = append(byTable[row.Table], row)
	}
	peerVersions := versionsByTable(reply.GetHave())
	var changes []Change
	for _, table := range []string{f.Tables.Config, f.Tables.Upstreams} {
		rows, whole := byTable[table], slices.Contains(reply.GetWhole(), table)
		gaps := gapsOf(reply, table)
		if !whole && spansContain(gaps, f.replica.NewestVersion(table)) {
			// Rows that have become known here since the request may be gone as of the reply.
			continue
		}
		for _, gap := range gaps {
			f.replica.addListingGap(table, gap)
		}
		switch {
		case whole:
			changes = append(changes, f.replica.ApplyListing(table, rows, peerVersions[table])...)
		case slices.Contains(reply.GetComplete(), table):
			changes = append(changes, f.replica.ApplyPeerRows(table, rows, peerVersions[table])...)
		case len(rows) > 0:
			changes = append(changes, f.replica.ApplyRows(table, rows, peerVersions[table])...)
		case peerVersions[table] > f.settledVersion(table):
			f.withheldReplies[table]++
			continue
		}
		f.withheldReplies[table] = 0
	}
	for _, c := range changes {
		f.freshness[c.Table].newsAt = f.Clock.Now()
	}
	f.applyChanges(changes, peer)
	return f.applyNewerRevision(byTable[f.Tables.Config], peer) || len(changes) > 0
}

// applyNewerRevision puts a configuration of a peer in force that is newer by its revision,
// although the replica has a row of a higher version. It is called with mu held.
func (f *Follower) applyNewerRevision(rows []Row, peer string) (applied bool) {
	before := f.config
	for _, row := range rows {
		if row.Key == f.Tables.ConfigKey && !row.Removed {
			f.applyConfig(row, peer)
		}
	}
	if len(rows) > 0 && f.lacksRevision(f.peerRevision) {
		f.unusableRevision = f.peerRevision
	}
	if applied = f.config != before; applied {
		f.publish()
	}
	return applied
}

// lacksRevision reports whether a revision is newer than the one in force, and has not been found
// unusable here. It is called with mu held.
func (f *Follower) lacksRevision(revision int64) bool {
	known := f.unusableRevision
	if f.config != nil {
		known = max(known, f.config.Revision)
	}
	return revision > known
}

// gapsOf returns the listing gaps that a reply names for a table.
func gapsOf(reply *wire.SyncReply, table string) (gaps []versionSpan) {
	for _, gap := range reply.GetGaps() {
		if gap.GetTable() == table {
			gaps = append(gaps, versionSpan{Version(gap.GetAfter()), Version(gap.GetBefore())})
		}
	}
	return gaps
}

func versionsByTable(versions []*wire.TableVersion) map[string]Version {
	byTable := make(map[string]Version, len(versions))
	for _, v := range versions {
		byTable[v.GetTable()] = Version(v.GetVersion())
	}
	return byTable
}
