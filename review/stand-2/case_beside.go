package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

func init() { cases["beside"] = runBeside }

// besideBound is how long the worker before may still work on a request that goes on at another one.
const besideBound = 400 * time.Millisecond

// slowTime is how long a worker is slow.
const slowTime = 6500 * time.Millisecond

// runBeside lets one of seven engines turn slow. While it is, its memory runs out: it preempts requests in the middle of
// their streams and reads their prompts again. It looks at a connection only when it writes.
func runBeside(b *bed) (broken bool, err error) {
	const service = "huvo11a"
	b.putConfig(1, []route{{
		"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 8000, "goal-ms": 800, "priority": 0,
		"service": service, "max-attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "gap-goal-ms": 300,
	}}, []map[string]any{{
		"name": service, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 5, "kv-capacity": 611581, "kv-token-bytes": 18432, "stride": 4, "models": []any{map[string]any{"name": "m"}}},
	}})
	for range 7 {
		if _, err := b.addWorker(service, "v1", 5, "-events", "13", "-first", "200ms", "-gap", "15ms", "-preemption", "700ms"); err != nil {
			return false, err
		}
	}
	if err = b.addDaemons(3); err != nil {
		return false, err
	}
	if err = b.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	l := &load{bed: b, perSecond: 50, next: func(n int) call {
		return call{method: "POST", path: "/lohu930/2f", deadline: 8 * time.Second, prefix: fmt.Sprintf("5c1e07a2:60,%08x:3660", 0xb0000+n), tokens: [2]int{3720, 52}}
	}}
	l.start()
	time.Sleep(6 * time.Second)
	if b.trouble {
		b.note("worker %s turns slow", b.workers[0].id)
		b.workers[0].signal(syscall.SIGUSR1)
	}
	time.Sleep(slowTime)
	if b.trouble {
		b.note("worker %s is as quick as before", b.workers[0].id)
		b.workers[0].signal(syscall.SIGUSR1)
	}
	l.stop()
	time.Sleep(3 * time.Second)
	return b.checkBeside(), nil
}

// checkBeside checks TWICE: requests that go on at a worker while the one before works on.
func (b *bed) checkBeside() (broken bool) {
	type work struct {
		worker   string
		from, to time.Time
	}
	byAttempt := map[string][]work{}
	for _, w := range b.workers {
		ends := map[string]time.Time{}
		for _, said := range append(w.said("cut"), w.said("completes")...) {
			ends[said.attempt] = said.at
		}
		for _, said := range w.said("runs") {
			byAttempt[said.attempt] = append(byAttempt[said.attempt], work{w.id, said.at, ends[said.attempt]})
		}
	}
	for attempt, list := range byAttempt {
		slices.SortFunc(list, func(a, b work) int { return a.from.Compare(b.from) })
		for i, next := range list[1:] {
			before := list[i]
			if before.to.IsZero() {
				continue
			}
			beside := before.to.Sub(next.from)
			b.note("request %s: %s works on it from %.3f s to %.3f s, %s from %.3f s on: %d ms beside each other", attempt, before.worker,
				b.since(before.from), b.since(before.to), next.worker, b.since(next.from), max(beside.Milliseconds(), 0))
			broken = broken || beside > besideBound
		}
	}
	return broken
}
