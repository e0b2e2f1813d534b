// Package printer writes the result of a command, as an aligned table for people
// or as indented JSON for programs.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is an output format.
type Format string

// The supported formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Tabular is a result that can be written as a table.
type Tabular interface {
	// Header returns the names of the columns.
	Header() []string
	// Rows returns the rows; each has as many cells as Header has columns.
	Rows() [][]string
}

// Print writes value to out. JSON encodes value itself rather than its rows, so
// that programs also get the fields for which the table has no column.
func Print(out io.Writer, format Format, value Tabular) (err error) {
	if format == JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err = fmt.Fprintln(table, strings.Join(value.Header(), "\t")); err != nil {
		return err
	}
	for _, row := range value.Rows() {
		if _, err = fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}
