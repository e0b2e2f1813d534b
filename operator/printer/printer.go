// Package printer writes what a command found out, as a table for people or
// as JSON for programs.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is how results are written.
type Format string

// The formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Tabular is a result that can be written as a table.
type Tabular interface {
	// Header returns the names of the columns.
	Header() []string
	// Rows returns the rows, each as long as the header.
	Rows() [][]string
}

// Print writes value to out. JSON shows the value itself, so that programs
// see more than fits a table.
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
