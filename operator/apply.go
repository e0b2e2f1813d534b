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

// changeResult is the difference between the files or register and the
// configuration in force, as commands print it.
type changeResult struct {
	inventory.Delta
	// Revision is the revision of the accepted change, or with --dry-run the one
	// that it would get; 0 if the change was not sent.
	Revision int64 `json:"revision,omitempty"`
}

// Header implements printer.Tabular.
func (changeResult) Header() []string { return []string{"CHANGE", "KIND", "NAME"} }

// Rows implements printer.Tabular.
func (c changeResult) Rows() [][]string {
	var rows [][]string
	for _, e := range c.Set {
		rows = append(rows, []string{"set", string(e.Kind), e.Name})
	}
	for _, k := range c.Remove {
		rows = append(rows, []string{"remove", string(k.Kind), k.Name})
	}
	return rows
}

// fileFlags are the flags of commands that read inventory and rules files.
type fileFlags struct {
	files []string
	prune bool
}

// attach adds the flags to the subcommand.
func (f *fileFlags) attach(sub *flaggy.Subcommand) {
	sub.StringSlice(&f.files, "f", "file", "TOML file of the inventory or the rules; may be repeated")
	sub.Bool(&f.prune, "", "prune", "also remove entries of kinds that the files hold, but that the files lack")
}

// applyCommand returns the command that proposes the files as the next revision.
func (c *cli) applyCommand() command {
	sub := flaggy.NewSubcommand("apply")
	var flags fileFlags
	var dryRun bool
	flags.attach(sub)
	sub.Bool(&dryRun, "n", "dry-run", "only let the daemon check the change")
	return command{sub, "bring the files in force as the next revision", func(ctx context.Context) error {
		delta, err := c.diffFiles(ctx, flags)
		if err != nil || delta.Empty() {
			return c.printChange(changeResult{Delta: delta}, err)
		}
		return c.propose(ctx, delta, dryRun)
	}}
}

// diffCommand returns the command that prints what apply would change; it fails
// with errDiffers when there is any difference.
func (c *cli) diffCommand() command {
	sub := flaggy.NewSubcommand("diff")
	var flags fileFlags
	flags.attach(sub)
	return command{sub, "show what apply would change", func(ctx context.Context) error {
		delta, err := c.diffFiles(ctx, flags)
		if err == nil && !delta.Empty() {
			err = errDiffers
		}
		return c.printChange(changeResult{Delta: delta}, err)
	}}
}

// printChange prints the change and returns err. With an error it prints only a
// change that is not empty, because an empty one means that the comparison itself
// failed.
func (c *cli) printChange(result changeResult, err error) error {
	if err != nil && !result.Empty() {
		_ = c.print(result)
	}
	if err == nil {
		return c.print(result)
	}
	return err
}

// propose sends the change to the daemon under a new change id and prints the
// outcome.
func (c *cli) propose(ctx context.Context, delta inventory.Delta, dryRun bool) (err error) {
	delta.ChangeID = uuid.NewString()
	revision, err := c.api.ProposeChange(ctx, delta, dryRun)
	if err != nil {
		return err
	}
	if err = c.print(changeResult{Delta: delta, Revision: revision}); err != nil || c.Format == "json" {
		return err
	}
	text := "accepted as revision"
	if dryRun {
		text = "would be accepted as revision"
	}
	_, err = fmt.Fprintln(c.Out, text, revision)
	return err
}

// diffFiles returns the change that turns the configuration in force into the
// content of the files. Without prune nothing is removed; kinds of which the files
// contain no entry stay as they are.
func (c *cli) diffFiles(ctx context.Context, flags fileFlags) (delta inventory.Delta, err error) {
	desired, err := readFiles(flags.files)
	if err != nil {
		return delta, err
	}
	current, err := c.api.Config(ctx)
	if err != nil {
		return delta, err
	}
	if delta, err = current.Diff(desired); err != nil {
		return delta, err
	}
	fileKinds := kindsInUse(desired)
	delta.Remove = slices.DeleteFunc(delta.Remove, func(k inventory.Key) bool { return !flags.prune || !fileKinds[k.Kind] })
	delta.Set = slices.DeleteFunc(delta.Set, func(e inventory.Entry) bool { return !fileKinds[e.Kind] })
	return delta, nil
}

// kindsInUse has a key for every kind; the value reports whether the configuration
// contains an entry of that kind.
func kindsInUse(config inventory.Config) map[inventory.Kind]bool {
	return map[inventory.Kind]bool{
		inventory.RegionKind:       len(config.Regions) > 0,
		inventory.PoolEntryKind:    len(config.Pools) > 0,
		inventory.UpstreamKind:     len(config.Upstreams) > 0,
		inventory.OrganisationKind: len(config.Organisations) > 0,
		inventory.OperatorKind:     len(config.Operators) > 0,
		inventory.TierKind:         len(config.Tiers) > 0,
		inventory.RouteKind:        len(config.Routes) > 0,
		inventory.MoveKind:         len(config.Moves) > 0,
		inventory.LimitsKind:       config.Limits != inventory.Limits{},
	}
}

// readFiles reads the files and merges them into one sorted configuration. Every
// error that it returns wraps errUsage.
func readFiles(files []string) (config inventory.Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %w", errUsage, err)
		}
	}()
	if len(files) == 0 {
		return config, fmt.Errorf("at least one --file is required")
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
		config = appendConfig(config, part)
	}
	return config.Sorted(), nil
}

// appendConfig returns config with the entries of part appended. The limits of
// part replace those of config unless they are empty.
func appendConfig(config, part inventory.Config) inventory.Config {
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
