package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["truncated"] = runTruncated }

// crashTime is how long a worker that has crashed is away.
const crashTime = 2 * time.Second

// truncatedLoad is a set of streams of one service, whose workers answer with neither a length nor chunks.
type truncatedLoad struct {
	service, path  string
	deadline       time.Duration
	events, bytes  int
	gap            time.Duration
	bytesPerSecond int
	crashAfter     time.Duration
	daemons        []*daemon
	frozen         *daemon
	frozenTime     time.Duration
	workers        []*worker
	callers        int
}

// runTruncated lets a worker crash whose answers end with their connection, and be back before the daemon has read that
// end: because its callers read slowly, or because the daemon stands still meanwhile.
func runTruncated(b *bed) (broken bool, err error) {
	slow := &truncatedLoad{
		service: "huvo11a", path: "/lohu930/", deadline: 60 * time.Second, events: 1400, bytes: 8000, gap: 5 * time.Millisecond,
		bytesPerSecond: 300_000, crashAfter: 4500 * time.Millisecond, callers: 8,
	}
	frozen := &truncatedLoad{
		service: "wuno96b", path: "/pufi791/", deadline: 12 * time.Second, events: 300, bytes: 50, gap: 15 * time.Millisecond,
		crashAfter: 1500 * time.Millisecond, frozenTime: 4 * time.Second, callers: 8,
	}
	var routes []route
	var services []map[string]any
	for _, l := range []*truncatedLoad{slow, frozen} {
		routes = append(routes, route{
			"name": "r-" + l.service, "host": "ficu95.example", "prefix": l.path, "kind": "streaming", "timeout-ms": l.deadline.Milliseconds(), "goal-ms": 600,
			"priority": 0, "service": l.service, "max-attempts": 1, "anonymous": false, "resumable": false, "gap-goal-ms": 250,
		})
		services = append(services, map[string]any{"name": l.service, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false})
	}
	b.putConfig(1, routes, services)
	for _, l := range []*truncatedLoad{slow, frozen} {
		for range 4 {
			w, err := b.addWorker(l.service, "v1", 5, "-unframed", "-events", fmt.Sprint(l.events), "-event-bytes", fmt.Sprint(l.bytes), "-gap", l.gap.String())
			if err != nil {
				return false, err
			}
			l.workers = append(l.workers, w)
		}
	}
	if err = b.addDaemons(2); err != nil {
		return false, err
	}
	if err = b.awaitReady(); err != nil {
		return false, err
	}
	slow.daemons, frozen.daemons, frozen.frozen = b.daemons, b.daemons[:1], b.daemons[0]
	time.Sleep(2 * time.Second)
	b.note("first: callers read slowly")
	bySlowCallers, err := b.runTruncatedLoad(slow)
	if err != nil {
		return false, err
	}
	b.note("second: a machine stands still")
	byFreeze, err := b.runTruncatedLoad(frozen)
	return bySlowCallers || byFreeze, err
}

// runTruncatedLoad runs the streams and the crash, and reports whether a caller took a part of an answer for the whole.
func (b *bed) runTruncatedLoad(l *truncatedLoad) (broken bool, err error) {
	var calls sync.WaitGroup
	var bad atomic.Int32
	for i := range l.callers {
		calls.Go(func() {
			c := call{method: "POST", path: l.path + "2f", id: fmt.Sprintf("%s-%d", l.service, i), deadline: l.deadline, bytesPerSecond: l.bytesPerSecond}
			d := l.daemons[i%len(l.daemons)]
			b.note("caller %s: %s %s sent to %s", c.id, c.method, c.path, d.name)
			r := c.do(d.front)
			got, total := events(r.body)
			truncated := r.status == 200 && r.whole && got < total
			if truncated {
				bad.Add(1)
			}
			b.note("caller %s: status %d, Response-Seal %q, %d of %d events, %s, truncated but complete: %v", c.id, r.status, r.header.Get("Response-Seal"), got, total, r.reason(), truncated)
		})
	}
	const freezeLead = 500 * time.Millisecond
	if l.frozen != nil && b.trouble {
		time.Sleep(l.crashAfter - freezeLead)
		b.note("%s stands still", l.frozen.name)
		l.frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(l.frozenTime, func() {
			b.note("%s goes on", l.frozen.name)
			l.frozen.signal(syscall.SIGCONT)
		})
		time.Sleep(freezeLead)
	} else {
		time.Sleep(l.crashAfter)
	}
	if b.trouble {
		w := l.workers[0]
		b.note("worker %s crashes", w.id)
		w.kill()
		time.Sleep(crashTime)
		if err = w.start(); err != nil {
			return false, err
		}
		b.note("worker %s is back", w.id)
	}
	calls.Wait()
	return bad.Load() > 0, nil
}
