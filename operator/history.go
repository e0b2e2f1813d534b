package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// historyResponse is the list of accepted changes.
type historyResponse struct {
	Changes []struct {
		Revision int64 `json:"revision"`
		inventory.Delta
	} `json:"changes"`
}

// Header implements printer.Tabular.
func (historyResponse) Header() []string {
	return []string{columnRevision, "TIME", "AUTHOR", "CHANGES"}
}

// Rows implements printer.Tabular.
func (h historyResponse) Rows() [][]string {
	rows := make([][]string, 0, len(h.Changes))
	for _, change := range h.Changes {
		rows = append(rows, []string{
			strconv.FormatInt(change.Revision, 10), change.Time.Time().Format(time.RFC3339), change.Author, summarise(change.Delta),
		})
	}
	return rows
}

// summarise names the first entries that a change touches and counts the rest.
func summarise(d inventory.Delta) string {
	const maxNames = 4
	var names []string
	for _, row := range (changeResult{Delta: d}).Rows() {
		names = append(names, strings.TrimSpace(strings.Join(row, " ")))
	}
	if len(names) > maxNames {
		names = append(names[:maxNames], fmt.Sprintf("and %d more", len(names)-maxNames))
	}
	return strings.Join(names, ", ")
}

// historyCommand returns the command that prints accepted changes.
func (c *cli) historyCommand() command {
	sub := flaggy.NewSubcommand("history")
	afterRevision := 0
	sub.Int(&afterRevision, "a", "after", "only changes after this revision")
	return command{sub, "print the accepted changes", func(ctx context.Context) (err error) {
		var response historyResponse
		if err = c.api.Call(ctx, http.MethodGet, fmt.Sprintf("/v1/admin/history?after=%d", afterRevision), nil, &response); err != nil {
			return err
		}
		return c.print(response)
	}}
}

// undoResponse is the response to an undo; Revision is the new revision, or with
// --dry-run the one that the undo would get.
type undoResponse struct {
	Revision int64 `json:"revision"`
}

// Header implements printer.Tabular.
func (undoResponse) Header() []string { return []string{columnRevision} }

// Rows implements printer.Tabular.
func (u undoResponse) Rows() [][]string { return [][]string{{strconv.FormatInt(u.Revision, 10)}} }

// undoCommand returns the command that reverts an accepted change by a new
// revision.
func (c *cli) undoCommand() command {
	sub := flaggy.NewSubcommand("undo")
	var argument string
	var dryRun bool
	sub.AddPositionalValue(&argument, "revision", 1, true, "the revision to take back")
	sub.Bool(&dryRun, "n", "dry-run", "only let the daemon check the change")
	return command{sub, "take one accepted change back by a new revision", func(ctx context.Context) (err error) {
		revision, err := strconv.ParseInt(argument, 10, 64)
		if err != nil {
			return fmt.Errorf("%w: revision %q is not a whole number", errUsage, argument)
		}
		path := "/v1/admin/undo"
		if dryRun {
			path += "?dry_run=true"
		}
		var response undoResponse
		err = c.api.Call(ctx, http.MethodPost, path, struct {
			Revision int64  `json:"revision"`
			ChangeID string `json:"change_id"`
		}{revision, uuid.NewString()}, &response)
		if err != nil {
			return err
		}
		return c.print(response)
	}}
}

// auditPage is a page of the audit log; Next is the cursor of the following page.
type auditPage struct {
	Entries []struct {
		TimeMS   clock.Millis    `json:"time_ms"`
		Operator string          `json:"operator"`
		Action   string          `json:"action"`
		Daemon   string          `json:"daemon"`
		Revision int64           `json:"revision,omitempty"`
		ChangeID string          `json:"change_id,omitempty"`
		Keys     []inventory.Key `json:"keys,omitempty"`
		Count    int             `json:"count,omitempty"`
	} `json:"entries"`
	Next string `json:"next"`
}

// Header implements printer.Tabular.
func (auditPage) Header() []string {
	return []string{"TIME", "OPERATOR", "ACTION", "DAEMON", columnRevision}
}

// Rows implements printer.Tabular.
func (a auditPage) Rows() [][]string {
	rows := make([][]string, 0, len(a.Entries))
	for _, e := range a.Entries {
		rows = append(rows, []string{
			e.TimeMS.Time().Format(time.RFC3339), e.Operator, e.Action, e.Daemon, strconv.FormatInt(e.Revision, 10),
		})
	}
	return rows
}

// auditCommand returns the command that prints a page of the audit log.
func (c *cli) auditCommand() command {
	sub := flaggy.NewSubcommand("audit")
	var cursor string
	sub.String(&cursor, "a", "after", "the \"next\" of an earlier page")
	return command{sub, "print the audit log", func(ctx context.Context) (err error) {
		var response auditPage
		if err = c.api.Call(ctx, http.MethodGet, "/v1/admin/audit?after="+url.QueryEscape(cursor), nil, &response); err != nil {
			return err
		}
		return c.print(response)
	}}
}
