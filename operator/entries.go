package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"yuccaspread/common/inventory"
	"yuccaspread/operator/importer"
)

// importCommand returns the command that updates the upstreams in the
// configuration from an asset register.
func (c *cli) importCommand() command {
	sub := flaggy.NewSubcommand("import")
	var file string
	var prune, dryRun bool
	sub.String(&file, "f", "file", "CSV file of the asset register")
	sub.Bool(&prune, "", "prune", "also remove upstreams that the register lacks")
	sub.Bool(&dryRun, "n", "dry-run", "only let the daemon check the change")
	return command{sub, "bring the upstreams of an asset register in force", func(ctx context.Context) error {
		return c.importRegister(ctx, file, prune, dryRun)
	}}
}

// importRegister proposes the change that turns the upstreams in force into those
// of the register file. Without prune no upstream is removed.
func (c *cli) importRegister(ctx context.Context, file string, prune, dryRun bool) (err error) {
	if file == "" {
		return fmt.Errorf("%w: --file is required: the CSV file of the asset register", errUsage)
	}
	register, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer func() { _ = register.Close() }()
	upstreams, err := importer.Read(register)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	current, err := c.api.Config(ctx)
	if err != nil {
		return err
	}
	desired := current
	desired.Upstreams = importer.Merge(current.Upstreams, upstreams)
	delta, err := current.Diff(desired)
	if err != nil {
		return err
	}
	if !prune {
		delta.Remove = nil
	}
	if delta.Empty() {
		return c.print(changeResult{Delta: delta})
	}
	return c.propose(ctx, delta, dryRun)
}

// entryList is a list of entries of the configuration at a revision.
type entryList struct {
	Revision int64             `json:"revision"`
	Entries  []inventory.Entry `json:"entries"`
}

// Header implements printer.Tabular.
func (entryList) Header() []string { return []string{"KIND", "NAME", "VALUE"} }

// Rows implements printer.Tabular.
func (e entryList) Rows() [][]string {
	rows := make([][]string, 0, len(e.Entries))
	for _, entry := range e.Entries {
		rows = append(rows, []string{string(entry.Kind), entry.Name, string(entry.Value)})
	}
	return rows
}

// getCommand returns the command that prints entries of the configuration in
// force.
func (c *cli) getCommand() command {
	sub := flaggy.NewSubcommand("get")
	var kind, name string
	sub.AddPositionalValue(&kind, "kind", 1, false, "region, pool, upstream, organisation, operator, tier, route, move or limits")
	sub.AddPositionalValue(&name, "name", 2, false, "name of one entry")
	return command{sub, "print the configuration in force, or entries of it", func(ctx context.Context) error {
		return c.printEntries(ctx, kind, name)
	}}
}

// printEntries prints the entries of the kind and name; an empty kind or name
// matches all. It returns an error where a name is given and no entry matches.
func (c *cli) printEntries(ctx context.Context, kind, name string) (err error) {
	if _, known := kindsInUse(inventory.Config{})[inventory.Kind(kind)]; kind != "" && !known {
		return fmt.Errorf("%w: unknown entry kind %q", errUsage, kind)
	}
	current, err := c.api.Config(ctx)
	if err != nil {
		return err
	}
	additions, err := inventory.Config{Revision: current.Revision}.Diff(current)
	if err != nil {
		return err
	}
	list := entryList{Revision: current.Revision}
	for _, e := range additions.Set {
		if (kind == "" || kind == string(e.Kind)) && (name == "" || name == e.Name) {
			list.Entries = append(list.Entries, e)
		}
	}
	if name != "" && len(list.Entries) == 0 {
		return fmt.Errorf("the configuration contains no %s %q", kind, name)
	}
	return c.print(list)
}
