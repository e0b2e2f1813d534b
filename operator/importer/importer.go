// Package importer turns an asset register, a CSV file, into upstreams.
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

// Columns are the names of the columns that a register must have, in any
// order; others are ignored.
//
//nolint:gochecknoglobals // Go has no constant lists.
var Columns = []string{"name", "address", "pool", "region", "failure_domain", "generation", "slots"}

// Read returns the upstreams of the register. The error names every bad row
// with its line; no upstreams are returned with it.
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
	places, err := columnPlaces(header)
	if err != nil {
		return nil, err
	}
	var mistakes []error
	seen := map[string]bool{}
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return upstreams, errors.Join(mistakes...)
		}
		if err != nil {
			return nil, errors.Join(append(mistakes, err)...)
		}
		line, _ := reader.FieldPos(0)
		upstream, err := parse(record, places)
		if err == nil && seen[upstream.Name] {
			err = fmt.Errorf("name %q stands twice", upstream.Name)
		}
		if err != nil {
			mistakes = append(mistakes, fmt.Errorf("line %d: %w", line, err))
			continue
		}
		seen[upstream.Name] = true
		upstreams = append(upstreams, upstream)
	}
}

// columnPlaces returns the place of each known column.
func columnPlaces(header []string) (places map[string]int, err error) {
	places = map[string]int{}
	for i, name := range header {
		places[strings.ToLower(strings.TrimSpace(name))] = i
	}
	for _, name := range Columns {
		if _, found := places[name]; !found {
			err = errors.Join(err, fmt.Errorf("column %q is missing", name))
		}
	}
	return places, err
}

func parse(record []string, places map[string]int) (u inventory.Upstream, err error) {
	field := func(name string) string { return strings.TrimSpace(record[places[name]]) }
	u = inventory.Upstream{
		Name: field("name"), Address: field("address"), Pool: field("pool"), Region: field("region"),
		FailureDomain: field("failure_domain"), Generation: field("generation"),
	}
	for _, name := range []string{"name", "pool", "region"} {
		if field(name) == "" {
			err = errors.Join(err, fmt.Errorf("%s is empty", name))
		}
	}
	if _, bad := netip.ParseAddrPort(u.Address); bad != nil {
		err = errors.Join(err, fmt.Errorf("address: %w", bad))
	}
	var bad error
	if u.Slots, bad = strconv.Atoi(field("slots")); bad != nil || u.Slots <= 0 {
		err = errors.Join(err, fmt.Errorf("slots %q is no number above 0", field("slots")))
	}
	return u, err
}

// Merge returns the upstreams of the configuration with those of the register
// in their place. What only the configuration knows of an upstream stays.
func Merge(present, register []inventory.Upstream) []inventory.Upstream {
	merged := slices.Clone(register)
	for i, u := range merged {
		old, found := inventory.Lookup(present, u.Name)
		if found {
			merged[i].ChecksFencing = old.ChecksFencing
			merged[i].Resumes = old.Resumes
			merged[i].Leaving = old.Leaving
		}
	}
	return merged
}
