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
	// pairCount is how many pairs run unless the environment variable SOAK is set.
	pairCount = 8
	// faultDuration is how long a fault lasts.
	faultDuration = 1500 * time.Millisecond
	// draftTokens is the length of the drafts in tokens.
	draftTokens = 20
	// pairSeed is the seed of the order of the pairs.
	pairSeed = 11
)

// pairFaults are the faults that are combined, by name. Each function injects its
// fault and removes it again after faultDuration, with two exceptions: "burst"
// returns when its requests have ended, and the engine faults of "silent" and
// "cut" are left to end after their number of connections.
var pairFaults = map[string]func(c *cluster){
	"kill": func(c *cluster) {
		c.daemons[2].kill()
		time.Sleep(faultDuration)
		c.restartDaemon(2)
	},
	"pause": func(c *cluster) {
		c.daemons[1].freeze()
		time.Sleep(faultDuration)
		c.daemons[1].signal(syscall.SIGCONT)
	},
	"table_outage": func(c *cluster) { c.withFaults(c.platformAddress, `{"outage":true}`) },
	"table_slow":   func(c *cluster) { c.withFaults(c.platformAddress, `{"slow_ms":800,"slow_share":0.5}`) },
	"lost_reply":   func(c *cluster) { c.withFaults(c.platformAddress, `{"lose_replies":0.6}`) },
	"silent": func(c *cluster) {
		c.setFaults(c.engineAddresses[0], `{"connections":4,"silent_after":3}`)
		c.withFaults(c.serviceAddress, `{"calls":2,"silent":true}`)
	},
	"straggler": func(c *cluster) { c.withFaults(c.engineAddresses[1], `{"connections":30,"late_ms":700}`) },
	"cut": func(c *cluster) {
		c.setFaults(c.engineAddresses[1], `{"connections":6,"cut_after":5}`)
		c.withFaults(c.serviceAddress, `{"calls":2,"cut":true}`)
	},
	"burst": func(c *cluster) {
		var wait sync.WaitGroup
		for i := range 40 {
			wait.Go(func() { c.draft(i%daemonCount, "", fmt.Sprintf("burst %d", i), draftTokens) })
		}
		wait.Wait()
	},
}

// withFaults enables faults of the stand-in at address for faultDuration.
func (c *cluster) withFaults(address, faults string) {
	c.setFaults(address, faults)
	time.Sleep(faultDuration)
	c.setFaults(address, `{}`)
}

// violations counts violations of the daemon's guarantees.
type violations struct {
	// duplicateRuns counts keys that ran more than once.
	duplicateRuns int
	// falseNotRun counts keys that ran although every reply said "not_run".
	falseNotRun int
	// brokenAnswers counts answers that looked whole, but were not or belonged to
	// another request.
	brokenAnswers int
}

// replyRecord collects the replies that callers got.
type replyRecord struct {
	mu sync.Mutex
	// onlyNotRun holds every key that was sent; it is true while all replies for
	// the key had the outcome "not_run".
	onlyNotRun   map[string]bool
	violations   violations
	wholeAnswers int
}

// addStamp records a reply for a key and reports whether the caller got one.
func (record *replyRecord) addStamp(key string, r reply) (answered bool) {
	record.mu.Lock()
	defer record.mu.Unlock()
	if r.outcome != "not_run" {
		record.onlyNotRun[key] = false
	} else if _, known := record.onlyNotRun[key]; !known {
		record.onlyNotRun[key] = true
	}
	if r.whole() {
		record.wholeAnswers++
		if !strings.Contains(r.body, fmt.Sprintf(`"key":%q`, key)) {
			record.violations.brokenAnswers++
		}
	}
	return r.status != 0
}

// addDraft records a stream. One with status 200 and an end marker has to
// consist of draftTokens numbered tokens with the same hash.
func (record *replyRecord) addDraft(t *testing.T, r reply) {
	text, done := streamText(t, r.body)
	record.mu.Lock()
	defer record.mu.Unlock()
	if !r.whole() || !done {
		return
	}
	record.wholeAnswers++
	hash, _, _ := strings.Cut(text, "-")
	for i, token := range strings.Fields(text) {
		if token != fmt.Sprintf("%s-%d", hash, i) {
			record.violations.brokenAnswers++
			return
		}
	}
	if strings.Count(text, " ") != draftTokens {
		record.violations.brokenAnswers++
	}
}

// startTraffic sends stamps and drafts to all daemons until stop is closed. A
// caller whose connection fails repeats the key at the next daemon.
func (c *cluster) startTraffic(name string, record *replyRecord, stop <-chan struct{}) (wait *sync.WaitGroup) {
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
					record.addDraft(c.t, c.draft(worker%daemonCount, "", fmt.Sprintf("%s draft %d %d", name, worker, i), draftTokens))
					continue
				}
				key := fmt.Sprintf("%s-%d-%d", name, worker, i)
				for try := range daemonCount {
					if record.addStamp(key, c.stamp((worker+try)%daemonCount, key, "a", 4*time.Second)) {
						break
					}
				}
			}
		})
	}
	return wait
}

// runFaultPair injects two faults at once under traffic. It returns the
// violations and the number of whole answers.
func (c *cluster) runFaultPair(first, second string) (violations, int) {
	record := &replyRecord{onlyNotRun: map[string]bool{}}
	stop := make(chan struct{})
	wait := c.startTraffic(first+"+"+second, record, stop)
	time.Sleep(faultDuration / 5)
	var faults sync.WaitGroup
	faults.Go(func() { pairFaults[first](c) })
	faults.Go(func() { pairFaults[second](c) })
	faults.Wait()
	close(stop)
	wait.Wait()
	runs := c.runCounts()
	for key, notRunOnly := range record.onlyNotRun {
		if notRunOnly && runs[key] > 0 {
			record.violations.falseNotRun++
		}
		if runs[key] > 1 {
			record.violations.duplicateRuns++
		}
	}
	return record.violations, record.wholeAnswers
}

// awaitRecovery waits until every daemon serves both pools again.
func (c *cluster) awaitRecovery(name string) {
	for i := range daemonCount {
		baseURL := "http://" + c.daemonAddresses[i]
		c.await(fmt.Sprintf("daemon %d ready after %s", i, name), func() bool { return c.getStatus(baseURL+"/readyz") == http.StatusOK })
		c.await(fmt.Sprintf("stamp at daemon %d after %s", i, name), func() bool {
			return c.stamp(i, fmt.Sprintf("after-%s-%d-%d", name, i, time.Now().UnixNano()), "a", 5*time.Second).whole()
		})
		c.await(fmt.Sprintf("draft at daemon %d after %s", i, name), func() bool { return c.draft(i, "", "after "+name, 1).whole() })
	}
}

// faultPairs returns each fault paired with itself and all pairs of different
// faults, some of these in both orders, shuffled by the seed.
func faultPairs(seed int) (pairs [][2]string) {
	names := rapid.Permutation(slices.Sorted(maps.Keys(pairFaults))).Example(seed)
	for gap := range len(names) {
		for i := range names {
			j := (i + gap) % len(names)
			if gap == 0 || i < j || gap*2 < len(names) {
				pairs = append(pairs, [2]string{names[i], names[j]})
			}
		}
	}
	return rapid.Permutation(pairs).Example(seed)
}

// TestTwoFaultsAtOnceLeaveRunsAndAnswersCorrect injects pairs of faults under
// traffic, all of them if SOAK is set. It fails if recovery from one fault fails
// under another: a key runs twice, a key that ran is reported as "not_run", an
// answer that looks whole isn't, or a daemon doesn't serve both pools afterwards.
func TestTwoFaultsAtOnceLeaveRunsAndAnswersCorrect(t *testing.T) {
	pairs := faultPairs(pairSeed)
	if os.Getenv("SOAK") == "" {
		pairs = pairs[:pairCount]
	}
	c := newCluster(t, clusterOptions{engines: 2, serviceSlots: 8, serviceDelay: 50 * time.Millisecond, tokenGap: 5 * time.Millisecond})
	for _, pair := range pairs {
		got, whole := c.runFaultPair(pair[0], pair[1])
		if got != (violations{}) {
			t.Errorf("%s with %s: %+v", pair[0], pair[1], got)
		}
		t.Logf("%s with %s: %+v, %d whole answers", pair[0], pair[1], got, whole)
		c.awaitRecovery(pair[0] + "+" + pair[1])
	}
}
