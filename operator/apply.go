package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"yuccaspread/common/inventory"
	"yuccaspread/common/loader"
)

// change is the difference between files and the configuration in force.
type change struct {
	inventory.Delta
	// Revision is the revision that the change became, 0 for none.
	Revision int64 `json:"revision,omitempty"`
}

// Header implements printer.Tabular.
func (change) Header() []string { return []string{"CHANGE", "KIND", "NAME"} }

// Rows implements printer.Tabular.
func (c change) Rows() [][]string {
	var rows [][]string
	for _, e := range c.Set {
		rows = append(rows, []string{"set", string(e.Kind), e.Name})
	}
	for _, k := range c.Remove {
		rows = append(rows, []string{"remove", string(k.Kind), k.Name})
	}
	return rows
}

// fileFlags are the flags of commands that read inventory and rules.
type fileFlags struct {
	files []string
	prune bool
}

func (f *fileFlags) attach(sub *flaggy.Subcommand) {
	sub.StringSlice(&f.files, "f", "file", "TOML file of the inventory or the rules; may be repeated")
	sub.Bool(&f.prune, "", "prune", "also remove entries of kinds that the files hold, but that the files lack")
}

func (c *control) applyCommand() command {
	sub := flaggy.NewSubcommand("apply")
	var flags fileFlags
	var dryRun bool
	flags.attach(sub)
	sub.Bool(&dryRun, "n", "dry-run", "only let the daemon check the change")
	return command{sub, "bring the files in force as the next revision", func(ctx context.Context) error {
		delta, err := c.compare(ctx, flags)
		if err != nil || delta.Empty() {
			return c.report(change{Delta: delta}, err)
		}
		return c.propose(ctx, delta, dryRun)
	}}
}

func (c *control) diffCommand() command {
	sub := flaggy.NewSubcommand("diff")
	var flags fileFlags
	flags.attach(sub)
	return command{sub, "show what apply would change", func(ctx context.Context) error {
		delta, err := c.compare(ctx, flags)
		if err == nil && !delta.Empty() {
			err = errDiffers
		}
		return c.report(change{Delta: delta}, err)
	}}
}

// report prints the change unless the error came before it.
func (c *control) report(change change, err error) error {
	if err != nil && !change.Empty() {
		_ = c.print(change)
	}
	if err == nil {
		return c.print(change)
	}
	return err
}

// propose sends the change and prints what became of it.
func (c *control) propose(ctx context.Context, delta inventory.Delta, dryRun bool) (err error) {
	delta.ChangeID = uuid.NewString()
	revision, err := c.caller.Change(ctx, delta, dryRun)
	if err != nil {
		return err
	}
	if err = c.print(change{Delta: delta, Revision: revision}); err != nil || c.Format == "json" {
		return err
	}
	text := "accepted as revision"
	if dryRun {
		text = "would be accepted as revision"
	}
	_, err = fmt.Fprintln(c.Out, text, revision)
	return err
}

// compare returns what leads from the configuration in force to the files.
// Without prune nothing is removed; kinds that no file holds stay as they are.
func (c *control) compare(ctx context.Context, flags fileFlags) (delta inventory.Delta, err error) {
	wanted, err := readFiles(flags.files)
	if err != nil {
		return delta, err
	}
	present, err := c.caller.Config(ctx)
	if err != nil {
		return delta, err
	}
	if delta, err = present.Diff(wanted); err != nil {
		return delta, err
	}
	held := kindsOf(wanted)
	delta.Remove = slices.DeleteFunc(delta.Remove, func(k inventory.Key) bool { return !flags.prune || !held[k.Kind] })
	delta.Set = slices.DeleteFunc(delta.Set, func(e inventory.Entry) bool { return !held[e.Kind] })
	return delta, nil
}

// kindsOf returns the kinds of which the configuration holds any entry.
func kindsOf(config inventory.Config) map[inventory.Kind]bool {
	return map[inventory.Kind]bool{
		inventory.RegionKind:       len(config.Regions) > 0,
		inventory.PoolKindEntry:    len(config.Pools) > 0,
		inventory.UpstreamKind:     len(config.Upstreams) > 0,
		inventory.OrganisationKind: len(config.Organisations) > 0,
		inventory.OperatorKind:     len(config.Operators) > 0,
		inventory.TierKind:         len(config.Tiers) > 0,
		inventory.RouteKind:        len(config.Routes) > 0,
		inventory.MoveKind:         len(config.Moves) > 0,
		inventory.LimitsKind:       config.Limits != inventory.Limits{},
	}
}

// readFiles reads all files as parts of one configuration.
func readFiles(files []string) (config inventory.Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %w", errUsage, err)
		}
	}()
	if len(files) == 0 {
		return config, fmt.Errorf("name at least one --file")
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return config, err
		}
		var part inventory.Config
		if err = loader.Decode(content, &part); err != nil {
			return config, fmt.Errorf("%s:\n%w", file, err)
		}
		config = join(config, part)
	}
	return config.Sorted(), nil
}

// join appends the entries of part to config.
func join(config, part inventory.Config) inventory.Config {
	config.Regions = append(config.Regions, part.Regions...)
	config.Pools = append(config.Pools, part.Pools...)
	config.Upstreams = append(config.Upstreams, part.Upstreams...)
	config.Organisations = append(config.Organisations, part.Organisations...)
	config.Operators = append(config.Operators, part.Operators...)
	config.Tiers = append(config.Tiers, part.Tiers...)
	config.Routes = append(config.Routes, part.Routes...)
	config.Moves = append(config.Moves, part.Moves...)
	if part.Limits != (inventory.Limits{}) {
		config.Limits = part.Limits
	}
	return config
}
