package inventory

import "fmt"

// Names of the configuration's rows in the platform's table and of its
// snapshots in the object store.
const (
	// HeadKey holds a Head.
	HeadKey = "config/head"
	// RevisionPrefix starts the keys of the rows that hold a Delta each.
	RevisionPrefix = "config/revision/"
	// SnapshotPrefix starts the names of the objects that hold a Config each.
	SnapshotPrefix = "config_snapshot_"
)

// Head is the content of the row that names the newest revision.
type Head struct {
	// Revision is the newest accepted revision.
	Revision int64 `json:"revision"`
	// Snapshot is the newest revision with a snapshot, 0 for none.
	Snapshot int64 `json:"snapshot"`
	// Older is the snapshot before that one, which is still kept; 0 for none.
	Older int64 `json:"older,omitempty"`
}

// RevisionKey returns the key of the row whose delta led to the revision.
// Keys sort as their revisions do.
func RevisionKey(revision int64) string {
	return fmt.Sprintf("%s%016d", RevisionPrefix, revision)
}

// SnapshotName returns the name of the object that holds the revision whole.
func SnapshotName(revision int64) string {
	return fmt.Sprintf("%s%016d", SnapshotPrefix, revision)
}
