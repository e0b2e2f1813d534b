package main

import (
	"fmt"
	"time"
)

func init() { cases["truncated"] = runTruncated }

// runTruncated lets a worker crash while a caller reads its stream slowly. The worker answers with neither a length
// nor chunks, and is back two seconds later, before the caller has read what had come until the crash.
func runTruncated(b *bed) (broken bool, err error) {
	b.putConfig(1, []route{{
		"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 60000, "goal-ms": 600, "priority": 0,
		"service": "huvo11a", "max-attempts": 1, "anonymous": false, "resumable": false, "gap-goal-ms": 250,
	}}, []map[string]any{{"name": "huvo11a", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false}})
	var workers []*worker
	for range 4 {
		w, err := b.addWorker("huvo11a", "v1", 5, "-unframed", "-events", "1400", "-event-bytes", "8000", "-gap", "5ms")
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err = b.addDaemons(2); err != nil {
		return false, err
	}
	if err = b.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const callers = 8
	results := make(chan bool, callers)
	for i := range callers {
		go func() {
			c := call{method: "POST", path: "/lohu930/2f", id: fmt.Sprintf("attempt-%d", i), deadline: 60 * time.Second, bytesPerSecond: 300_000}
			b.note("caller %s: %s %s sent to %s", c.id, c.method, c.path, b.daemons[i%2].name)
			r := c.do(b.daemons[i%2].front)
			got, total := events(r.body)
			bad := r.status == 200 && r.whole && got < total
			b.note("caller %s: status %d, %d of %d events, %s, seal %q, bad %v", c.id, r.status, got, total, r.reason(), r.header.Get("Response-Seal"), bad)
			results <- bad
		}()
	}
	time.Sleep(4500 * time.Millisecond)
	if b.trouble {
		b.note("worker %s crashes", workers[0].id)
		workers[0].kill()
		time.Sleep(2 * time.Second)
		if err = workers[0].start(); err != nil {
			return false, err
		}
		b.note("worker %s is back", workers[0].id)
	}
	for range callers {
		if <-results {
			broken = true
		}
	}
	for _, line := range b.logLines("request ended") {
		b.log("%s", line)
	}
	return broken, nil
}
