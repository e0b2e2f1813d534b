package prover_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// requireRuns fails the test unless the key ran exactly want times.
func requireRuns(t *testing.T, c *cluster, key string, want int) {
	t.Helper()
	if got := c.runCounts()[key]; got != want {
		t.Fatalf("key %s ran %d times, want %d", key, got, want)
	}
}

// requireStamp fails the test unless the reply is the whole answer to the key and
// the body.
func requireStamp(t *testing.T, r reply, key, body string) {
	t.Helper()
	if !r.whole() || !strings.Contains(r.body, fmt.Sprintf(`"key":%q`, key)) || !strings.Contains(r.body, body) {
		t.Fatalf("key %s: got %d %s %q", key, r.status, r.outcome, r.body)
	}
}

// requireUnknownOutcome fails the test if the reply is whole or claims that the
// key did not run.
func requireUnknownOutcome(t *testing.T, r reply) {
	t.Helper()
	if r.whole() || r.outcome == "not_run" {
		t.Fatalf("got %d %s %q, want an unknown outcome", r.status, r.outcome, r.body)
	}
}

// stampUntilRun sends the request until the key has run and returns the last
// reply. After failures the service may get no requests for a while, so that the
// deadline expires first; a reply "not_run" must then be true.
func (c *cluster) stampUntilRun(daemon int, key, body string, deadline time.Duration) (r reply) {
	c.t.Helper()
	c.await("the run of "+key, func() bool {
		r = c.stamp(daemon, key, body, deadline)
		ran := c.runCounts()[key] > 0
		if ran && r.outcome == "not_run" {
			c.t.Fatalf("got not_run for key %s, which ran", key)
		}
		return ran
	})
	return r
}

// TestRepeatedKeyJoinsRunAndIsAnsweredAfterHolderDies repeats a key at other
// daemons while the first one (the holder of its claim) runs it and after the
// holder was killed. It fails if the key runs twice or a repeat doesn't get the
// answer of the first run.
func TestRepeatedKeyJoinsRunAndIsAnsweredAfterHolderDies(t *testing.T) {
	c := newCluster(t, clusterOptions{serviceSlots: 4, serviceDelay: time.Second})
	first := c.stampAsync(0, "cert-1", "a", 0)
	c.await("the run", func() bool { return c.runCounts()["cert-1"] == 1 })
	joined := c.stampAsync(1, "cert-1", "a", 0)
	requireStamp(t, <-first, "cert-1", "a")
	requireStamp(t, <-joined, "cert-1", "a")
	if r := c.stamp(1, "cert-1", "another body", 0); r.status != 422 || r.outcome == "not_run" {
		t.Fatalf("other body: got %d %s", r.status, r.outcome)
	}
	// The holder stores the answer in the table row only after the caller has
	// received it.
	time.Sleep(time.Second)
	c.daemons[0].kill()
	requireStamp(t, c.stamp(2, "cert-1", "a", 0), "cert-1", "a")
	requireRuns(t, c, "cert-1", 1)
}

// TestHolderKilledDuringRun kills a daemon while one key runs and two others wait
// for a slot there. It fails if a repeat runs the first key again, if a caller
// hears that its key did not run, or if a key that waited can't run elsewhere.
func TestHolderKilledDuringRun(t *testing.T) {
	c := newCluster(t, clusterOptions{serviceSlots: 1, serviceDelay: 2 * time.Second})
	running := c.stampAsync(0, "running", "a", 0)
	c.await("the run", func() bool { return c.runCounts()["running"] == 1 })
	// These wait for the only slot at the daemon that is killed.
	waiting := []<-chan reply{c.stampAsync(0, "waiting-1", "b", 0), c.stampAsync(0, "waiting-2", "c", 0)}
	time.Sleep(300 * time.Millisecond)
	c.daemons[0].kill()
	for _, r := range append(waiting, running) {
		requireUnknownOutcome(t, <-r)
	}
	requireUnknownOutcome(t, c.stamp(1, "running", "a", 0))
	for _, key := range []string{"waiting-1", "waiting-2"} {
		body := map[string]string{"waiting-1": "b", "waiting-2": "c"}[key]
		c.await("the repeat of "+key, func() bool { return c.stamp(1, key, body, 0).whole() })
		requireRuns(t, c, key, 1)
	}
	requireUnknownOutcome(t, c.stamp(2, "running", "a", 0))
	requireRuns(t, c, "running", 1)
}

// TestFaultyServiceAnswersRunOnce makes the service cut, misframe, mix up, omit
// or delay an answer. It fails if the key runs again, if the faulty answer is
// passed on as whole, or if an answer that arrives after the caller's deadline is
// not kept for repeats of the key.
func TestFaultyServiceAnswersRunOnce(t *testing.T) {
	c := newCluster(t, clusterOptions{serviceSlots: 4, serviceDelay: 10 * time.Millisecond})
	for _, name := range []string{"cut", "unframed", "crossed", "silent"} {
		c.setFaults(c.serviceAddress, fmt.Sprintf(`{"calls":1,%q:true}`, name))
		requireUnknownOutcome(t, c.stampUntilRun(0, name, "a", 2*time.Second))
		requireUnknownOutcome(t, c.stamp(1, name, "a", 2*time.Second))
		requireRuns(t, c, name, 1)
	}
	c.setFaults(c.serviceAddress, `{"calls":1,"late_ms":3000}`)
	requireUnknownOutcome(t, c.stampUntilRun(0, "late", "a", time.Second))
	// The late answer is kept for repeats of the key, at this daemon and at others.
	c.await("the late answer", func() bool { return c.stamp(1, "late", "a", 0).whole() })
	requireStamp(t, c.stamp(0, "late", "a", 0), "late", "a")
	requireRuns(t, c, "late", 1)
}

// TestTableOutageBeyondDeadline freezes the platform beyond the deadline of one
// request and for part of that of another. It fails if the first runs without a
// claim or is reported as not run, or if either doesn't run exactly once after
// the table is back.
func TestTableOutageBeyondDeadline(t *testing.T) {
	c := newCluster(t, clusterOptions{serviceSlots: 4, serviceDelay: 10 * time.Millisecond})
	c.platform.freeze()
	requireUnknownOutcome(t, c.stamp(0, "out", "a", 3*time.Second))
	requireRuns(t, c, "out", 0)
	long := c.stampAsync(1, "long", "b", 25*time.Second)
	time.Sleep(2 * time.Second)
	c.platform.signal(syscall.SIGCONT)
	requireStamp(t, <-long, "long", "b")
	c.await("the repeat", func() bool { return c.stamp(2, "out", "a", 0).whole() })
	requireRuns(t, c, "out", 1)
	requireRuns(t, c, "long", 1)
}

// TestHolderPausedBeyondDeadline freezes a daemon that runs one key while another
// waits there, and repeats both keys elsewhere. It fails if a key runs twice when
// the daemon goes on, or if the daemon then reports a key as not run that ran.
func TestHolderPausedBeyondDeadline(t *testing.T) {
	c := newCluster(t, clusterOptions{serviceSlots: 1, serviceDelay: 2 * time.Second})
	running := c.stampAsync(0, "running", "a", 0)
	c.await("the run", func() bool { return c.runCounts()["running"] == 1 })
	waiting := c.stampAsync(0, "waiting", "b", 3*time.Second)
	time.Sleep(300 * time.Millisecond)
	c.daemons[0].freeze()
	// The frozen holder answers neither its peers nor the caller.
	requireUnknownOutcome(t, c.stamp(1, "running", "a", 10*time.Second))
	c.await("the repeat", func() bool { return c.stamp(1, "waiting", "b", 0).whole() })
	c.daemons[0].signal(syscall.SIGCONT)
	if r := <-waiting; r.outcome == "not_run" {
		t.Fatalf("got not_run for a key that ran: %q", r.body)
	}
	<-running
	requireRuns(t, c, "running", 1)
	requireRuns(t, c, "waiting", 1)
}

// TestSilentCallsReleaseTheirSlots guards against calls that the service never
// answers and that keep its slots for ever.
func TestSilentCallsReleaseTheirSlots(t *testing.T) {
	c := newCluster(t, clusterOptions{serviceSlots: 2, serviceDelay: 10 * time.Millisecond})
	c.setFaults(c.serviceAddress, `{"calls":2,"silent":true}`)
	for i := range 2 {
		requireUnknownOutcome(t, c.stamp(i, fmt.Sprintf("silent-%d", i), "a", time.Second))
	}
	c.await("a slot", func() bool {
		return c.stamp(0, fmt.Sprintf("next-%d", time.Now().UnixNano()), "b", 2*time.Second).whole()
	})
	for i := range 2 {
		requireRuns(t, c, fmt.Sprintf("silent-%d", i), 1)
	}
}
