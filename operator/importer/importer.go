// Package importer reads upstreams from an asset register, which is a CSV file,
// and merges them with the upstreams that are already configured.
package importer

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"yuccaspread/common/inventory"
)

// Columns are the names of the columns that a register must have, in any order
// and in upper or lower case. Other columns are ignored.
//
//nolint:gochecknoglobals // Go has no constant lists.
var Columns = []string{"name", "address", "pool", "region", "failure_domain", "generation", "slots"}

// Read returns the upstreams of the register. The error names every invalid row
// with its line; it is returned without upstreams, so that no register is imported
// in part.
func Read(register io.Reader) (upstreams []inventory.Upstream, err error) {
	defer func() {
		if err != nil {
			upstreams, err = nil, fmt.Errorf("asset register:\n%w", err)
		}
	}()
	reader := csv.NewReader(register)
	reader.TrimLeadingSpace = true
	header, err := reader.Read()
	if err != nil {
		return nil, err
	}
	indexes, err := columnIndexes(header)
	if err != nil {
		return nil, err
	}
	var rowErrors []error
	seenNames := map[string]bool{}
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return upstreams, errors.Join(rowErrors...)
		}
		if err != nil {
			return nil, errors.Join(append(rowErrors, err)...)
		}
		line, _ := reader.FieldPos(0)
		upstream, err := parseRow(record, indexes)
		if err == nil && seenNames[upstream.Name] {
			err = fmt.Errorf("name %q is a duplicate", upstream.Name)
		}
		if err != nil {
			rowErrors = append(rowErrors, fmt.Errorf("line %d: %w", line, err))
			continue
		}
		seenNames[upstream.Name] = true
		upstreams = append(upstreams, upstream)
	}
}

// columnIndexes returns the index of each column by its lower-case name. The error
// names every one of Columns that is missing.
func columnIndexes(header []string) (indexes map[string]int, err error) {
	indexes = map[string]int{}
	for i, name := range header {
		indexes[strings.ToLower(strings.TrimSpace(name))] = i
	}
	for _, name := range Columns {
		if _, found := indexes[name]; !found {
			err = errors.Join(err, fmt.Errorf("column %q is missing", name))
		}
	}
	return indexes, err
}

// parseRow returns the upstream of a record. The error names every invalid field.
func parseRow(record []string, indexes map[string]int) (u inventory.Upstream, err error) {
	field := func(name string) string { return strings.TrimSpace(record[indexes[name]]) }
	u = inventory.Upstream{
		Name: field("name"), Address: field("address"), Pool: field("pool"), Region: field("region"),
		FailureDomain: field("failure_domain"), Generation: field("generation"),
	}
	for _, name := range []string{"name", "pool", "region"} {
		if field(name) == "" {
			err = errors.Join(err, fmt.Errorf("%s is empty", name))
		}
	}
	if _, parseErr := netip.ParseAddrPort(u.Address); parseErr != nil {
		err = errors.Join(err, fmt.Errorf("address: %w", parseErr))
	}
	var parseErr error
	if u.Slots, parseErr = strconv.Atoi(field("slots")); parseErr != nil || u.Slots <= 0 {
		err = errors.Join(err, fmt.Errorf("slots %q is not a whole number above 0", field("slots")))
	}
	return u, err
}

// Merge returns the upstreams of the register. Fields for which the register has no
// column are taken from the current upstream of the same name, if there is one.
func Merge(current, register []inventory.Upstream) []inventory.Upstream {
	merged := slices.Clone(register)
	for i, u := range merged {
		existing, found := inventory.Lookup(current, u.Name)
		if found {
			merged[i].ChecksFencing = existing.ChecksFencing
			merged[i].Resumes = existing.Resumes
			merged[i].Leaving = existing.Leaving
		}
	}
	return merged
}
