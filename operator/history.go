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

// history is the list of accepted changes.
type history struct {
	Changes []struct {
		Revision int64 `json:"revision"`
		inventory.Delta
	} `json:"changes"`
}

// Header implements printer.Tabular.
func (history) Header() []string { return []string{columnRevision, "TIME", "AUTHOR", "CHANGES"} }

// Rows implements printer.Tabular.
func (h history) Rows() [][]string {
	rows := make([][]string, 0, len(h.Changes))
	for _, one := range h.Changes {
		rows = append(rows, []string{
			strconv.FormatInt(one.Revision, 10), one.Time.Time().Format(time.RFC3339), one.Author, summary(one.Delta),
		})
	}
	return rows
}

// summary names the first entries that a change touches.
func summary(d inventory.Delta) string {
	const most = 4
	var names []string
	for _, row := range (change{Delta: d}).Rows() {
		names = append(names, strings.TrimSpace(strings.Join(row, " ")))
	}
	if len(names) > most {
		names = append(names[:most], fmt.Sprintf("and %d more", len(names)-most))
	}
	return strings.Join(names, ", ")
}

// historyCommand prints accepted changes.
func (c *control) historyCommand() command {
	sub := flaggy.NewSubcommand("history")
	after := 0
	sub.Int(&after, "a", "after", "only changes after this revision")
	return command{sub, "print the accepted changes", func(ctx context.Context) (err error) {
		var answer history
		if err = c.caller.Call(ctx, http.MethodGet, fmt.Sprintf("/v1/admin/history?after=%d", after), nil, &answer); err != nil {
			return err
		}
		return c.print(answer)
	}}
}

// accepted is the answer to an accepted change.
type accepted struct {
	Revision int64 `json:"revision"`
}

// Header implements printer.Tabular.
func (accepted) Header() []string { return []string{columnRevision} }

// Rows implements printer.Tabular.
func (a accepted) Rows() [][]string { return [][]string{{strconv.FormatInt(a.Revision, 10)}} }

// undoCommand takes one accepted change back by a new revision.
func (c *control) undoCommand() command {
	sub := flaggy.NewSubcommand("undo")
	var revision string
	var dryRun bool
	sub.AddPositionalValue(&revision, "revision", 1, true, "the revision to take back")
	sub.Bool(&dryRun, "n", "dry-run", "only let the daemon check the change")
	return command{sub, "take one accepted change back by a new revision", func(ctx context.Context) (err error) {
		number, err := strconv.ParseInt(revision, 10, 64)
		if err != nil {
			return fmt.Errorf("%w: %q is no revision", errUsage, revision)
		}
		path := "/v1/admin/undo"
		if dryRun {
			path += "?dry_run=true"
		}
		var answer accepted
		err = c.caller.Call(ctx, http.MethodPost, path, struct {
			Revision int64  `json:"revision"`
			ChangeID string `json:"change_id"`
		}{number, uuid.NewString()}, &answer)
		if err != nil {
			return err
		}
		return c.print(answer)
	}}
}

// audit is a page of the audit log.
type audit struct {
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
func (audit) Header() []string {
	return []string{"TIME", "OPERATOR", "ACTION", "DAEMON", columnRevision}
}

// Rows implements printer.Tabular.
func (a audit) Rows() [][]string {
	rows := make([][]string, 0, len(a.Entries))
	for _, e := range a.Entries {
		rows = append(rows, []string{
			e.TimeMS.Time().Format(time.RFC3339), e.Operator, e.Action, e.Daemon, strconv.FormatInt(e.Revision, 10),
		})
	}
	return rows
}

// auditCommand prints the audit log.
func (c *control) auditCommand() command {
	sub := flaggy.NewSubcommand("audit")
	var after string
	sub.String(&after, "a", "after", "the \"next\" of an earlier page")
	return command{sub, "print the audit log", func(ctx context.Context) (err error) {
		var answer audit
		if err = c.caller.Call(ctx, http.MethodGet, "/v1/admin/audit?after="+url.QueryEscape(after), nil, &answer); err != nil {
			return err
		}
		return c.print(answer)
	}}
}
