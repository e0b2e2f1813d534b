package mover

import (
	"context"
	"encoding/json"
	"reflect"

	"k8s.io/klog/v2"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/stager"
)

// seed sets the shares of a daemon that no leader has spoken to yet, from the
// rows of the table, or, where those can't be read, from what the upstreams
// here report: while one of them serves the old version, the new one gets
// nothing.
func (m *Mover) seed(ctx context.Context, config *inventory.Config) {
	m.mu.Lock()
	heard := m.epoch > 0
	m.mu.Unlock()
	if heard {
		return
	}
	rows, err := m.readRows(ctx)
	if err != nil {
		klog.V(1).InfoS("moves not read", "err", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch > 0 {
		return
	}
	for pool, move := range stager.Pick(config.Moves, rows) {
		shares := stager.Resume(rows[move.Name], move)
		if err != nil && !m.reported(move.From) {
			continue
		}
		if known, found := m.seeded[pool]; found && reflect.DeepEqual(known, shares) {
			continue
		}
		m.seeded[pool] = shares
		m.Shares(pool, shares)
	}
}

// reported tells whether an upstream here serves the version. The lock is held.
func (m *Mover) reported(version string) bool {
	for _, r := range m.reports {
		if r.Version == version {
			return true
		}
	}
	return false
}

// readRows reads the rows of all moves.
func (m *Mover) readRows(ctx context.Context) (rows map[string]stager.Row, err error) {
	found, err := m.Table.Scan(ctx, stager.RowPrefix, stager.RowPrefix, maxMoves)
	if err != nil {
		return nil, err
	}
	rows = map[string]stager.Row{}
	for _, r := range found {
		var row stager.Row
		if err = json.Unmarshal(r.Value, &row); err != nil {
			return nil, err
		}
		rows[row.Move] = row
	}
	return rows, nil
}

// seeds are the shares set by seed, by pool.
type seeds map[string]scheduler.Shares
