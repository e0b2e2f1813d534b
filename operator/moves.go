package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// movesResponse lists all moves. Epoch is 0 where the daemon has heard from no
// leader and read the moves from the table itself.
type movesResponse struct {
	Leader string       `json:"leader"`
	Epoch  int64        `json:"epoch"`
	Moves  []moveStatus `json:"moves"`
}

// moveStatus is a move as the leader last reported it, with the state and due
// date that the configuration sets.
type moveStatus struct {
	Move           string              `json:"move"`
	Pool           string              `json:"pool"`
	From           string              `json:"from"`
	To             string              `json:"to"`
	Phase          string              `json:"phase"`
	Share          float64             `json:"share"`
	Result         string              `json:"result"`
	State          inventory.MoveState `json:"state,omitempty"`
	DueMS          clock.Millis        `json:"due_ms,omitempty"`
	FinishedOnTime bool                `json:"finished_on_time"`
	Cause          string              `json:"cause,omitempty"`
	Explanation    string              `json:"why"`
	// Verdict is the evidence, passed through as the daemon encodes it.
	Verdict json.RawMessage `json:"verdict,omitempty"`
}

// Header implements printer.Tabular.
func (movesResponse) Header() []string {
	return []string{"MOVE", "POOL", "FROM", "TO", "WANTED", "PHASE", "SHARE", "RESULT", "DUE", "WHY"}
}

// Rows implements printer.Tabular.
func (m movesResponse) Rows() [][]string {
	rows := make([][]string, 0, len(m.Moves))
	for _, move := range m.Moves {
		rows = append(rows, []string{
			move.Move, move.Pool, move.From, move.To, string(move.State), move.Phase, fmt.Sprintf("%.3f", move.Share),
			move.Result, move.DueMS.Time().Format(time.RFC3339), move.Explanation,
		})
	}
	return rows
}

// movesCommand returns the command that prints all moves or one of them, or sets
// the wanted state of one.
func (c *cli) movesCommand() command {
	sub := flaggy.NewSubcommand("moves")
	var name, state string
	sub.AddPositionalValue(&name, "move", 1, false, "name of one move")
	sub.String(&state, "", "state", "bring this in force for the move: run, pause or undo")
	return command{sub, "tell how far moves are, done or undone, or steer one", func(ctx context.Context) (err error) {
		if state != "" {
			return c.setMoveState(ctx, name, inventory.MoveState(state))
		}
		var response movesResponse
		if err = c.api.Call(ctx, http.MethodGet, "/v1/admin/moves", nil, &response); err != nil {
			return err
		}
		if name != "" {
			response.Moves = movesNamed(response.Moves, name)
			if len(response.Moves) == 0 {
				return fmt.Errorf("no daemon has started a move %q", name)
			}
		}
		return c.print(response)
	}}
}

// movesNamed returns the moves with the name.
func movesNamed(moves []moveStatus, name string) (matches []moveStatus) {
	for _, m := range moves {
		if m.Move == name {
			matches = append(matches, m)
		}
	}
	return matches
}

// setMoveState proposes a change of the move's wanted state.
func (c *cli) setMoveState(ctx context.Context, name string, state inventory.MoveState) (err error) {
	current, err := c.api.Config(ctx)
	if err != nil {
		return err
	}
	move, found := inventory.Lookup(current.Moves, name)
	if !found {
		return fmt.Errorf("%w: the configuration contains no move %q", errUsage, name)
	}
	move.State = state
	value, err := json.Marshal(move)
	if err != nil {
		return err
	}
	return c.propose(ctx, inventory.Delta{
		Base: current.Revision,
		Set:  []inventory.Entry{{Key: inventory.Key{Kind: inventory.MoveKind, Name: name}, Value: value}},
	}, false)
}
