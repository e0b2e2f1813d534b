// Package follower replicates a configuration and a list of upstreams from a
// register: an external store of versioned rows with a feed of changes, which
// other systems write. Some daemons read the register; all of them exchange rows
// with their peers. Replica merges rows and does no I/O; Follower connects it to
// the register and to the peers.
package follower

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Row is one row of the register, or the record of its removal.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version Version
	// Removed is set if the row was removed at Version; Value is empty then.
	Removed bool
}

// isSameVersion reports whether another row is the same version of this one.
func (r Row) isSameVersion(other Row) bool {
	return r.Table == other.Table && r.Key == other.Key && r.Version == other.Version
}

// Change is a row that was added, changed or removed.
type Change struct {
	Row
	// OldValue is the value before the change, nil if there was none.
	OldValue []byte
}

// rowID identifies a row across tables.
type rowID struct{ table, key string }

// Replica holds the rows of some tables. It replaces a row only by a newer
// version. Its exported field is set before use. Create it with NewReplica; it is
// not safe for concurrent use.
type Replica struct {
	// Equivalent reports whether two present rows with the same ID have the same
	// content although their bytes differ; nil means that no rows do. A newer row
	// that is equivalent to the known one is a renewal: it is no change, and only a
	// sample is sent to peers, so that renewals cost only the daemons that read the
	// register.
	Equivalent func(known, row Row) bool
	// Outdated reports whether a row that a register restored from a copy lists is older than
	// the known one, which is of an earlier era; nil means that none is. What is known stays
	// until the row is written again.
	Outdated func(known, row Row) bool

	// rows holds the newest row of each ID, as it is sent to peers.
	rows map[rowID]Row
	// renewedVersions holds the newest version of the rows that were renewed since
	// the version in rows.
	renewedVersions map[rowID]Version
	// completeVersions holds, by table, the version up to which all rows are known.
	completeVersions map[string]Version
	// removalHorizons holds, by table, the version after which all removals are
	// known, but for those in listingGaps.
	removalHorizons map[string]Version
	// listedVersions holds, by table, the version of the newest listing, here or at a
	// peer whose rows were taken over.
	listedVersions map[string]Version
	// listingGaps holds, by table, the spans of versions that a listing skipped, in the
	// order of their ends. Rows that were added and removed within a span are not known.
	listingGaps map[string][]versionSpan
}

// versionSpan is the versions after one and before another.
type versionSpan struct{ after, before Version }

// maxListingGaps bounds the listing gaps of a table. The oldest ones are merged into
// the removal horizon.
const maxListingGaps = 16

// maxRemovedRows bounds the removed rows that are kept to be sent to peers.
const maxRemovedRows = 4096

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{rows: map[rowID]Row{}, renewedVersions: map[rowID]Version{}, completeVersions: map[string]Version{}, removalHorizons: map[string]Version{}, listedVersions: map[string]Version{}, listingGaps: map[string][]versionSpan{}}
}

// CompleteVersion returns the version up to which all rows of a table are known,
// 0 before the first listing.
func (r *Replica) CompleteVersion(table string) Version { return r.completeVersions[table] }

// KnowsRemovalsSince reports whether all removals of a table after a version are known,
// for a peer that knows all rows up to that version. A listing shows which of the rows
// known before it are gone, but not the rows that were added and removed since.
func (r *Replica) KnowsRemovalsSince(table string, version Version) bool {
	return version >= r.removalHorizons[table] && !spansContain(r.listingGaps[table], version)
}

// spansContain reports whether a version lies in one of the spans.
func spansContain(spans []versionSpan, version Version) bool {
	return slices.ContainsFunc(spans, func(s versionSpan) bool { return s.after < version && version < s.before })
}

// ApplyListing merges all rows of a table as of a version. Known rows that are
// not listed, and not newer than the version, are marked as removed. Of a register that was
// restored, outdated rows are not taken. A listing that is older than CompleteVersion brings
// no rows back. It returns the changes, sorted by key.
func (r *Replica) ApplyListing(table string, rows []Row, version Version) (changed []Change) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
		if !r.isGone(row, version) && !r.keepsOver(row) {
			changed = r.applyRow(row, changed)
		}
	}
	for id, known := range r.rows {
		if id.table == table && !known.Removed && !listed[id.key] && max(known.Version, r.renewedVersions[id]) <= version {
			changed = r.applyRow(Row{Table: table, Key: id.key, Version: version, Removed: true}, changed)
		}
	}
	r.noteListing(table, version)
	sortChanges(changed)
	return changed
}

// isGone reports whether a row that was present as of a version has been removed since: all
// rows up to a later version are known, and it is not among the present ones.
func (r *Replica) isGone(row Row, version Version) bool {
	known, found := r.rows[rowID{row.Table, row.Key}]
	return version < r.completeVersions[row.Table] && !row.Removed && (!found || known.Removed)
}

// keepsOver reports whether a listed row is outdated. What is known then counts as of the
// row's version, so that all later changes of the row replace it.
func (r *Replica) keepsOver(row Row) bool {
	id := rowID{row.Table, row.Key}
	known, found := r.rows[id]
	if !found || r.Outdated == nil || known.Version.Era() >= row.Version.Era() || !r.Outdated(known, row) {
		return false
	}
	known.Version = row.Version
	r.rows[id] = known
	delete(r.renewedVersions, id)
	return true
}

// noteListing records that all rows of a table are known up to a version.
func (r *Replica) noteListing(table string, version Version) {
	r.listedVersions[table] = max(r.listedVersions[table], version)
	complete := r.completeVersions[table]
	switch {
	case version <= complete:
		return
	case complete < r.removalHorizons[table] || complete == 0:
		r.removalHorizons[table] = max(r.removalHorizons[table], version)
	default:
		r.addListingGap(table, versionSpan{complete, version})
	}
	r.completeVersions[table] = version
}

// addListingGap adds a span of versions in which a listing was made, here or at a peer
// whose rows were taken over.
func (r *Replica) addListingGap(table string, span versionSpan) {
	gaps := r.listingGaps[table]
	if span.before <= r.removalHorizons[table] || slices.Contains(gaps, span) {
		return
	}
	gaps = append(gaps, span)
	slices.SortFunc(gaps, func(a, b versionSpan) int { return cmp.Compare(a.before, b.before) })
	if len(gaps) > maxListingGaps {
		r.removalHorizons[table] = max(r.removalHorizons[table], gaps[0].before)
		gaps = gaps[1:]
	}
	r.listingGaps[table] = gaps
}

// listingGapsSince returns the listing gaps of a table that end after a version.
func (r *Replica) listingGapsSince(table string, version Version) (gaps []versionSpan) {
	for _, gap := range r.listingGaps[table] {
		if gap.before > version {
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// ApplyPeerRows merges the rows of a peer that hold all changes since the version known
// here, up to a version. Rows that have been removed since are not taken. It returns the
// changes, sorted by key.
func (r *Replica) ApplyPeerRows(table string, rows []Row, version Version) (changed []Change) {
	rows = slices.DeleteFunc(rows, func(row Row) bool { return r.isGone(row, version) })
	changed = r.ApplyRows(table, rows, version)
	r.listedVersions[table] = max(r.listedVersions[table], version)
	return changed
}

// ApplyRows merges changed rows up to a version. It returns the changes, sorted by key.
func (r *Replica) ApplyRows(table string, rows []Row, version Version) (changed []Change) {
	for _, row := range rows {
		changed = r.applyRow(row, changed)
	}
	r.completeVersions[table] = max(r.completeVersions[table], version)
	r.prune()
	sortChanges(changed)
	return changed
}

// ApplyFeed merges the rows that changed in the register since CompleteVersion,
// up to a version. Renewals that are not sampled only have their version recorded.
// It returns the changes, sorted by key.
func (r *Replica) ApplyFeed(table string, rows []Row, version Version) (changed []Change) {
	var effective []Row
	for _, row := range rows {
		id := rowID{row.Table, row.Key}
		known, found := r.rows[id]
		if found && r.equivalent(known, row) && row.Version > known.Version && !isSampledRenewal(row) {
			r.renewedVersions[id] = max(r.renewedVersions[id], row.Version)
			continue
		}
		effective = append(effective, row)
	}
	return r.ApplyRows(table, effective, version)
}

// renewalsPerSample is the number of renewals of a row of which one, on average,
// is sent to peers. A row that was removed and added again between two reads looks
// renewed to that reader, while peers of another reader know it as removed; the
// next sampled renewal corrects them.
const renewalsPerSample = 8

// isSampledRenewal reports whether a renewal is sent to peers. All readers select
// the same renewals: independent choices would send each row as often as there
// are readers.
func isSampledRenewal(row Row) bool {
	return xxhash.Sum64String(row.Key+strconv.FormatInt(int64(row.Version), 10))%renewalsPerSample == 0
}

// applyRow merges a row that is newer than the known one and appends the change,
// if any, to changed.
func (r *Replica) applyRow(row Row, changed []Change) []Change {
	id := rowID{row.Table, row.Key}
	known, found := r.rows[id]
	if found && max(known.Version, r.renewedVersions[id]) >= row.Version {
		if row.Version > known.Version && r.equivalent(known, row) {
			// Peers that know of a removal before this renewal get it.
			known.Version = row.Version
			r.rows[id] = known
		}
		return changed
	}
	delete(r.renewedVersions, id)
	if found && r.equivalent(known, row) {
		known.Version = row.Version
		r.rows[id] = known
		return changed
	}
	r.rows[id] = row
	if !found && row.Removed {
		return changed
	}
	return append(changed, Change{Row: row, OldValue: known.Value})
}

// Ignores reports whether a row says something else than the known one and has no higher
// version than that, which is returned.
func (r *Replica) Ignores(row Row) (knownVersion Version, ignored bool) {
	id := rowID{row.Table, row.Key}
	known, found := r.rows[id]
	knownVersion = max(known.Version, r.renewedVersions[id])
	if !found || row.Version > knownVersion || r.equivalent(known, row) {
		return knownVersion, false
	}
	return knownVersion, known.Removed != row.Removed || !bytes.Equal(known.Value, row.Value)
}

func (r *Replica) equivalent(known, row Row) bool {
	return r.Equivalent != nil && !known.Removed && !row.Removed && r.Equivalent(known, row)
}

// VersionOf returns the version of the newest known row with a key, also if it was removed, 0 for
// none.
func (r *Replica) VersionOf(table, key string) Version { return r.rows[rowID{table, key}].Version }

// Rows returns the present rows of a table, sorted by key.
func (r *Replica) Rows(table string) (rows []Row) {
	for id, row := range r.rows {
		if id.table == table && !row.Removed {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows
}

// RowsSince returns all rows of a table that changed after a version, the removed
// ones included, sorted by key.
func (r *Replica) RowsSince(table string, version Version) (rows []Row) {
	for id, row := range r.rows {
		if id.table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows
}

// NewestVersion returns the version up to which everything that peers send of a
// table is known: that of its newest change, or of a later listing.
func (r *Replica) NewestVersion(table string) (version Version) {
	version = r.removalHorizons[table]
	version = max(version, r.listedVersions[table])
	for id, row := range r.rows {
		if id.table == table {
			version = max(version, row.Version)
		}
	}
	return version
}

// prune drops the oldest removed rows, down to half of maxRemovedRows, once that
// many rows are held.
func (r *Replica) prune() {
	if len(r.rows) < maxRemovedRows {
		return
	}
	var removed []Row
	for _, row := range r.rows {
		if row.Removed {
			removed = append(removed, row)
		}
	}
	slices.SortFunc(removed, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, row := range removed[:max(len(removed)-maxRemovedRows/2, 0)] {
		id := rowID{row.Table, row.Key}
		delete(r.rows, id)
		delete(r.renewedVersions, id)
		r.removalHorizons[row.Table] = max(r.removalHorizons[row.Table], row.Version)
	}
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
}
