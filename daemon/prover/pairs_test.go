package prover_test

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Sizes of the runs with two faults at once.
const (
	// pairCount is how many pairs run without SOAK.
	pairCount = 8
	// faultTime is how long a fault lasts.
	faultTime = 1500 * time.Millisecond
	// draftTokens is the length of the drafts.
	draftTokens = 20
	pairSeed    = 11
)

// pairFaults are the faults of which any two come together. Each lasts for
// faultTime and is over when its function returns.
var pairFaults = map[string]func(c *cluster){
	"kill": func(c *cluster) {
		c.daemons[2].kill()
		time.Sleep(faultTime)
		c.restart(2)
	},
	"pause": func(c *cluster) {
		c.daemons[1].freeze()
		time.Sleep(faultTime)
		c.daemons[1].signal(syscall.SIGCONT)
	},
	"table_outage": func(c *cluster) { c.during(c.platformAt, `{"outage":true}`) },
	"table_slow":   func(c *cluster) { c.during(c.platformAt, `{"slow_ms":800,"slow_share":0.5}`) },
	"lost_reply":   func(c *cluster) { c.during(c.platformAt, `{"lose_replies":0.6}`) },
	"silent": func(c *cluster) {
		c.fault(c.engineAt[0], `{"connections":4,"silent_after":3}`)
		c.during(c.serviceAt, `{"calls":2,"silent":true}`)
	},
	"straggler": func(c *cluster) { c.during(c.engineAt[1], `{"connections":30,"late_ms":700}`) },
	"cut": func(c *cluster) {
		c.fault(c.engineAt[1], `{"connections":6,"cut_after":5}`)
		c.during(c.serviceAt, `{"calls":2,"cut":true}`)
	},
	"burst": func(c *cluster) {
		var wait sync.WaitGroup
		for i := range 40 {
			wait.Go(func() { c.draft(i%daemonCount, "", fmt.Sprintf("burst %d", i), draftTokens) })
		}
		wait.Wait()
	},
}

// during switches the faults of a stand-in on for a while.
func (c *cluster) during(at, faults string) {
	c.fault(at, faults)
	time.Sleep(faultTime)
	c.fault(at, `{}`)
}

// broken counts what must not happen.
type broken struct {
	doubled     int
	falseNotRun int
	notWhole    int
}

// ledger holds what callers were told of each key.
type ledger struct {
	mu sync.Mutex
	// onlyNotRun holds the keys of which nothing else was ever said.
	onlyNotRun map[string]bool
	broken     broken
	whole      int
}

func (l *ledger) stamp(key string, r reply) (done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.outcome != "not_run" {
		l.onlyNotRun[key] = false
	} else if _, known := l.onlyNotRun[key]; !known {
		l.onlyNotRun[key] = true
	}
	if r.whole() {
		l.whole++
		if !strings.Contains(r.body, fmt.Sprintf(`"key":%q`, key)) {
			l.broken.notWhole++
		}
	}
	return r.status != 0
}

func (l *ledger) draft(t *testing.T, r reply) {
	text, done := textOf(t, r.body)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.whole() || !done {
		return
	}
	l.whole++
	hash, _, _ := strings.Cut(text, "-")
	for i, token := range strings.Fields(text) {
		if token != fmt.Sprintf("%s-%d", hash, i) {
			l.broken.notWhole++
			return
		}
	}
	if strings.Count(text, " ") != draftTokens {
		l.broken.notWhole++
	}
}

// traffic sends stamps and drafts to all daemons until stop is closed. A
// caller whose connection broke sends the same key to the next daemon.
func (c *cluster) traffic(name string, l *ledger, stop <-chan struct{}) (wait *sync.WaitGroup) {
	wait = &sync.WaitGroup{}
	for worker := range 2 * daemonCount {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if worker%2 == 0 {
					l.draft(c.t, c.draft(worker%daemonCount, "", fmt.Sprintf("%s draft %d %d", name, worker, i), draftTokens))
					continue
				}
				key := fmt.Sprintf("%s-%d-%d", name, worker, i)
				for try := range daemonCount {
					if l.stamp(key, c.stamp((worker+try)%daemonCount, key, "a", 4*time.Second)) {
						break
					}
				}
			}
		})
	}
	return wait
}

// pair lets two faults come together and counts what broke.
func (c *cluster) pair(first, second string) (broken, int) {
	l := &ledger{onlyNotRun: map[string]bool{}}
	stop := make(chan struct{})
	wait := c.traffic(first+"+"+second, l, stop)
	time.Sleep(faultTime / 5)
	var faults sync.WaitGroup
	faults.Go(func() { pairFaults[first](c) })
	faults.Go(func() { pairFaults[second](c) })
	faults.Wait()
	close(stop)
	wait.Wait()
	runs := c.runs()
	for key, only := range l.onlyNotRun {
		if only && runs[key] > 0 {
			l.broken.falseNotRun++
		}
		if runs[key] > 1 {
			l.broken.doubled++
		}
	}
	return l.broken, l.whole
}

// recover waits until every daemon serves both pools again.
func (c *cluster) recover(name string) {
	for i := range daemonCount {
		at := "http://" + c.addresses[i]
		c.await(fmt.Sprintf("daemon %d ready after %s", i, name), func() bool { return c.get(at+"/readyz") == http.StatusOK })
		c.await(fmt.Sprintf("stamp at daemon %d after %s", i, name), func() bool {
			return c.stamp(i, fmt.Sprintf("after-%s-%d-%d", name, i, time.Now().UnixNano()), "a", 5*time.Second).whole()
		})
		c.await(fmt.Sprintf("draft at daemon %d after %s", i, name), func() bool { return c.draft(i, "", "after "+name, 1).whole() })
	}
}

// pairs returns all pairs of different faults, and each twice, in the order
// that the seed gives.
func pairs(seed int) (all [][2]string) {
	names := rapid.Permutation(slices.Sorted(maps.Keys(pairFaults))).Example(seed)
	for gap := range len(names) {
		for i := range names {
			j := (i + gap) % len(names)
			if gap == 0 || i < j || gap*2 < len(names) {
				all = append(all, [2]string{names[i], names[j]})
			}
		}
	}
	return rapid.Permutation(all).Example(seed)
}

func TestTwoFaultsAtOnceBreakNothing(t *testing.T) {
	all := pairs(pairSeed)
	if os.Getenv("SOAK") == "" {
		all = all[:pairCount]
	}
	c := newCluster(t, shape{engines: 2, serviceSlots: 8, serviceDelay: 50 * time.Millisecond, tokenGap: 5 * time.Millisecond})
	for _, p := range all {
		got, whole := c.pair(p[0], p[1])
		if got != (broken{}) {
			t.Errorf("%s with %s: %+v", p[0], p[1], got)
		}
		t.Logf("%s with %s: %+v, %d whole answers", p[0], p[1], got, whole)
		c.recover(p[0] + "+" + p[1])
	}
}
