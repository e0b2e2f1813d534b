// Command yuccastandin runs small stand-ins for the systems that yuccaspread
// meets: the platform, language model engines and plain services.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/gorilla/mux"
	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/loader"
	"yuccaspread/common/logger"
	"yuccaspread/standin/answerer"
	"yuccaspread/standin/caller"
	"yuccaspread/standin/generator"
	"yuccaspread/standin/lister"
	"yuccaspread/standin/storer"
)

// version is set by the linker.
var version = "development"

// stopTimeout bounds the wait for calls in progress at a planned stop.
const stopTimeout = 10 * clock.Second

func main() {
	logger.Setup(os.Stderr, "yuccastandin", false)
	var path string
	var sets []string
	var check bool
	flaggy.SetName("yuccastandin")
	flaggy.SetDescription("Stand-ins for the platform, engines and services.")
	flaggy.SetVersion(version)
	flaggy.String(&path, "s", "settings", "TOML file with the settings")
	flaggy.StringSlice(&sets, "", "set", "setting as section.key=value; may be repeated")
	flaggy.Bool(&check, "c", "check", "only check the settings")
	call := flaggy.NewSubcommand("call")
	call.Description = "send requests as callers do and print the counts"
	flaggy.AttachSubcommand(call, 1)
	count := 1
	ports := flaggy.NewSubcommand("ports")
	ports.Description = "print free loopback ports, one a line"
	ports.Int(&count, "n", "count", "how many")
	flaggy.AttachSubcommand(ports, 1)
	flaggy.Parse()
	if ports.Used {
		if err := printPorts(os.Stdout, count); err != nil {
			klog.ErrorS(err, "no free ports")
			os.Exit(1)
		}
		return
	}
	if err := run(path, sets, check, call.Used); err != nil {
		klog.ErrorS(err, "stopped")
		klog.Flush()
		os.Exit(1)
	}
}

func run(path string, sets []string, check, call bool) (err error) {
	var s settings
	if err = loader.Load(loader.Source{Path: path, Prefix: "YUCCASTANDIN", Flags: sets}, &s); err != nil || check {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if call {
		return callAll(ctx, os.Stdout, s.Callers)
	}
	return serveAll(ctx, routers(s))
}

// printPorts prints ports that are free at this moment, without doubles.
func printPorts(out io.Writer, count int) (err error) {
	var config net.ListenConfig
	for range count {
		socket, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
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
	callers := caller.Caller{Daemons: s.Daemons, Kinds: s.Kinds, Requests: s.Requests, Parallel: s.Parallel, Region: s.Region}
	tally := callers.Run(ctx)
	if err = json.NewEncoder(out).Encode(tally); err != nil {
		return err
	}
	if tally.Lost+tally.Cut+tally.Duplicated > 0 {
		return errors.New("requests were lost, cut or duplicated")
	}
	return nil
}

// routers returns the handler of each listening address.
func routers(s settings) map[string]http.Handler {
	all := map[string]http.Handler{}
	if s.Platform.Listen != "" {
		router := mux.NewRouter()
		(&storer.Storer{}).Register(router)
		(&lister.Lister{}).Register(router)
		all[s.Platform.Listen] = router
	}
	for _, e := range s.Engines {
		router := mux.NewRouter()
		engine := &generator.Generator{
			Name: e.Name, Version: e.Version, Slots: e.Slots,
			PrefillTokensPerSecond: e.PrefillTokensPerSecond,
			TokenGap:               e.TokenGapMS, GapPerRequest: e.GapPerRequestMS,
			CacheBlocks: e.CacheBlocks, ReportEvery: e.ReportEveryMS, LoseEvery: e.LoseEvery,
		}
		engine.Register(router)
		all[e.Listen] = router
	}
	for _, v := range s.Services {
		router := mux.NewRouter()
		(&answerer.Answerer{Name: v.Name, Delay: v.DelayMS}).Register(router)
		all[v.Listen] = router
	}
	return all
}

// serveAll serves until ctx ends, then waits for the calls in progress.
func serveAll(ctx context.Context, routers map[string]http.Handler) (err error) {
	var servers []*http.Server
	var wait sync.WaitGroup
	failed := make(chan error, len(routers))
	for address, router := range routers {
		var config net.ListenConfig
		socket, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		server := &http.Server{Handler: router, ReadHeaderTimeout: stopTimeout.Duration()}
		servers = append(servers, server)
		wait.Go(func() { failed <- server.Serve(socket) })
	}
	klog.InfoS("serving", "listeners", len(servers))
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(stop))
	}
	wait.Wait()
	return err
}
