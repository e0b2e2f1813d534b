package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The allotment of the tenant in tokens, and what its requesters send.
const (
	tenantRate    = 20000
	tenantBurst   = 95000
	requestTokens = 1900
	// homeOfTenant is the machine that lends the tenant's allotment to the others, which follows
	// from the names of the machines and of the tenant.
	homeOfTenant   = "front-graz-a-1"
	floodTime      = 11 * time.Second
	floodLoops     = 3
	floodPause     = 280 * time.Millisecond
	killPause      = 2 * time.Second
	killCount      = 3
	requesterLimit = 1200 * time.Millisecond
)

// playRestarts kills the process of one machine a few times while one tenant sends many times its
// allotment. Without trouble nothing is killed.
func playRestarts(w *world) (r result) {
	workers, err := w.startQuick()
	if err != nil {
		return result{err: err}
	}
	// By then the allotment has its whole burst left.
	time.Sleep(stableTime + tenantBurst/tenantRate*time.Second + 2*time.Second)
	var mu sync.Mutex
	var requests []*request
	end := time.Now().Add(floodTime)
	var running sync.WaitGroup
	for _, m := range w.machines {
		for range floodLoops {
			running.Go(func() {
				client := w.newRequester()
				for time.Now().Before(end) {
					q := newRequest(m, "/check/", requesterLimit)
					q.tokens = fmt.Sprintf("%d,0", requestTokens)
					mu.Lock()
					requests = append(requests, q)
					mu.Unlock()
					q.sent = time.Now()
					client.sendQuietly(m, q)
					time.Sleep(floodPause)
				}
			})
		}
	}
	time.Sleep(time.Second)
	for range killCount {
		if w.trouble {
			for _, m := range w.machines {
				if m.name == homeOfTenant {
					m.signal(syscall.SIGKILL)
				}
			}
		}
		time.Sleep(killPause)
	}
	running.Wait()
	for _, q := range requests {
		run, found := findRun(workers, q.id)
		w.note("%s was sent at %.3f, ended at %.3f, status %d, whole %v, run %v %s", q, w.at(q.sent), w.at(q.ended), q.status, q.whole, found, run.worker)
	}
	most, from := mostInWindow(requests, workers)
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaExcess) + quotaSlack
	w.note("in the %v from %.1f s on, %d tokens of the tenant were sent and run; the rule allows %.0f", quotaWindow, w.at(from), most, allowed)
	if most < tenantBurst {
		return result{err: fmt.Errorf("only %d tokens were run", most)}
	}
	if float64(most) > allowed {
		r.broken = append(r.broken, fmt.Sprintf("%d tokens of the tenant in %v, allowed are %.0f", most, quotaWindow, allowed))
	}
	return r
}

// mostInWindow returns the most tokens of requests that were sent and began to run within one
// window, and when that window begins.
func mostInWindow(requests []*request, workers []*worker) (most int, from time.Time) {
	type arrival struct {
		sent, began time.Time
		tokens      int
	}
	var arrivals []arrival
	for _, q := range requests {
		if run, found := findRun(workers, q.id); found {
			arrivals = append(arrivals, arrival{q.sent, run.began, run.tokens})
		}
	}
	for _, first := range arrivals {
		sum := 0
		for _, a := range arrivals {
			if !a.sent.Before(first.sent) && a.began.Before(first.sent.Add(quotaWindow)) {
				sum += a.tokens
			}
		}
		if sum > most {
			most, from = sum, first.sent
		}
	}
	return most, from
}

// sendQuietly sends a request without a line of its own in the record.
func (c *requester) sendQuietly(m *machine, q *request) {
	quiet := &requester{world: &world{record: discard{}, started: c.world.started}, client: c.client}
	quiet.send(m, q)
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// startQuick starts the store, an operator's config with one route of a tenant that has an
// allotment, quick workers and the machines, which the platform starts again when they end.
func (w *world) startQuick() (workers []*worker, err error) {
	if err = w.startStore(); err != nil {
		return nil, err
	}
	routes := []any{map[string]any{
		"name": "seat-check", "host": routeHost, "prefix": "/check/", "kind": "idempotent", "timeout-ms": requesterLimit.Milliseconds(), "goal-ms": 200, "priority": 2,
		"service": "booking-app", "max-attempts": 2, "anonymous": false, "sticky": false, "resumable": false,
	}}
	services := []any{map[string]any{"name": "booking-app", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false}}
	w.putConfig(1, routes, services, map[string]any{
		"name": "hule930", "api-keys": []any{apiKey}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": tenantRate, "burst": tenantBurst,
	})
	for i := range zones {
		v := &worker{
			id: fmt.Sprintf("i-%d", i+1), service: "booking-app", slots: 40, queue: 24,
			work: func(*http.Request) time.Duration { return 10 * time.Millisecond },
		}
		if err = w.startWorker(v, i); err != nil {
			return nil, err
		}
		workers = append(workers, v)
	}
	if err = w.startMachines(); err != nil {
		return nil, err
	}
	for _, m := range w.machines {
		m.mu.Lock()
		m.keepUp = true
		m.mu.Unlock()
	}
	return workers, nil
}
