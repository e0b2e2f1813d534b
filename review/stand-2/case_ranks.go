package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["ranks"] = runRanks }

const (
	// memoryMB is memory-mb of the settings: the platform kills a process that exceeds it, and starts it again after
	// restartPause.
	memoryMB     = 284
	restartPause = 500 * time.Millisecond
	// configApply is config-apply-ms of the settings, and configWork the time around a config, from its
	// acknowledgement, in which requests must not be cut.
	configApply = 2500 * time.Millisecond
	configWork  = configApply + time.Second
	// cutFactor is how much more often than at other times a machine may cut requests beside a config.
	cutFactor = 3
)

// runRanks lets the operator write a config whose priorities are numbered in thousands.
func runRanks(b *bed) (broken bool, err error) {
	const service = "huvo11a"
	put := func(version, step int) {
		var routes []route
		for rank := range 3 {
			routes = append(routes, route{
				"name": fmt.Sprint("r-", rank), "host": "ficu95.example", "prefix": fmt.Sprintf("/lohu93%d/", rank), "kind": "streaming", "timeout-ms": 5000,
				"goal-ms": 600, "priority": rank * step, "service": service, "max-attempts": 1, "anonymous": false, "resumable": false, "gap-goal-ms": 250,
			})
		}
		var tenants []any
		for rank := range 3 {
			tenants = append(tenants, map[string]any{
				"name": fmt.Sprint("hule93", rank), "api-keys": []string{fmt.Sprint("key-", rank)}, "priority": rank * step, "unit": "tokens",
				"plain-tokens": 200, "rate-per-s": 0, "burst": 0,
			})
		}
		b.store.put("op", "config", map[string]any{
			"version": version, "routes": routes, "tenants": tenants,
			"services": []map[string]any{{"name": service, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		})
	}
	put(1, 1)
	for range 4 {
		if _, err := b.addWorker(service, "v1", 8, "-events", "20", "-gap", "40ms"); err != nil {
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
	for _, d := range b.daemons {
		go b.enforceMemory(d)
	}
	var acknowledged atomic.Int64
	var answered, cutAround, cutElse, notServed atomic.Int64
	l := &load{bed: b, perSecond: 30, next: func(int) call {
		return call{method: "POST", path: "/lohu930/2f", deadline: 5 * time.Second}
	}, done: func(_ int, c call, sentAt time.Time, r result) {
		at, endedAt := time.Unix(0, acknowledged.Load()), time.Now()
		around := acknowledged.Load() > 0 && endedAt.After(at) && sentAt.Before(at.Add(configWork))
		switch {
		case r.whole:
			answered.Add(1)
		case r.status > 0 && around:
			cutAround.Add(1)
			b.note("caller %s, sent at %.3f s: its answer is cut at %.3f s (%s)", c.id, b.since(sentAt), b.since(endedAt), r.reason())
		case r.status > 0:
			cutElse.Add(1)
		default:
			notServed.Add(1)
		}
	}}
	l.start()
	time.Sleep(8 * time.Second)
	step := 2
	if b.trouble {
		step = 1000
	}
	put(2, step)
	acknowledged.Store(time.Now().UnixNano())
	b.note("the operator writes version 2, with priorities 0, %d and %d", step, 2*step)
	time.Sleep(15 * time.Second)
	l.stop()
	b.note("%d answers were whole, %d were cut around the config and %d at other times, %d requests got no answer at all",
		answered.Load(), cutAround.Load(), cutElse.Load(), notServed.Load())
	b.note("the platform killed daemons %d times", b.kills.Load())
	return cutAround.Load() > cutFactor*max(cutElse.Load(), 1), nil
}

// enforceMemory kills a daemon whenever it exceeds its memory, as the platform does, and starts it again.
func (b *bed) enforceMemory(d *daemon) {
	for {
		select {
		case <-b.over:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := d.residentMB()
		if used <= memoryMB {
			continue
		}
		b.note("%s uses %d MB of %d MB: the platform kills it", d.name, used, memoryMB)
		b.kills.Add(1)
		d.signal(syscall.SIGKILL)
		<-d.ended
		time.Sleep(restartPause)
		b.mu.Lock()
		if !b.ending {
			_ = d.start()
		}
		b.mu.Unlock()
	}
}

// residentMB returns the memory that a daemon uses, in MB.
func (d *daemon) residentMB() (mb int) {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(content), "\n") {
		if kb, found := strings.CutPrefix(line, "VmRSS:"); found {
			_, _ = fmt.Sscan(kb, &mb)
		}
	}
	return mb / 1024
}
