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

// watchInterval is the time between two looks of the watch command.
const watchInterval = 1 * clock.Second

// columnRevision heads the columns with revisions.
const columnRevision = "REVISION"

// status tells where the newest revision is in force.
type status struct {
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
func (status) Header() []string {
	return []string{"ACCEPTED", "IN FORCE", "TABLE REACHED", "MISSING", "REGION", columnRevision, "REACHED"}
}

// Rows implements printer.Tabular.
func (s status) Rows() [][]string {
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

func (c *control) status(ctx context.Context) (s status, err error) {
	err = c.caller.Call(ctx, http.MethodGet, "/v1/admin/status", nil, &s)
	return s, err
}

// statusCommand prints where the newest revision is in force.
func (c *control) statusCommand() command {
	sub := flaggy.NewSubcommand("status")
	return command{sub, "tell where the newest revision is in force", func(ctx context.Context) (err error) {
		s, err := c.status(ctx)
		if err != nil {
			return err
		}
		return c.print(s)
	}}
}

// watchCommand prints the status whenever it changes, until it is interrupted
// or, with --until-in-force, until no daemon is behind.
func (c *control) watchCommand() command {
	sub := flaggy.NewSubcommand("watch")
	var until bool
	daemons := 1
	sub.Bool(&until, "u", "until-in-force", "stop as soon as every daemon has the newest revision")
	sub.Int(&daemons, "d", "daemons", "with --until-in-force: wait for at least so many daemons")
	return command{sub, "print the status whenever it changes", func(ctx context.Context) (err error) {
		var last status
		for done := false; !done; {
			if last, err = c.look(ctx, last); err != nil {
				break
			}
			done = until && last.TableReached && last.InForce == last.Daemons && last.Daemons >= daemons
			done = done || pause(ctx) != nil
		}
		if ctx.Err() != nil {
			// An interrupt is the usual end of watching.
			err = nil
		}
		return err
	}}
}

// look reads the status and prints it when it differs from the last one.
func (c *control) look(ctx context.Context, last status) (s status, err error) {
	s, err = c.status(ctx)
	if err == nil && !reflect.DeepEqual(s, last) {
		err = c.print(s)
	}
	return s, err
}

// pause waits for the next look; it returns the context's error when ctx ends.
func pause(ctx context.Context) error {
	select {
	case <-time.After(watchInterval.Duration()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drained is the answer of a daemon that begins a planned stop.
type drained struct {
	Daemon  string `json:"daemon"`
	Audited bool   `json:"audited"`
}

// Header implements printer.Tabular.
func (drained) Header() []string { return []string{"DRAINING", "AUDITED"} }

// Rows implements printer.Tabular.
func (d drained) Rows() [][]string {
	return [][]string{{d.Daemon, strconv.FormatBool(d.Audited)}}
}

// errStillThere tells that a drained daemon did not stop in time.
var errStillThere = errors.New("the daemon has not stopped yet")

// drainCommand begins a planned stop of the daemon that --server names.
func (c *control) drainCommand() command {
	sub := flaggy.NewSubcommand("drain")
	waitSeconds := 0
	sub.Int(&waitSeconds, "w", "wait", "seconds to wait for the daemon's end; 0 does not wait")
	return command{sub, "begin a planned stop of the daemon that --server names", func(ctx context.Context) (err error) {
		var answer drained
		if err = c.caller.Call(ctx, http.MethodPost, "/v1/admin/drain", nil, &answer); err != nil {
			return err
		}
		if err = c.print(answer); err != nil || waitSeconds <= 0 {
			return err
		}
		return c.awaitStop(ctx, clock.Millis(waitSeconds)*clock.Second)
	}}
}

// awaitStop waits until nobody answers at the server any more.
func (c *control) awaitStop(ctx context.Context, span clock.Millis) (err error) {
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	for ctx.Err() == nil {
		err = c.caller.Call(ctx, http.MethodGet, "/healthz", nil, nil)
		if err != nil && ctx.Err() == nil && !errors.Is(err, requester.ErrRefused) {
			return nil
		}
		time.Sleep(watchInterval.Duration())
	}
	return errStillThere
}
