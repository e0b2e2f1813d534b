package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// What playStopWhileWaiting sends: more than the slots of the worker take at once, and few
// enough that all are answered within their time limit where nothing stops.
const (
	stampWork  = 2500 * time.Millisecond
	stampSlots = 6
	stampCount = 4 * stampSlots
	stampLimit = 12 * time.Second
)

// playStopWhileWaiting stops one machine in a planned way while requests wait there for a slot.
// Without trouble nothing is stopped.
func playStopWhileWaiting(w *world) (r result) {
	workers, err := w.startStamps()
	if err != nil {
		return result{err: err}
	}
	time.Sleep(stableTime + 2*time.Second)
	target := w.machines[1]
	client := w.newRequester()
	var requests []*request
	var running sync.WaitGroup
	for range stampCount {
		q := newRequest(target, "/stamp/", stampLimit)
		requests = append(requests, q)
		running.Go(func() { client.send(target, q) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if _, found := findRun(workers, requests[0].id); !found {
		return result{err: fmt.Errorf("%s has reached no worker", requests[0])}
	}
	stopped := time.Now()
	if w.trouble {
		target.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() {
			if !target.hasExited() {
				target.signal(syscall.SIGKILL)
			}
		})
	}
	running.Wait()
	for _, q := range requests {
		if line := w.lostAroundStop(q, workers, stopped); line != "" {
			r.broken = append(r.broken, line)
		}
	}
	if !w.trouble {
		for _, q := range requests {
			if !q.whole || q.status != http.StatusOK {
				return result{err: fmt.Errorf("%s was not served although nothing was stopped", q)}
			}
		}
	}
	return r
}

// startStamps starts the store, an operator's config with one route that must not be repeated,
// a worker in each zone and the machines.
func (w *world) startStamps() (workers []*worker, err error) {
	if err = w.startStore(); err != nil {
		return nil, err
	}
	routes := []any{map[string]any{
		"name": "cert-stamp", "host": routeHost, "prefix": "/stamp/", "kind": "non_idempotent", "timeout-ms": stampLimit.Milliseconds(), "goal-ms": 6000, "priority": 2,
		"service": "cert-registry", "max-attempts": 1, "anonymous": false, "sticky": false, "resumable": false,
	}}
	services := []any{map[string]any{"name": "cert-registry", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false}}
	w.putConfig(1, routes, services, map[string]any{"name": "hule930", "api-keys": []any{apiKey}})
	for i := range zones {
		v := &worker{
			id: fmt.Sprintf("i-%d", i+1), service: "cert-registry", slots: stampSlots, queue: 24,
			work: func(*http.Request) time.Duration { return stampWork },
		}
		if err = w.startWorker(v, i); err != nil {
			return nil, err
		}
		workers = append(workers, v)
	}
	return workers, w.startMachines()
}
