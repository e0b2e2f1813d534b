package configurer

import (
	"context"
	"encoding/json"
	"fmt"

	"k8s.io/klog/v2"

	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// snapshotTries bounds the tries to name a snapshot in the head row, which
// other changes may move meanwhile.
const snapshotTries = 10

// snapshot writes the configuration whole to the object store and names it in
// the head row. A snapshot that nobody names is harmless.
func (c *Configurer) snapshot(ctx context.Context, config *inventory.Config) {
	if err := c.writeSnapshot(ctx, config); err != nil {
		klog.ErrorS(err, "snapshot not written", "revision", config.Revision)
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
	for range snapshotTries {
		named, err := c.nameSnapshot(ctx, config.Revision)
		if named || err != nil {
			return err
		}
	}
	return fmt.Errorf("the head row moved %d times", snapshotTries)
}

// nameSnapshot puts the snapshot into the head row unless it names a newer
// one, and removes the one before the last.
func (c *Configurer) nameSnapshot(ctx context.Context, revision int64) (named bool, err error) {
	head, err := c.readHead(ctx)
	if err != nil || head.Snapshot >= revision || head.Revision < revision {
		return true, err
	}
	old := head.Older
	head.Older = head.Snapshot
	head.Snapshot = revision
	top, err := json.Marshal(head.Head)
	if err != nil {
		return false, err
	}
	result, err := c.Table.Apply(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: inventory.HeadKey, Version: head.version}},
		Writes:     []platform.Write{{Key: inventory.HeadKey, Value: top}},
	})
	if err != nil || !result.Applied {
		return false, err
	}
	c.remember(headRow{Head: head.Head, version: result.Version})
	if old > 0 {
		return true, c.Objects.Delete(ctx, inventory.SnapshotName(old))
	}
	return true, nil
}
