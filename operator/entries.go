package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"yuccaspread/common/inventory"
	"yuccaspread/operator/importer"
)

// importCommand brings the upstreams of an asset register in force.
func (c *control) importCommand() command {
	sub := flaggy.NewSubcommand("import")
	var file string
	var prune, dryRun bool
	sub.String(&file, "f", "file", "CSV file of the asset register")
	sub.Bool(&prune, "", "prune", "also remove upstreams that the register lacks")
	sub.Bool(&dryRun, "n", "dry-run", "only let the daemon check the change")
	return command{sub, "bring the upstreams of an asset register in force", func(ctx context.Context) error {
		return c.importFrom(ctx, file, prune, dryRun)
	}}
}

// importFrom proposes what leads from the upstreams in force to the register's.
// Without prune none is removed.
func (c *control) importFrom(ctx context.Context, file string, prune, dryRun bool) (err error) {
	if file == "" {
		return fmt.Errorf("%w: name the register with --file", errUsage)
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
	present, err := c.caller.Config(ctx)
	if err != nil {
		return err
	}
	wanted := present
	wanted.Upstreams = importer.Merge(present.Upstreams, upstreams)
	delta, err := present.Diff(wanted)
	if err != nil {
		return err
	}
	if !prune {
		delta.Remove = nil
	}
	if delta.Empty() {
		return c.print(change{Delta: delta})
	}
	return c.propose(ctx, delta, dryRun)
}

// entries is a list of entries of the configuration.
type entries struct {
	Revision int64             `json:"revision"`
	Entries  []inventory.Entry `json:"entries"`
}

// Header implements printer.Tabular.
func (entries) Header() []string { return []string{"KIND", "NAME", "VALUE"} }

// Rows implements printer.Tabular.
func (e entries) Rows() [][]string {
	rows := make([][]string, 0, len(e.Entries))
	for _, entry := range e.Entries {
		rows = append(rows, []string{string(entry.Kind), entry.Name, string(entry.Value)})
	}
	return rows
}

// getCommand prints entries of the configuration in force.
func (c *control) getCommand() command {
	sub := flaggy.NewSubcommand("get")
	var kind, name string
	sub.AddPositionalValue(&kind, "kind", 1, false, "region, pool, upstream, organisation, operator, tier, route, move or limits")
	sub.AddPositionalValue(&name, "name", 2, false, "name of one entry")
	return command{sub, "print the configuration in force, or entries of it", func(ctx context.Context) error {
		return c.get(ctx, kind, name)
	}}
}

// get prints the entries of the kind and name; an empty one stands for all.
func (c *control) get(ctx context.Context, kind, name string) (err error) {
	if _, known := kindsOf(inventory.Config{})[inventory.Kind(kind)]; kind != "" && !known {
		return fmt.Errorf("%w: there are no entries of kind %q", errUsage, kind)
	}
	present, err := c.caller.Config(ctx)
	if err != nil {
		return err
	}
	whole, err := inventory.Config{Revision: present.Revision}.Diff(present)
	if err != nil {
		return err
	}
	list := entries{Revision: present.Revision}
	for _, e := range whole.Set {
		if (kind == "" || kind == string(e.Kind)) && (name == "" || name == e.Name) {
			list.Entries = append(list.Entries, e)
		}
	}
	if name != "" && len(list.Entries) == 0 {
		return fmt.Errorf("no %s %q", kind, name)
	}
	return c.print(list)
}
