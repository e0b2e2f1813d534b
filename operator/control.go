package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/integrii/flaggy"

	"yuccaspread/operator/printer"
	"yuccaspread/operator/requester"
)

// Exit statuses other than 0; the package comment lists them.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitRefused     = 4
	exitUnreachable = 5
	exitDiffers     = 6
)

// Errors that have an exit status of their own.
var (
	errUsage   = errors.New("invalid usage")
	errDiffers = errors.New("the files differ from the configuration in force")
)

// exitStatus returns the process's exit status for a command's error.
func exitStatus(err error) int {
	var unreachable *url.Error
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errDiffers):
		return exitDiffers
	case errors.Is(err, requester.ErrConflict):
		return exitConflict
	case errors.Is(err, requester.ErrRefused):
		return exitRefused
	case errors.As(err, &unreachable):
		return exitUnreachable
	default:
		return exitFailure
	}
}

// cli holds the flags that all commands share and, after prepare, the client of
// the administration API.
type cli struct {
	Server string
	Token  string
	Format string
	CAFile string
	Out    io.Writer

	api *requester.Requester
}

// command is a subcommand with its help text and implementation.
type command struct {
	sub         *flaggy.Subcommand
	description string
	run         func(ctx context.Context) error
}

// commands returns all subcommands in the order in which help shows them.
func (c *cli) commands() []command {
	return []command{
		c.applyCommand(),
		c.diffCommand(),
		c.getCommand(),
		c.importCommand(),
		c.statusCommand(),
		c.watchCommand(),
		c.historyCommand(),
		c.undoCommand(),
		c.movesCommand(),
		c.drainCommand(),
		c.addressesCommand(),
		c.auditCommand(),
		c.explainCommand(),
	}
}

// prepare validates the shared flags and sets c.api. It sends no request; every
// error that it returns wraps errUsage.
func (c *cli) prepare() (err error) {
	format := printer.Format(c.Format)
	if format != printer.Table && format != printer.JSON {
		return fmt.Errorf("%w: --output must be table or json, got %q", errUsage, c.Format)
	}
	if server, err := url.Parse(c.Server); err != nil || server.Host == "" {
		return fmt.Errorf("%w: --server must be a URL such as http://192.0.2.1:8080, got %q", errUsage, c.Server)
	}
	client := &http.Client{}
	if c.CAFile != "" {
		content, err := os.ReadFile(c.CAFile)
		if err != nil {
			return fmt.Errorf("%w: --ca-file: %w", errUsage, err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(content) {
			return fmt.Errorf("%w: --ca-file: %s contains no PEM certificate", errUsage, c.CAFile)
		}
		client.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}}
	}
	c.api = &requester.Requester{BaseURL: c.Server, Token: c.Token, HTTPClient: client}
	return nil
}

func (c *cli) print(value printer.Tabular) error {
	return printer.Print(c.Out, printer.Format(c.Format), value)
}
