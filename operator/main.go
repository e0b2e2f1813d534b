// Command yuccactl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"yuccaspread/common/inventory"
	"yuccaspread/common/loader"
	"yuccaspread/operator/requester"
)

// version is set by the linker.
var version = "development"

func main() {
	if err := run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "yuccactl:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, out io.Writer) (err error) {
	server := "http://127.0.0.1:8080"
	token := os.Getenv("YUCCACTL_TOKEN")
	var files []string
	flaggy.SetName("yuccactl")
	flaggy.SetDescription("Reads and changes the configuration of yuccaspread.")
	flaggy.SetVersion(version)
	flaggy.String(&server, "s", "server", "URL of a daemon")
	flaggy.String(&token, "t", "token", "operator's token; better set YUCCACTL_TOKEN")
	apply := flaggy.NewSubcommand("apply")
	apply.Description = "bring the files in force as the next revision"
	apply.StringSlice(&files, "f", "file", "TOML file of the inventory or the rules; may be repeated")
	get := flaggy.NewSubcommand("get")
	get.Description = "print the configuration in force"
	flaggy.AttachSubcommand(apply, 1)
	flaggy.AttachSubcommand(get, 1)
	flaggy.Parse()
	caller := &requester.Requester{Base: server, Token: token}
	switch {
	case apply.Used:
		return applyFiles(ctx, out, caller, files)
	case get.Used:
		return printConfig(ctx, out, caller)
	default:
		flaggy.ShowHelpAndExit("no command given")
		return nil
	}
}

func applyFiles(ctx context.Context, out io.Writer, caller *requester.Requester, files []string) (err error) {
	wanted, err := readFiles(files)
	if err != nil {
		return err
	}
	present, err := caller.Config(ctx)
	if err != nil {
		return err
	}
	delta, err := present.Diff(wanted)
	if err != nil {
		return err
	}
	if delta.Empty() {
		_, err = fmt.Fprintln(out, "nothing to change, revision", present.Revision)
		return err
	}
	delta.ChangeID = uuid.NewString()
	revision, err := caller.Change(ctx, delta)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "accepted as revision", revision)
	return err
}

// readFiles reads all files as parts of one configuration.
func readFiles(files []string) (config inventory.Config, err error) {
	var all []byte
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return config, err
		}
		all = append(append(all, content...), '\n')
	}
	err = loader.Decode(all, &config)
	return config.Sorted(), err
}

func printConfig(ctx context.Context, out io.Writer, caller *requester.Requester) (err error) {
	config, err := caller.Config(ctx)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(config)
}
