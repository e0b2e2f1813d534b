package inventory

import "fmt"

// Keys of the configuration's rows in the platform's table, and names of its
// snapshots in the object store.
const (
	// HeadKey is the key of the row that holds a Head.
	HeadKey = "config/head"
	// RevisionPrefix is the prefix of the keys of rows that hold one Delta each.
	RevisionPrefix = "config/revision/"
	// SnapshotPrefix is the prefix of the names of objects that hold one Config
	// each.
	SnapshotPrefix = "config_snapshot_"
)

// Head is the content of the row that names the newest revision.
type Head struct {
	// Revision is the newest accepted revision.
	Revision int64 `json:"revision"`
	// Snapshot is the newest revision with a snapshot, 0 for none.
	Snapshot int64 `json:"snapshot"`
	// PreviousSnapshot is the revision of the previous snapshot, which is still kept; 0 for
	// none.
	PreviousSnapshot int64 `json:"older,omitempty"`
}

// RevisionKey returns the key of the row whose Delta led to the revision. Keys
// sort in the order of their revisions.
func RevisionKey(revision int64) string {
	return fmt.Sprintf("%s%016d", RevisionPrefix, revision)
}

// SnapshotName returns the name of the object that holds the whole Config of
// the revision.
func SnapshotName(revision int64) string {
	return fmt.Sprintf("%s%016d", SnapshotPrefix, revision)
}
