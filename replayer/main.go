// Command yuccareplay generates traces, replays them through the daemons'
// decision packages on a virtual clock and checks the expected outcomes. It also
// fills the tables of the capacity page from benchmark results.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"yuccaspread/replayer/generator"
	"yuccaspread/replayer/mover"
	"yuccaspread/replayer/selector"
)

// version is set by the linker.
var version = "development"

// arguments holds the values of the flags and positional arguments of all
// subcommands.
type arguments struct {
	scenario string
	seed     uint64
	out      string
	file     string
	policy   string
	plan     string
	json     bool
	seeds    int
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "yuccareplay:", err)
		os.Exit(1)
	}
}

func run() error {
	a := arguments{seed: 1, seeds: 50, policy: selector.Yuccaspread}
	flaggy.SetName("yuccareplay")
	flaggy.SetDescription("Replays traces through the decision packages.")
	flaggy.SetVersion(version)

	generate := flaggy.NewSubcommand("generate")
	generate.Description = "Writes the trace of a scenario."
	generate.String(&a.scenario, "", "scenario", fmt.Sprint("One of ", generator.Names()))
	generate.UInt64(&a.seed, "", "seed", "Equal seeds give equal traces.")
	generate.String(&a.out, "", "out", "The file to write; standard output without it.")

	replay := flaggy.NewSubcommand("run")
	replay.Description = "Replays a trace, or a flight record of a daemon."
	replay.AddPositionalValue(&a.file, "FILE", 1, false, "The trace or flight record.")
	replay.String(&a.scenario, "", "scenario", fmt.Sprint("Replay a move instead, one of ", mover.Scenarios))
	replay.UInt64(&a.seed, "", "seed", "The seed of the move.")
	replay.String(&a.policy, "", "policy", fmt.Sprint("One of ", selector.Names()))
	replay.Bool(&a.json, "", "json", "Print JSON.")

	compare := flaggy.NewSubcommand("compare")
	compare.Description = "Replays a trace with each policy."
	compare.AddPositionalValue(&a.file, "FILE", 1, true, "The trace.")
	compare.Bool(&a.json, "", "json", "Print JSON.")

	report := flaggy.NewSubcommand("report")
	report.Description = "Draws plots of a trace with each policy."
	report.AddPositionalValue(&a.file, "FILE", 1, true, "The trace.")
	report.String(&a.out, "", "out", "The directory to write to.")

	measure := flaggy.NewSubcommand("measure")
	measure.Description = "Checks the stated outcomes at the seeds from 1 on; fails where one is missed."
	measure.String(&a.scenario, "", "scenario", "One scenario; all without it.")
	measure.Int(&a.seeds, "", "seeds", "The number of seeds.")

	capacity := flaggy.NewSubcommand("capacity")
	capacity.Description = "Writes the tables of the capacity page from the output of benchmarks."
	capacity.AddPositionalValue(&a.file, "FILE", 1, true, "The output of the benchmarks.")
	capacity.String(&a.plan, "", "plan", "The TOML file that names the slopes.")
	capacity.String(&a.out, "", "page", "The page whose tables are replaced.")

	for _, sub := range []*flaggy.Subcommand{generate, replay, compare, report, measure, capacity} {
		flaggy.AttachSubcommand(sub, 1)
	}
	flaggy.Parse()
	switch {
	case generate.Used:
		return a.generate()
	case replay.Used && a.scenario != "":
		return mover.Report(os.Stdout, a.scenario, a.seed, a.json)
	case replay.Used && a.file == "":
		return errors.New("run: neither a trace file nor --scenario is given")
	case replay.Used:
		return a.replay()
	case compare.Used:
		return a.compare()
	case report.Used:
		return a.report()
	case measure.Used:
		return a.measure()
	case capacity.Used:
		return a.capacity()
	default:
		return errors.New("no command is given; --help lists the commands")
	}
}
