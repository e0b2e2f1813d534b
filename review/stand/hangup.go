package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playHangupWhileStopping stops one machine in a planned way while streams run there. Its
// settings file changes meanwhile, which the platform says by SIGHUP; without trouble it does not.
func playHangupWhileStopping(w *world) (r result) {
	workers, err := w.startStreams()
	if err != nil {
		return result{err: err}
	}
	time.Sleep(stableTime + 2*time.Second)
	target := w.machines[1]
	client := w.newRequester()
	var requests []*request
	var running sync.WaitGroup
	for range 5 {
		q := newRequest(target, "/guest/", 12*time.Second)
		requests = append(requests, q)
		running.Go(func() { client.send(target, q) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	for _, q := range requests {
		if _, found := findRun(workers, q.id); !found {
			return result{err: fmt.Errorf("%s has reached no worker", q)}
		}
	}
	stopped := time.Now()
	target.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if w.trouble {
		if err = target.changeSeeds(); err != nil {
			return result{err: err}
		}
		target.signal(syscall.SIGHUP)
	}
	running.Wait()
	for _, q := range requests {
		if line := w.lostAroundStop(q, workers, stopped); line != "" {
			r.broken = append(r.broken, line)
		}
	}
	return r
}

// startStreams starts the store, an operator's config with one streaming route, three workers
// and the machines.
func (w *world) startStreams() (workers []*worker, err error) {
	if err = w.startStore(); err != nil {
		return nil, err
	}
	routes := []any{map[string]any{
		"name": "guest-answer", "host": routeHost, "prefix": "/guest/", "kind": "streaming", "timeout-ms": 12000, "goal-ms": 400, "priority": 2,
		"service": "yucca-pool", "max-attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gap-goal-ms": 250,
	}}
	services := []any{map[string]any{"name": "yucca-pool", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 5}}}
	w.putConfig(1, routes, services, map[string]any{"name": "hule930", "api-keys": []any{apiKey}})
	for i := range zones {
		v := &worker{
			id: fmt.Sprintf("i-%d", i+1), service: "yucca-pool", slots: 5, queue: 30, events: 43, gap: 100 * time.Millisecond,
			work: func(*http.Request) time.Duration { return 50 * time.Millisecond },
		}
		if err = w.startWorker(v, i); err != nil {
			return nil, err
		}
		workers = append(workers, v)
	}
	return workers, w.startMachines()
}

// changeSeeds writes the settings of the machine anew, with the seeds in another order.
func (m *machine) changeSeeds() error {
	text, err := os.ReadFile(m.settings)
	if err != nil {
		return err
	}
	seeds := m.world.seeds()
	before, after := fmt.Sprintf("%q,%q,%q", seeds...), fmt.Sprintf("%q,%q,%q", seeds[2], seeds[0], seeds[1])
	changed := strings.Replace(string(text), before, after, 1)
	if changed == string(text) {
		return fmt.Errorf("the settings of %s hold no seeds", m.name)
	}
	m.world.note("%s: the settings file has new seeds", m.name)
	return os.WriteFile(m.settings, []byte(changed), 0o600)
}

// lostAroundStop checks the rule LOST for a request that was sent before or after a SIGTERM of
// its machine, without any other disturbance. It returns what breaks the rule, empty for nothing.
func (w *world) lostAroundStop(q *request, workers []*worker, stopped time.Time) string {
	run, passedOn := findRun(workers, q.id)
	switch {
	case q.whole, q.sent.After(stopped.Add(graceTime + time.Second)):
		return ""
	case q.ended.Sub(q.sent) >= q.limit:
		w.note("%s has reached its time limit", q)
		return ""
	case !passedOn && q.ended.Sub(q.sent) <= lossSlack:
		return ""
	}
	if passedOn {
		workEnd := run.ended
		if workEnd.IsZero() {
			workEnd = time.Now()
		}
		lastSixth := stopped.Add(graceTime * 5 / 6)
		if !workEnd.Before(lastSixth) && q.sent.Before(stopped.Add(3*time.Second)) {
			w.note("%s is excused: its worker was at work in the last sixth of the grace time", q)
			return ""
		}
		return fmt.Sprintf("%s was passed on to %s and its connection ended without a whole answer, %.1f s after SIGTERM", q, run.worker, q.ended.Sub(stopped).Seconds())
	}
	return fmt.Sprintf("%s was read and its connection ended without an answer %.1f s after it was sent, %.1f s after SIGTERM", q, q.ended.Sub(q.sent).Seconds(), q.ended.Sub(stopped).Seconds())
}
