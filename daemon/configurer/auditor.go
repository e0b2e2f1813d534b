package configurer

import (
	"context"
	"encoding/json"
	"fmt"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// auditPrefix starts the keys of the rows that hold an AuditEntry each.
const auditPrefix = "audit/"

// maxAuditKeys bounds the entries that an audit entry names.
const maxAuditKeys = 50

// Action is what an audit entry tells of.
type Action string

// The actions.
const (
	ActionChange Action = "change"
	ActionDrain  Action = "drain"
)

// AuditEntry tells who did what; one is written with each accepted change.
type AuditEntry struct {
	Time     clock.Millis `json:"time_ms"`
	Operator string       `json:"operator"`
	Action   Action       `json:"action"`
	// Daemon is the one that accepted it.
	Daemon string `json:"daemon"`
	// Revision and ChangeID belong to changes.
	Revision int64  `json:"revision,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
	// Keys are the first entries that were changed, Count how many were.
	Keys  []inventory.Key `json:"keys,omitempty"`
	Count int             `json:"count,omitempty"`
}

// auditWrite returns the write of an entry; its key sorts by time.
func auditWrite(e AuditEntry) (write platform.Write, err error) {
	value, err := json.Marshal(e)
	key := fmt.Sprintf("%s%016d/%s/%d", auditPrefix, e.Time, e.Daemon, e.Revision)
	return platform.Write{Key: key, Value: value}, err
}

// auditOf returns the entry of a change that is about to be written.
func (c *Configurer) auditOf(delta inventory.Delta) AuditEntry {
	keys := delta.Keys()
	return AuditEntry{
		Time: delta.Time, Operator: delta.Author, Action: ActionChange, Daemon: c.Daemon,
		Revision: delta.Base + 1, ChangeID: delta.ChangeID,
		Keys: keys[:min(len(keys), maxAuditKeys)], Count: len(keys),
	}
}

// Note writes an entry about something that is no change.
func (c *Configurer) Note(ctx context.Context, e AuditEntry) (err error) {
	write, err := auditWrite(e)
	if err != nil {
		return err
	}
	_, err = c.Table.Apply(ctx, platform.Txn{Writes: []platform.Write{write}})
	return err
}

// Audit returns entries in the order of their time, and the after of the next
// page; the empty one starts at the oldest.
func (c *Configurer) Audit(ctx context.Context, after string, limit int) (entries []AuditEntry, next string, err error) {
	if limit < 1 || limit > maxHistory {
		limit = maxHistory
	}
	from := auditPrefix
	if after != "" {
		// The first key above a key is the key with a zero byte behind it.
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
			return nil, after, fmt.Errorf("row %s: %w", row.Key, err)
		}
		entries = append(entries, e)
		next = row.Key[len(auditPrefix):]
	}
	return entries, next, nil
}
