package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"

	"yuccaspread/standin/caller"
	"yuccaspread/standin/meter"
)

// printPorts prints ports that are free at this moment, without doubles.
func printPorts(ctx context.Context, out io.Writer, count int) (err error) {
	var config net.ListenConfig
	for range count {
		socket, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = socket.Close() }()
		if _, err = fmt.Fprintln(out, socket.Addr().(*net.TCPAddr).Port); err != nil {
			return err
		}
	}
	return nil
}

// callAll sends the requests of the settings and prints the counts as JSON.
func callAll(ctx context.Context, out io.Writer, s callerSettings) (err error) {
	if len(s.Daemons) == 0 || len(s.Kinds) == 0 {
		return errors.New("callers: daemons and kinds must not be empty")
	}
	callers := caller.Caller{Daemons: s.Daemons, Kinds: s.Kinds, Requests: s.Requests, Parallel: s.Parallel}
	tally := callers.Run(ctx)
	if err = json.NewEncoder(out).Encode(tally); err != nil {
		return err
	}
	if tally.Lost+tally.Cut+tally.Duplicated > 0 {
		return errors.New("requests were lost, cut or duplicated")
	}
	return nil
}

// measurePath measures with the settings and prints the result as JSON.
func measurePath(ctx context.Context, out io.Writer, s meterSettings) (err error) {
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
