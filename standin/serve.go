package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/standin/answerer"
	"yuccaspread/standin/generator"
	"yuccaspread/standin/injector"
	"yuccaspread/standin/lister"
	"yuccaspread/standin/registrar"
	"yuccaspread/standin/storer"
	"yuccaspread/standin/worker"
)

// stopTimeout bounds the wait for calls in progress at shutdown.
const stopTimeout = 10 * clock.Second

// newRouters returns the handler for each listening address.
func newRouters(s settings) map[string]http.Handler {
	routers := map[string]http.Handler{}
	weights := &generator.WeightStore{BytesPerSecond: s.Platform.WeightBytesPerSecond, Bytes: s.Platform.WeightBytes}
	if s.Platform.Listen != "" {
		router := mux.NewRouter()
		store, vmList := &storer.Storer{}, &lister.Lister{WeightStatus: weights.Status}
		store.Register(router)
		vmList.Register(router)
		faults := &injector.Injector{FreezeReads: store.FreezeReads, SetListLag: vmList.SetLag}
		routers[s.Platform.Listen] = faults.Handler(router)
	}
	if s.Register.Listen != "" {
		router := mux.NewRouter()
		(&registrar.Registrar{}).Register(router)
		faults := &injector.Injector{}
		routers[s.Register.Listen] = faults.Handler(router)
	}
	for _, conf := range s.Workers {
		router := mux.NewRouter()
		(&worker.Worker{ID: conf.ID, Slots: conf.Slots, Queue: conf.Queue, WorkTime: conf.WorkMS, Events: conf.Events, EventGap: conf.GapMS, Crash: crash}).Register(router)
		routers[conf.Listen] = router
	}
	for _, conf := range s.Engines {
		router := mux.NewRouter()
		engine := &generator.Generator{
			Name: conf.Name, Version: conf.Version, Slots: conf.Slots,
			PrefillTokensPerSecond: conf.PrefillTokensPerSecond,
			TokenGap:               conf.TokenGapMS, GapPerRequest: conf.GapPerRequestMS,
			CacheBlocks: conf.CacheBlocks, ReportEvery: conf.ReportEveryMS, LoseEvery: conf.LoseEvery,
			ChecksFencing: conf.ChecksFencing, WeightStore: weights, VersionFaults: conf.Behaviours,
		}
		engine.Crash = crash
		engine.Register(router)
		routers[conf.Listen] = router
	}
	for _, conf := range s.Services {
		router := mux.NewRouter()
		(&answerer.Answerer{Name: conf.Name, Delay: conf.DelayMS, Crash: crash}).Register(router)
		routers[conf.Listen] = router
	}
	return routers
}

// crash exits the process at once, like a crashing engine.
func crash() {
	os.Exit(crashStatus)
}

// crashStatus is the exit status of a simulated crash.
const crashStatus = 3

// serveAll serves until ctx is done or a server fails, then waits for the calls in
// progress for up to stopTimeout.
func serveAll(ctx context.Context, routers map[string]http.Handler) (err error) {
	if len(routers) == 0 {
		return errors.New("settings: no address to listen on")
	}
	var servers []*http.Server
	var running sync.WaitGroup
	serveErrors := make(chan error, len(routers))
	for address, router := range routers {
		var config net.ListenConfig
		socket, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		server := &http.Server{Handler: router, ReadHeaderTimeout: stopTimeout.Duration(), ConnContext: worker.ConnContext}
		servers = append(servers, server)
		running.Go(func() { serveErrors <- server.Serve(socket) })
	}
	klog.InfoS("serving", "listeners", len(servers))
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(stopCtx))
	}
	running.Wait()
	return err
}
