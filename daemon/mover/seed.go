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

// seedShares sets the shares while this daemon has accepted no plans yet. They
// come from the rows in the table. If the rows can't be read, they come from the
// reports of the upstreams scheduled here: while one of them serves the old
// version, the new one gets no traffic.
func (m *Mover) seedShares(ctx context.Context, config *inventory.Config) {
	m.mu.Lock()
	hasLeader := m.epoch > 0
	m.mu.Unlock()
	if hasLeader {
		return
	}
	rows, err := m.readRows(ctx)
	if err != nil {
		klog.V(1).InfoS("reading the rows of the moves failed; seeding shares from the reports of upstreams", "err", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch > 0 {
		return
	}
	for pool, move := range stager.ActiveMoves(config.Moves, rows) {
		shares := stager.SharesFromRow(rows[move.Name], move)
		if err != nil && !m.isServed(move.From) {
			continue
		}
		if previous, found := m.seededShares[pool]; found && reflect.DeepEqual(previous, shares) {
			continue
		}
		m.seededShares[pool] = shares
		m.SetShares(pool, shares)
	}
}

// isServed reports whether an upstream scheduled here serves the version. It is
// called with mu held.
func (m *Mover) isServed(version string) bool {
	for _, r := range m.reports {
		if r.Version == version {
			return true
		}
	}
	return false
}

// readRows reads the rows of all moves from the table, by the name of the move.
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

// sharesByPool holds the shares of the versions, by the name of the pool.
type sharesByPool map[string]scheduler.Shares
