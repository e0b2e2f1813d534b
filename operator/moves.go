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

// moves is the answer about all moves.
type moves struct {
	Leader string `json:"leader"`
	Epoch  int64  `json:"epoch"`
	Moves  []move `json:"moves"`
}

// move is one move as its leader last told it.
type move struct {
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
	Why            string              `json:"why"`
	// Verdict is the evidence, passed on as the daemon tells it.
	Verdict json.RawMessage `json:"verdict,omitempty"`
}

// Header implements printer.Tabular.
func (moves) Header() []string {
	return []string{"MOVE", "POOL", "FROM", "TO", "WANTED", "PHASE", "SHARE", "RESULT", "DUE", "WHY"}
}

// Rows implements printer.Tabular.
func (m moves) Rows() [][]string {
	rows := make([][]string, 0, len(m.Moves))
	for _, one := range m.Moves {
		rows = append(rows, []string{
			one.Move, one.Pool, one.From, one.To, string(one.State), one.Phase, fmt.Sprintf("%.3f", one.Share),
			one.Result, one.DueMS.Time().Format(time.RFC3339), one.Why,
		})
	}
	return rows
}

// movesCommand prints all moves, or changes what is wanted of one.
func (c *control) movesCommand() command {
	sub := flaggy.NewSubcommand("moves")
	var name, state string
	sub.AddPositionalValue(&name, "move", 1, false, "name of one move")
	sub.String(&state, "", "state", "bring this in force for the move: run, pause or undo")
	return command{sub, "tell how far moves are, done or undone, or steer one", func(ctx context.Context) (err error) {
		if state != "" {
			return c.steer(ctx, name, inventory.MoveState(state))
		}
		var answer moves
		if err = c.caller.Call(ctx, http.MethodGet, "/v1/admin/moves", nil, &answer); err != nil {
			return err
		}
		if name != "" {
			answer.Moves = named(answer.Moves, name)
			if len(answer.Moves) == 0 {
				return fmt.Errorf("no daemon has begun a move %q", name)
			}
		}
		return c.print(answer)
	}}
}

func named(all []move, name string) (found []move) {
	for _, m := range all {
		if m.Move == name {
			found = append(found, m)
		}
	}
	return found
}

// steer proposes a new wanted state of a move.
func (c *control) steer(ctx context.Context, name string, state inventory.MoveState) (err error) {
	present, err := c.caller.Config(ctx)
	if err != nil {
		return err
	}
	wanted, found := inventory.Lookup(present.Moves, name)
	if !found {
		return fmt.Errorf("%w: the rules hold no move %q", errUsage, name)
	}
	wanted.State = state
	value, err := json.Marshal(wanted)
	if err != nil {
		return err
	}
	return c.propose(ctx, inventory.Delta{
		Base: present.Revision,
		Set:  []inventory.Entry{{Key: inventory.Key{Kind: inventory.MoveKind, Name: name}, Value: value}},
	}, false)
}
