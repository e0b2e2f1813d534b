// Command yuccactl is the command-line client of the daemons' administration
// API. Operators use it to read and change the configuration, to follow its
// rollout and the moves, to drain a daemon, and to see where a request would go.
//
// Its exit status is 0 for success, 1 for a failure, 2 for invalid usage or
// input, 3 when another operator changed the configuration in the meantime, 4
// when the daemon refused a change or request, 5 when no daemon answered, and 6
// when "diff" found differences. "explain" has the status 2 for a request that a
// daemon can't make sense of, and 1 if the daemon can't be reached.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// version is set by the linker (-X main.version).
var version = "development"

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccactl:", err)
	}
	os.Exit(exitStatus(err))
}

// run parses the command line and runs the subcommand that it names.
func run(ctx context.Context) (err error) {
	c := &cli{
		Server: "http://127.0.0.1:8080",
		Format: "table",
		Out:    os.Stdout,
	}
	if server, found := os.LookupEnv("YUCCACTL_SERVER"); found {
		c.Server = server
	}
	flaggy.SetName("yuccactl")
	flaggy.SetDescription("Reads and changes what yuccaspread does.")
	flaggy.SetVersion(version)
	flaggy.EnableCompletion()
	flaggy.String(&c.Server, "s", "server", "URL of a daemon, or YUCCACTL_SERVER")
	flaggy.String(&c.Token, "t", "token", "operator's token; better set YUCCACTL_TOKEN")
	flaggy.String(&c.Format, "o", "output", "table or json")
	flaggy.String(&c.CAFile, "", "ca-file", "PEM file with the authority of the daemons' certificates")
	commands := c.commands()
	for _, command := range commands {
		command.sub.Description = command.description
		flaggy.AttachSubcommand(command.sub, 1)
	}
	flaggy.Parse()
	// The token is read from the environment only after parsing, because the
	// help text prints the value that a flag's variable holds as its default.
	if c.Token == "" {
		c.Token = os.Getenv("YUCCACTL_TOKEN")
	}
	if err = c.prepare(); err != nil {
		return err
	}
	for _, command := range commands {
		if command.sub.Used {
			return command.run(ctx)
		}
	}
	flaggy.ShowHelp("no command given")
	return errUsage
}
