package configurer

import (
	"context"
	"encoding/json"
	"fmt"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// auditPrefix is the prefix of the keys of the rows that hold one AuditEntry each.
const auditPrefix = "audit/"

// maxAuditKeys bounds the keys that one audit entry lists.
const maxAuditKeys = 50

// Action is the kind of operation that an audit entry records.
type Action string

// The actions.
const (
	ActionChange Action = "change"
	ActionDrain  Action = "drain"
)

// AuditEntry records who did what; one is written with each accepted change.
type AuditEntry struct {
	Time     clock.Millis `json:"time_ms"`
	Operator string       `json:"operator"`
	Action   Action       `json:"action"`
	// Daemon is the name of the daemon that accepted the operation.
	Daemon string `json:"daemon"`
	// Revision and ChangeID are set for changes only.
	Revision int64  `json:"revision,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
	// Keys are the first maxAuditKeys changed entries, Count is the number of all.
	Keys  []inventory.Key `json:"keys,omitempty"`
	Count int             `json:"count,omitempty"`
}

// auditWrite returns the write that stores an entry; its key sorts by time.
func auditWrite(e AuditEntry) (write platform.Write, err error) {
	value, err := json.Marshal(e)
	key := fmt.Sprintf("%s%016d/%s/%d", auditPrefix, e.Time, e.Daemon, e.Revision)
	return platform.Write{Key: key, Value: value}, err
}

// newAuditEntry returns the audit entry of a change that is about to be written.
func (c *Configurer) newAuditEntry(delta inventory.Delta) AuditEntry {
	keys := delta.Keys()
	return AuditEntry{
		Time: delta.Time, Operator: delta.Author, Action: ActionChange, Daemon: c.Daemon,
		Revision: delta.Base + 1, ChangeID: delta.ChangeID,
		Keys: keys[:min(len(keys), maxAuditKeys)], Count: len(keys),
	}
}

// RecordAudit writes an audit entry for an operation that is not a change of the
// configuration.
func (c *Configurer) RecordAudit(ctx context.Context, e AuditEntry) (err error) {
	write, err := auditWrite(e)
	if err != nil {
		return err
	}
	_, err = c.Table.Apply(ctx, platform.Txn{Writes: []platform.Write{write}})
	return err
}

// Audit returns at most limit entries in the order of their time, and the after of
// the next page. An empty after starts at the oldest entry; a limit out of range is
// replaced by maxHistoryPage.
func (c *Configurer) Audit(ctx context.Context, after string, limit int) (entries []AuditEntry, next string, err error) {
	if limit < 1 || limit > maxHistoryPage {
		limit = maxHistoryPage
	}
	from := auditPrefix
	if after != "" {
		// The smallest key greater than a key is the key followed by a zero byte.
		from = auditPrefix + after + "\x00"
	}
	rows, err := c.Table.Scan(ctx, auditPrefix, from, limit)
	if err != nil {
		return nil, after, fmt.Errorf("read audit entries: %w", err)
	}
	entries = []AuditEntry{}
	next = after
	for _, row := range rows {
		var e AuditEntry
		if err = json.Unmarshal(row.Value, &e); err != nil {
			return nil, after, fmt.Errorf("decode row %s: %w", row.Key, err)
		}
		entries = append(entries, e)
		next = row.Key[len(auditPrefix):]
	}
	return entries, next, nil
}
