package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["seeds"] = runSeeds }

// Figures of the allotment, from the settings of a process and the example of a config on the pages.
const (
	tokensPerSecond = 82880
	quotaWindow     = 8 * time.Second
	quotaExcess     = 0.1
	quotaSlack      = 190000
	// tokensPerCall are the tokens of a request, its prompt's and its largest output.
	tokensPerCall = 4000
	// seedLag is seed-lag-s of the settings: so long the seeds of a new machine may name those of before.
	seedLag = 3 * time.Second
)

// runSeeds replaces three machines of a small deployment, those that the seeds name, by new ones at other addresses.
func runSeeds(b *bed) (broken bool, err error) {
	const service = "huvo11a"
	b.putLimitedConfig(1, []route{{
		"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 5000, "goal-ms": 600, "priority": 0,
		"service": service, "max-attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gap-goal-ms": 250,
	}}, []map[string]any{{"name": service, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false}}, tokensPerSecond)
	for range 9 {
		if _, err := b.addWorker(service, "v1", 10, "-events", "4", "-gap", "15ms"); err != nil {
			return false, err
		}
	}
	if err = b.addDaemons(7); err != nil {
		return false, err
	}
	if err = b.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	next := func(n int) call {
		return call{method: "POST", path: "/lohu930/2f", deadline: 5 * time.Second, prefix: fmt.Sprintf("5c1e07a2:60,%08x:3800", 0xb0000+n), tokens: [2]int{3900, 100}}
	}
	replaced, kept := b.daemons[:3], b.daemons[3:]
	old := &load{bed: b, name: "kept", daemons: kept, perSecond: 40, next: next}
	old.start()
	time.Sleep(6 * time.Second)
	b.note("three machines are stopped for good")
	for _, d := range replaced {
		d.signal(syscall.SIGTERM)
	}
	for _, d := range replaced {
		<-d.ended
	}
	b.note("their processes have ended; three new machines start at other addresses")
	var added []*daemon
	for range replaced {
		added = append(added, b.newDaemon())
	}
	seeds := kept[:maxSeeds]
	if b.trouble {
		seeds = replaced
	}
	for _, d := range added {
		if err = b.startDaemon(d, seeds); err != nil {
			return false, err
		}
	}
	time.AfterFunc(seedLag, func() {
		b.note("the settings of the new machines name others as seeds")
		for _, d := range added {
			_ = b.writeSettings(d, kept[:maxSeeds])
		}
	})
	for _, d := range added {
		if err = d.awaitReady(); err != nil {
			return false, err
		}
	}
	b.note("the new machines are ready")
	fresh := &load{bed: b, name: "new", daemons: added, perSecond: 60, next: next}
	fresh.start()
	time.Sleep(15 * time.Second)
	fresh.stop()
	old.stop()
	return b.checkQuota(), nil
}

// checkQuota checks QUOTA: the tokens that the workers ran in any window.
func (b *bed) checkQuota() (broken bool) {
	bound := (tokensPerSecond*quotaWindow.Seconds()+tokensPerSecond)*(1+quotaExcess) + quotaSlack
	runs := b.runs()
	most, from, first := 0, 0, 0
	for last := range runs {
		for runs[last].at.Sub(runs[first].at) >= quotaWindow {
			first++
		}
		if n := last - first + 1; n > most {
			most, from = n, first
		}
	}
	if len(runs) == 0 {
		return false
	}
	b.note("in the %v from %.3f s on the workers ran %d tokens of the tenant; the bound is %.0f", quotaWindow, b.since(runs[from].at), most*tokensPerCall, bound)
	return float64(most*tokensPerCall) > bound
}
