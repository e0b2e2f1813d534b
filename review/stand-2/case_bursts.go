package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["bursts"] = runBursts }

const (
	// stable is stable-ms of the settings.
	stable = 3 * time.Second
	// crashPart crashes each worker that begins to write an answer on it.
	crashPart = "91bd3f06"
	// taintedBurst is the number of requests with that part that come at once, and burstInterval the time between two
	// bursts, in which crashed workers are back.
	taintedBurst  = 6
	burstInterval = 5 * time.Second
	// taintedBound is the number of those that may reach workers later than stable-ms after the fifth crash.
	taintedBound = 3
	crashesKnown = 5
)

// startTainted starts workers that crash on the part, daemons and a load of sound requests, which share the first part.
func (b *bed) startTainted(crashPart string) (stop func(), err error) {
	const service, workers = "huvo11a", 10
	b.putConfig(1, []route{{
		"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 5000, "goal-ms": 600, "priority": 0,
		"service": service, "max-attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gap-goal-ms": 250,
	}}, []map[string]any{{"name": service, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false}})
	for range workers {
		w, err := b.addWorker(service, "v1", 5, "-events", "6", "-first", "150ms", "-gap", "15ms", "-crash-part", crashPart)
		if err != nil {
			return nil, err
		}
		w.keepAlive()
	}
	if err = b.addDaemons(3); err != nil {
		return nil, err
	}
	if err = b.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(stable + time.Second)
	sound := &load{bed: b, perSecond: 20, next: func(n int) call {
		return call{method: "POST", path: "/lohu930/2f", deadline: 5 * time.Second, prefix: fmt.Sprintf("5c1e07a2:60,%08x:30,%08x:10", 0xa000+n%7, 0xb0000+n)}
	}}
	sound.start()
	time.Sleep(2 * time.Second)
	return sound.stop, nil
}

// runBursts lets requests whose prompts share a part that crashes workers come in bursts.
func runBursts(b *bed) (broken bool, err error) {
	const bursts = 4
	part := crashPart
	if !b.trouble {
		part = ""
	}
	stop, err := b.startTainted(part)
	if err != nil {
		return false, err
	}
	defer stop()
	for i := range bursts {
		b.sendTainted(fmt.Sprint("burst-", i+1), taintedBurst)
		b.note("%d crashes so far", len(b.crashes()))
		time.Sleep(burstInterval)
	}
	return b.checkTainted()
}

// checkTainted checks BUDGET for requests with the part. Before the fifth crash it binds nothing.
func (b *bed) checkTainted() (broken bool, err error) {
	crashes := b.crashes()
	b.note("%d workers crashed", len(crashes))
	if len(crashes) < crashesKnown {
		if b.trouble {
			return false, fmt.Errorf("fewer than %d crashes", crashesKnown)
		}
		return false, nil
	}
	from := crashes[crashesKnown-1].Add(stable)
	reached := 0
	for _, r := range b.runs() {
		if r.at.After(from) && strings.HasPrefix(r.attempt, "tainted") {
			reached++
		}
	}
	b.note("%d requests with the part reached workers later than stable-ms after the fifth crash, at %.3f s; the bound is %d",
		reached, b.since(crashes[crashesKnown-1]), taintedBound)
	return reached > taintedBound, nil
}

// sendTainted sends some requests with the part at once, no two alike, and waits for their answers.
func (b *bed) sendTainted(name string, count int) {
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			c := call{
				method: "POST", path: "/lohu930/2f", id: fmt.Sprintf("tainted-%s-%d", name, i), deadline: 5 * time.Second,
				prefix: fmt.Sprintf("5c1e07a2:60,%s:410,%08x:%d", crashPart, 0xc0000+time.Now().UnixNano()%0xffff, 10+i),
			}
			b.log("caller %s: %s %s with the part sent to %s", c.id, c.method, c.path, b.daemons[i%len(b.daemons)].name)
			r := c.do(b.daemons[i%len(b.daemons)].front)
			b.note("caller %s: status %d, %s", c.id, r.status, r.reason())
		})
	}
	calls.Wait()
}

// crashes returns when workers crashed on the part.
func (b *bed) crashes() (times []time.Time) {
	for _, w := range b.workers {
		for _, said := range w.said("crashes") {
			times = append(times, said.at)
		}
	}
	sortTimes(times)
	return times
}
