// Command yuccastandin runs small stand-ins for the systems that yuccaspread
// meets: the platform, language model engines and plain services.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"yuccaspread/common/loader"
	"yuccaspread/common/logger"
)

// version is set by the linker.
var version = "development"

func main() {
	logger.Setup(os.Stderr, "yuccastandin", false)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx)
	cancel()
	if err != nil {
		klog.ErrorS(err, "stopped")
		klog.Flush()
		os.Exit(1)
	}
}

// run parses the command line and does what it names.
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
	call := subcommand("call", "send requests as callers do and print the counts")
	measure := subcommand("measure", "measure what the way through a daemon adds")
	ports := subcommand("ports", "print free loopback ports, one a line")
	ports.Int(&count, "n", "count", "how many")
	flaggy.Parse()
	if ports.Used {
		return printPorts(ctx, os.Stdout, count)
	}
	var s settings
	if err = loader.Load(source, &s); err != nil || check {
		return err
	}
	switch {
	case call.Used:
		return callAll(ctx, os.Stdout, s.Callers)
	case measure.Used:
		return measurePath(ctx, os.Stdout, s.Meter)
	default:
		return serveAll(ctx, routers(s))
	}
}

func subcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	flaggy.AttachSubcommand(sub, 1)
	return sub
}
