package mover

import (
	"encoding/json"
	"net/http"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/stager"
)

// MoveStatus is a move as operators see it.
type MoveStatus struct {
	stager.Row
	// Result is "done", "undone" or "open".
	Result string `json:"result"`
	// State and Due are the wanted state and the due date in the configuration.
	State inventory.MoveState `json:"state,omitempty"`
	Due   clock.Millis        `json:"due_ms,omitempty"`
	// FinishedOnTime means that all traffic had moved by the due date.
	FinishedOnTime bool `json:"finished_on_time"`
}

// ServeHTTP writes all moves as the leader last sent them. A daemon that has
// accepted no plans yet reads them from the table.
func (m *Mover) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.prepare()
	m.mu.Lock()
	rows, leader, epoch := m.encodedRows, m.leaderName, m.epoch
	m.mu.Unlock()
	if epoch == 0 {
		found, err := m.Table.Scan(r.Context(), stager.RowPrefix, stager.RowPrefix, maxMoves)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		for _, row := range found {
			rows = append(rows, row.Value)
		}
	}
	statuses := make([]MoveStatus, 0, len(rows))
	config := m.Source.Current()
	for _, value := range rows {
		var row stager.Row
		if json.Unmarshal(value, &row) == nil {
			statuses = append(statuses, statusOf(row, config))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Leader string       `json:"leader"`
		Epoch  int64        `json:"epoch"`
		Moves  []MoveStatus `json:"moves"`
	}{leader, epoch, statuses})
}

// statusOf returns the status of a move with the given row.
func statusOf(row stager.Row, config *inventory.Config) MoveStatus {
	status := MoveStatus{Row: row, Result: "open"}
	move, found := inventory.Lookup(config.Moves, row.Move)
	if found {
		status.State, status.Due = move.State, move.Due
		status.FinishedOnTime = row.Finished > 0 && row.Finished <= move.Due && !row.Undone()
	}
	switch row.Phase {
	case stager.PhaseDone:
		status.Result = "done"
	case stager.PhaseUndone:
		status.Result = "undone"
	case stager.PhaseWaiting, stager.PhaseLoading, stager.PhaseStaged, stager.PhaseSoaking, stager.PhaseUndoing:
	}
	return status
}
