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

// Exit statuses besides 0.
const (
	statusFailed      = 1
	statusUsage       = 2
	statusConflict    = 3
	statusRefused     = 4
	statusUnreachable = 5
	statusDiffers     = 6
)

// Errors that have an exit status of their own.
var (
	errUsage   = errors.New("wrong call")
	errDiffers = errors.New("the files differ from the configuration in force")
)

// exitStatus returns the status for the error of a command.
func exitStatus(err error) int {
	var unreachable *url.Error
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		return statusUsage
	case errors.Is(err, errDiffers):
		return statusDiffers
	case errors.Is(err, requester.ErrConflict):
		return statusConflict
	case errors.Is(err, requester.ErrRefused):
		return statusRefused
	case errors.As(err, &unreachable):
		return statusUnreachable
	default:
		return statusFailed
	}
}

// control holds the flags that all commands share.
type control struct {
	Server string
	Token  string
	Format string
	CAFile string
	Out    io.Writer

	caller *requester.Requester
}

// command is one subcommand.
type command struct {
	sub         *flaggy.Subcommand
	description string
	run         func(ctx context.Context) error
}

// commands returns all subcommands in the order in which help shows them.
func (c *control) commands() []command {
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
	}
}

// prepare checks the shared flags.
func (c *control) prepare() (err error) {
	format := printer.Format(c.Format)
	if format != printer.Table && format != printer.JSON {
		return fmt.Errorf("%w: --output is table or json, not %q", errUsage, c.Format)
	}
	if server, err := url.Parse(c.Server); err != nil || server.Host == "" {
		return fmt.Errorf("%w: --server is a URL like http://192.0.2.1:8080, not %q", errUsage, c.Server)
	}
	client := &http.Client{}
	if c.CAFile != "" {
		content, err := os.ReadFile(c.CAFile)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(content) {
			return fmt.Errorf("%w: %s holds no certificate", errUsage, c.CAFile)
		}
		client.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}}
	}
	c.caller = &requester.Requester{Base: c.Server, Token: c.Token, Client: client}
	return nil
}

func (c *control) print(value printer.Tabular) error {
	return printer.Print(c.Out, printer.Format(c.Format), value)
}
