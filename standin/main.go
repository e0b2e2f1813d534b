// Command yuccastandin runs stand-ins (test doubles) for the systems around
// yuccaspread: the platform, language model engines, plain services, the users'
// metadata store with its workers, and callers.
package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"yuccaspread/common/catcher"
	"yuccaspread/common/loader"
	"yuccaspread/common/logger"
)

// version is set by the linker flag -X main.version.
var version = "development"

func main() {
	logger.Setup(os.Stderr, "yuccastandin", false)
	ctx, cancel := catcher.New().StopContext()
	err := run(ctx)
	cancel()
	if err != nil {
		klog.ErrorS(err, "command failed; exiting")
		klog.Flush()
		os.Exit(1)
	}
}

// run parses the command line and runs the chosen subcommand, or serves the
// configured stand-ins if there is none.
func run(ctx context.Context) (err error) {
	var source loader.Source
	var check bool
	count := 1
	source.Prefix = "YUCCASTANDIN"
	flaggy.SetName("yuccastandin")
	flaggy.SetDescription("Stand-ins for the platform, engines, services and callers.")
	flaggy.SetVersion(version)
	flaggy.String(&source.Path, "s", "settings", "TOML file with the settings")
	flaggy.StringSlice(&source.Flags, "", "set", "setting as section.key=value; may be repeated")
	flaggy.Bool(&check, "c", "check", "only check the settings")
	call := newSubcommand("call", "send requests as callers do and print the counts")
	measure := newSubcommand("measure", "measure what the way through a daemon adds")
	ports := newSubcommand("ports", "print free loopback ports, one a line")
	ports.Int(&count, "n", "count", "how many")
	flaggy.Parse()
	if ports.Used {
		return printPorts(os.Stdout, count)
	}
	var s settings
	if err = loader.Load(source, &s); err != nil || check {
		return err
	}
	switch {
	case call.Used:
		return runCallers(ctx, os.Stdout, s.Callers)
	case measure.Used:
		return runMeter(ctx, os.Stdout, s.Meter)
	default:
		return serveAll(ctx, newRouters(s))
	}
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	flaggy.AttachSubcommand(command, 1)
	return command
}
