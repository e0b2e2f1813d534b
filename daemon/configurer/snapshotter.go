package configurer

import (
	"context"
	"encoding/json"
	"fmt"

	"k8s.io/klog/v2"

	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// maxRecordTries bounds the tries to record a snapshot in the head row, which other
// daemons may change meanwhile.
const maxRecordTries = 10

// saveSnapshot writes the whole configuration to the object store and records it in
// the head row. A snapshot that is not recorded is never read and does no harm.
func (c *Configurer) saveSnapshot(ctx context.Context, config *inventory.Config) {
	if err := c.writeSnapshot(ctx, config); err != nil {
		klog.ErrorS(err, "snapshot not written, or the obsolete one not deleted", "revision", config.Revision)
	}
}

func (c *Configurer) writeSnapshot(ctx context.Context, config *inventory.Config) (err error) {
	content, err := pack(config)
	if err != nil {
		return err
	}
	if err = c.Objects.Put(ctx, inventory.SnapshotName(config.Revision), content); err != nil {
		return err
	}
	for range maxRecordTries {
		done, err := c.recordSnapshot(ctx, config.Revision)
		if done || err != nil {
			return err
		}
	}
	return fmt.Errorf("the head row changed during each of %d tries to record the snapshot", maxRecordTries)
}

// recordSnapshot records the snapshot in the head row and deletes the snapshot before
// the previous one. It does nothing if the head has the same or a newer snapshot, or
// is older than this one. done is unset if the head row changed meanwhile.
func (c *Configurer) recordSnapshot(ctx context.Context, revision int64) (done bool, err error) {
	head, err := c.readHead(ctx)
	if err != nil || head.Snapshot >= revision || head.Revision < revision {
		return true, err
	}
	obsolete := head.PreviousSnapshot
	head.PreviousSnapshot = head.Snapshot
	head.Snapshot = revision
	headValue, err := json.Marshal(head.Head)
	if err != nil {
		return false, err
	}
	result, err := c.Table.Apply(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: inventory.HeadKey, Version: head.version}},
		Writes:     []platform.Write{{Key: inventory.HeadKey, Value: headValue}},
	})
	if err != nil || !result.Applied {
		return false, err
	}
	c.rememberHead(headRow{Head: head.Head, version: result.Version})
	if obsolete > 0 {
		return true, c.Objects.Delete(ctx, inventory.SnapshotName(obsolete))
	}
	return true, nil
}
