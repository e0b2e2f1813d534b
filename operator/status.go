package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"yuccaspread/common/clock"
	"yuccaspread/operator/requester"
)

// pollInterval is the time between two requests of a command that polls a daemon.
const pollInterval = 1 * clock.Second

// columnRevision is the heading of columns with revisions.
const columnRevision = "REVISION"

// statusResponse reports at how many daemons the newest revision is in force, and
// which daemons are behind.
type statusResponse struct {
	Accepted     int64 `json:"accepted"`
	TableReached bool  `json:"table_reached"`
	InForce      int   `json:"in_force"`
	Daemons      int   `json:"daemons"`
	Missing      []struct {
		Name     string `json:"name"`
		Region   string `json:"region"`
		Revision int64  `json:"revision"`
		Reached  bool   `json:"reached"`
	} `json:"missing"`
}

// Header implements printer.Tabular.
func (statusResponse) Header() []string {
	return []string{"ACCEPTED", "IN FORCE", "TABLE REACHED", "MISSING", "REGION", columnRevision, "REACHED"}
}

// Rows implements printer.Tabular.
func (s statusResponse) Rows() [][]string {
	first := []string{
		strconv.FormatInt(s.Accepted, 10), fmt.Sprintf("%d of %d", s.InForce, s.Daemons),
		strconv.FormatBool(s.TableReached), "-", "-", "-", "-",
	}
	rows := [][]string{first}
	for _, m := range s.Missing {
		rows = append(rows, []string{
			"", "", "", m.Name, m.Region,
			strconv.FormatInt(m.Revision, 10), strconv.FormatBool(m.Reached),
		})
	}
	return rows
}

// fetchStatus requests the status from the daemon.
func (c *cli) fetchStatus(ctx context.Context) (s statusResponse, err error) {
	err = c.api.Call(ctx, http.MethodGet, "/v1/admin/status", nil, &s)
	return s, err
}

// statusCommand returns the command that prints where the newest revision is in
// force.
func (c *cli) statusCommand() command {
	sub := flaggy.NewSubcommand("status")
	return command{sub, "tell where the newest revision is in force", func(ctx context.Context) (err error) {
		s, err := c.fetchStatus(ctx)
		if err != nil {
			return err
		}
		return c.print(s)
	}}
}

// watchCommand returns the command that prints the status whenever it changes,
// until it is interrupted or, with --until-in-force, until the newest revision is
// in force at every daemon.
func (c *cli) watchCommand() command {
	sub := flaggy.NewSubcommand("watch")
	var untilInForce bool
	minDaemons := 1
	sub.Bool(&untilInForce, "u", "until-in-force", "stop as soon as every daemon has the newest revision")
	sub.Int(&minDaemons, "d", "daemons", "with --until-in-force: wait for at least so many daemons")
	return command{sub, "print the status whenever it changes", func(ctx context.Context) (err error) {
		var lastStatus statusResponse
		for done := false; !done; {
			if lastStatus, err = c.pollStatus(ctx, lastStatus); err != nil {
				break
			}
			done = untilInForce && lastStatus.TableReached && lastStatus.InForce == lastStatus.Daemons && lastStatus.Daemons >= minDaemons
			done = done || waitForNextPoll(ctx) != nil
		}
		if ctx.Err() != nil {
			// An interrupt is the normal way to end the command, not a failure.
			err = nil
		}
		return err
	}}
}

// pollStatus fetches the status and prints it if it differs from previous.
func (c *cli) pollStatus(ctx context.Context, previous statusResponse) (s statusResponse, err error) {
	s, err = c.fetchStatus(ctx)
	if err == nil && !reflect.DeepEqual(s, previous) {
		err = c.print(s)
	}
	return s, err
}

// waitForNextPoll waits for pollInterval; it returns the context's error if ctx
// ends earlier.
func waitForNextPoll(ctx context.Context) error {
	select {
	case <-time.After(pollInterval.Duration()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drainResponse is the response of a daemon that begins a planned stop. Audited
// reports whether the daemon recorded the request in the audit log.
type drainResponse struct {
	Daemon  string `json:"daemon"`
	Audited bool   `json:"audited"`
}

// Header implements printer.Tabular.
func (drainResponse) Header() []string { return []string{"DRAINING", "AUDITED"} }

// Rows implements printer.Tabular.
func (d drainResponse) Rows() [][]string {
	return [][]string{{d.Daemon, strconv.FormatBool(d.Audited)}}
}

// errNotStopped means that a drained daemon did not stop within --wait seconds.
var errNotStopped = errors.New("the daemon has not stopped yet")

// drainCommand returns the command that begins a planned stop of the daemon that
// --server names.
func (c *cli) drainCommand() command {
	sub := flaggy.NewSubcommand("drain")
	waitSeconds := 0
	sub.Int(&waitSeconds, "w", "wait", "seconds to wait for the daemon's end; 0 does not wait")
	return command{sub, "begin a planned stop of the daemon that --server names", func(ctx context.Context) (err error) {
		var response drainResponse
		if err = c.api.Call(ctx, http.MethodPost, "/v1/admin/drain", nil, &response); err != nil {
			return err
		}
		if err = c.print(response); err != nil || waitSeconds <= 0 {
			return err
		}
		return c.awaitStop(ctx, clock.Millis(waitSeconds)*clock.Second)
	}}
}

// awaitStop polls the server until a request fails, and returns errNotStopped if
// that takes longer than timeout. A request that the daemon refuses with a 4xx
// status does not count as failed.
func (c *cli) awaitStop(ctx context.Context, timeout clock.Millis) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	for ctx.Err() == nil {
		err = c.api.Call(ctx, http.MethodGet, "/healthz", nil, nil)
		if err != nil && ctx.Err() == nil && !errors.Is(err, requester.ErrRefused) {
			return nil
		}
		time.Sleep(pollInterval.Duration())
	}
	return errNotStopped
}
