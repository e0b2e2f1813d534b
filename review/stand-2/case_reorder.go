package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["reorder"] = runReorder }

// Figures of the roll-outs, from the settings of a process and the pages.
const (
	orderDuration = 15 * time.Second
	exposeShare   = 0.1
	exposeSlack   = 50
	rollbackBound = 5 * time.Second
	badAnswers    = 50
	// drainDelay is how long after "rolled_back" the workers of the version are told to leave, and drainBound how
	// much longer they may still get requests.
	drainDelay = 8 * time.Second
)

// runReorder lets the operator order the next version of a service as soon as a bad one was rolled back, while the
// workers of the bad one have not left yet.
func runReorder(b *bed) (broken bool, err error) {
	const service = "huvo11a"
	b.putConfig(1, []route{{
		"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 2000, "goal-ms": 400, "priority": 0,
		"service": service, "max-attempts": 1, "anonymous": false, "resumable": false, "gap-goal-ms": 250,
	}}, []map[string]any{{"name": service, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false}})
	add := func(version string, flags ...string) (list []*worker, err error) {
		for range 4 {
			w, err := b.addWorker(service, version, 8, append(flags, "-events", "6", "-first", "20ms", "-gap", "8ms", "-slowdown", "0.3")...)
			if err != nil {
				return nil, err
			}
			list = append(list, w)
		}
		return list, nil
	}
	if _, err = add("v1"); err != nil {
		return false, err
	}
	if err = b.addDaemons(3); err != nil {
		return false, err
	}
	if err = b.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var served, failed atomic.Int64
	l := &load{bed: b, perSecond: 200, next: func(int) call {
		return call{method: http.MethodPost, path: "/lohu930/2f", deadline: 2 * time.Second}
	}, done: func(_ int, c call, sentAt time.Time, r result) {
		mu.Lock()
		defer mu.Unlock()
		sent[c.id] = sentAt
		if r.status == http.StatusOK {
			served.Add(1)
		} else {
			failed.Add(1)
		}
	}}
	l.start()
	time.Sleep(3 * time.Second)
	rolledBack := make(chan time.Time, 1)
	b.store.onPut = func(r row) {
		var status struct{ Service, To, State string }
		_ = json.Unmarshal(r.Value, &status)
		b.note("status of %s: %s of %s", status.Service, status.State, status.To)
		if status.To == "v2" && status.State == "rolled_back" {
			select {
			case rolledBack <- time.Now():
			default:
			}
		}
	}
	orderedAt := time.Now()
	b.note("the operator orders v2")
	b.store.put("op", "rollout/"+service, map[string]any{"service": service, "to": "v2", "duration-s": orderDuration.Seconds()})
	bad, err := add("v2", "-fail-share", "0.2")
	if err != nil {
		return false, err
	}
	select {
	case <-rolledBack:
	case <-time.After(orderDuration):
		return false, fmt.Errorf("v2 was not rolled back")
	}
	go func() {
		time.Sleep(drainDelay)
		b.note("the workers of v2 report that they are draining")
		for _, w := range bad {
			w.state = "draining"
			w.write()
		}
	}()
	if b.trouble {
		time.Sleep(2 * time.Second)
		if _, err = add("v3"); err != nil {
			return false, err
		}
		b.note("the operator orders v3")
		b.store.put("op", "rollout/"+service, map[string]any{"service": service, "to": "v3", "duration-s": orderDuration.Seconds()})
	}
	time.Sleep(time.Until(orderedAt.Add(orderDuration)))
	l.stop()
	return b.checkExposure("v2", orderedAt, sent), nil
}

// checkExposure checks EXPOSURE for a version that is bad.
func (b *bed) checkExposure(version string, orderedAt time.Time, sent map[string]time.Time) (broken bool) {
	total, exposed := 0, 0
	bySecond := map[string]int{}
	for _, r := range b.runs() {
		bySecond[fmt.Sprintf("%02.0f s %s", b.since(r.at), r.version)]++
	}
	for _, second := range slices.Sorted(maps.Keys(bySecond)) {
		b.log("requests in the second around %s: %d", second, bySecond[second])
	}
	for _, r := range b.runs() {
		if r.at.Before(orderedAt) || r.at.After(orderedAt.Add(orderDuration)) {
			continue
		}
		total++
		if r.version == version {
			exposed++
		}
	}
	bound := exposeShare*float64(total) + exposeSlack
	b.note("%s got %d of %d requests between its order and its time limit; the bound is %.0f", version, exposed, total, bound)
	broken = float64(exposed) > bound
	var fails []time.Time
	for _, w := range b.workers {
		if w.version == version {
			for _, said := range w.said("fails") {
				fails = append(fails, said.at)
			}
		}
	}
	sortTimes(fails)
	b.note("%s gave %d bad answers", version, len(fails))
	if len(fails) < badAnswers {
		return broken
	}
	late := 0
	for _, r := range b.runs() {
		if r.version == version && sent[r.attempt].After(fails[badAnswers-1].Add(rollbackBound)) {
			late++
		}
	}
	b.note("%s got %d requests that were sent later than %v after its 50th bad answer, at %.3f s", version, late, rollbackBound, b.since(fails[badAnswers-1]))
	return broken || late > 0
}
