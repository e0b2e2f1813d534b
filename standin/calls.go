package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"yuccaspread/common/allocator"
	"yuccaspread/standin/caller"
	"yuccaspread/standin/meter"
)

// printPorts prints distinct TCP ports that are free at the moment.
func printPorts(out io.Writer, count int) (err error) {
	var ports allocator.Allocator
	defer ports.Close()
	for range count {
		port, err := ports.Port()
		if err != nil {
			return err
		}
		if _, err = fmt.Fprintln(out, port); err != nil {
			return err
		}
	}
	return nil
}

// runCallers sends the configured requests and prints the counts as JSON. It returns
// an error if a request was lost, cut or duplicated.
func runCallers(ctx context.Context, out io.Writer, s callerSettings) (err error) {
	if len(s.Daemons) == 0 || len(s.Kinds) == 0 {
		return errors.New("callers: daemons and kinds must not be empty")
	}
	c := caller.Caller{Daemons: s.Daemons, Kinds: s.Kinds, Requests: s.Requests, Parallel: s.Parallel}
	tally := c.Run(ctx)
	if err = json.NewEncoder(out).Encode(tally); err != nil {
		return err
	}
	if tally.Lost+tally.Cut+tally.Duplicated > 0 {
		return errors.New("requests were lost, cut or duplicated")
	}
	return nil
}

// runMeter measures with the given settings and prints the result as JSON.
func runMeter(ctx context.Context, out io.Writer, s meterSettings) (err error) {
	m := meter.Meter{
		Direct: s.Direct, Through: s.Through, Path: s.Path, Body: s.Body, Token: s.Token,
		Requests: s.Requests, Parallel: s.Parallel,
	}
	result, err := m.Run(ctx)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(result)
}
