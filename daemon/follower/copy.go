// Package follower keeps a copy of a configuration and of a list of upstreams
// that others write into an outside register. Each daemon reads the register
// itself and hears from its peers what it could not read. Copy decides and is
// pure; Follower joins it to the register and to the peers.
package follower

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Row is one row of the register, or the news that it was removed.
type Row struct {
	Table string
	Key   string
	Value []byte
	// Version orders all changes of all rows.
	Version int64
	// Gone tells that the row was removed at Version; Value is empty then.
	Gone bool
}

// Change is a row that is new, other than before, or gone.
type Change struct {
	Row
	// Before is the value that the row had, nil for none.
	Before []byte
}

// place names a row.
type place struct{ table, key string }

// Copy holds the rows of some tables. It only ever takes newer rows. Its
// exported field is set before use. Create it with NewCopy; it is not safe for
// concurrent use.
type Copy struct {
	// Same tells that two present rows of one place say the same although their
	// bytes differ; nil for never. Such a row is no change, and few of them are
	// told to peers: writers that renew their rows cost only those that read.
	Same func(known, row Row) bool

	// rows holds the newest row of each place that peers are told.
	rows map[place]Row
	// renewed holds the newest version of the rows that were written again since.
	renewed map[place]int64
	// complete is the version up to which all rows of a table are known.
	complete map[string]int64
	// removals is the version of a table after which all removals are known.
	removals map[string]int64
}

// maxGone bounds the removed rows that are remembered for the peers.
const maxGone = 4096

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{rows: map[place]Row{}, renewed: map[place]int64{}, complete: map[string]int64{}, removals: map[string]int64{}}
}

// Complete returns the version up to which all rows of a table are known, 0
// before the first listing.
func (c *Copy) Complete(table string) int64 { return c.complete[table] }

// Removals returns the version of a table after which all removals are known: a
// listing names no rows that came and went before it.
func (c *Copy) Removals(table string) int64 { return c.removals[table] }

// List takes in all rows of a table as they were at a version. Known rows that
// are not among them were removed. It returns the rows that changed.
func (c *Copy) List(table string, rows []Row, version int64) (changed []Change) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
		changed = c.take(row, changed)
	}
	for at, known := range c.rows {
		if at.table == table && !known.Gone && !listed[at.key] && max(known.Version, c.renewed[at]) <= version {
			changed = c.take(Row{Table: table, Key: at.key, Version: version, Gone: true}, changed)
		}
	}
	c.complete[table] = max(c.complete[table], version)
	c.removals[table] = max(c.removals[table], version)
	sortChanges(changed)
	return changed
}

// Apply takes in changed rows that a peer told, up to a version. It returns the
// rows that changed.
func (c *Copy) Apply(table string, rows []Row, version int64) (changed []Change) {
	for _, row := range rows {
		changed = c.take(row, changed)
	}
	c.complete[table] = max(c.complete[table], version)
	c.prune()
	sortChanges(changed)
	return changed
}

// Continue takes in what the register changed since the version up to which its
// table is known here. It returns the rows that changed.
func (c *Copy) Continue(table string, rows []Row, version int64) (changed []Change) {
	var told []Row
	for _, row := range rows {
		at := place{row.Table, row.Key}
		known, found := c.rows[at]
		if found && c.same(known, row) && row.Version > known.Version && !toldAgain(row) {
			c.renewed[at] = max(c.renewed[at], row.Version)
			continue
		}
		told = append(told, row)
	}
	return c.Apply(table, told, version)
}

// renewalsPerNews is the number of renewals of a row of which one, on average, is
// told to peers. A row that went and came back between two reads looks renewed to
// one reader and is gone for those that another one told; they learn from the next.
const renewalsPerNews = 8

// toldAgain chooses the renewals that are told, the same ones at all readers: a
// choice of each one's own would send each row as often as there are readers.
func toldAgain(row Row) bool {
	return xxhash.Sum64String(row.Key+strconv.FormatInt(row.Version, 10))%renewalsPerNews == 0
}

func (c *Copy) take(row Row, changed []Change) []Change {
	at := place{row.Table, row.Key}
	known, found := c.rows[at]
	if found && max(known.Version, c.renewed[at]) >= row.Version {
		return changed
	}
	delete(c.renewed, at)
	if found && c.same(known, row) {
		known.Version = row.Version
		c.rows[at] = known
		return changed
	}
	c.rows[at] = row
	if !found && row.Gone {
		return changed
	}
	return append(changed, Change{Row: row, Before: known.Value})
}

func (c *Copy) same(known, row Row) bool {
	return c.Same != nil && !known.Gone && !row.Gone && c.Same(known, row)
}

// Rows returns the present rows of a table, sorted by key.
func (c *Copy) Rows(table string) (rows []Row) {
	for at, row := range c.rows {
		if at.table == table && !row.Gone {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows
}

// Newer returns all rows of a table that changed after a version, the removed
// ones included, sorted by key.
func (c *Copy) Newer(table string, version int64) (rows []Row) {
	for at, row := range c.rows {
		if at.table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows
}

// Newest returns the version up to which all that peers tell of a table is known:
// that of its newest change, or of a later listing.
func (c *Copy) Newest(table string) (version int64) {
	version = c.removals[table]
	for at, row := range c.rows {
		if at.table == table {
			version = max(version, row.Version)
		}
	}
	return version
}

// prune forgets the oldest removed rows where there are too many.
func (c *Copy) prune() {
	if len(c.rows) < maxGone {
		return
	}
	var gone []Row
	for _, row := range c.rows {
		if row.Gone {
			gone = append(gone, row)
		}
	}
	slices.SortFunc(gone, func(a, b Row) int { return int(a.Version - b.Version) })
	for _, row := range gone[:max(len(gone)-maxGone/2, 0)] {
		at := place{row.Table, row.Key}
		delete(c.rows, at)
		delete(c.renewed, at)
		c.removals[row.Table] = max(c.removals[row.Table], row.Version)
	}
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
}
