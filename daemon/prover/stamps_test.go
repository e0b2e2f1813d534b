package prover_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// wantRuns fails where the key did not run so often.
func wantRuns(t *testing.T, c *cluster, key string, want int) {
	t.Helper()
	if got := c.runs()[key]; got != want {
		t.Fatalf("key %s ran %d times, want %d", key, got, want)
	}
}

// ownStamp fails where the reply is not the whole answer to the key.
func ownStamp(t *testing.T, r reply, key, body string) {
	t.Helper()
	if !r.whole() || !strings.Contains(r.body, fmt.Sprintf(`"key":%q`, key)) || !strings.Contains(r.body, body) {
		t.Fatalf("key %s: got %d %s %q", key, r.status, r.outcome, r.body)
	}
}

func wantUnknown(t *testing.T, r reply) {
	t.Helper()
	if r.whole() || r.outcome == "not_run" {
		t.Fatalf("got %d %s %q, want an unknown outcome", r.status, r.outcome, r.body)
	}
}

// untilRun sends until the key has run and returns the last reply. After
// failures the service may get no request for a while, so that the deadline
// comes first; "not run" must then be true.
func (c *cluster) untilRun(daemon int, key, body string, deadline time.Duration) (r reply) {
	c.t.Helper()
	c.await("the run of "+key, func() bool {
		r = c.stamp(daemon, key, body, deadline)
		ran := c.runs()[key] > 0
		if ran && r.outcome == "not_run" {
			c.t.Fatalf("said not_run of key %s, which ran", key)
		}
		return ran
	})
	return r
}

func TestRepeatElsewhereJoinsAndIsAnsweredAfterTheHolderDied(t *testing.T) {
	c := newCluster(t, shape{serviceSlots: 4, serviceDelay: time.Second})
	first := c.stampLater(0, "cert-1", "a", 0)
	c.await("the run", func() bool { return c.runs()["cert-1"] == 1 })
	joined := c.stampLater(1, "cert-1", "a", 0)
	ownStamp(t, <-first, "cert-1", "a")
	ownStamp(t, <-joined, "cert-1", "a")
	if r := c.stamp(1, "cert-1", "another body", 0); r.status != 422 || r.outcome == "not_run" {
		t.Fatalf("other body: got %d %s", r.status, r.outcome)
	}
	// The answer goes into the row after the caller has it.
	time.Sleep(time.Second)
	c.daemons[0].kill()
	ownStamp(t, c.stamp(2, "cert-1", "a", 0), "cert-1", "a")
	wantRuns(t, c, "cert-1", 1)
}

func TestHolderKilledWhileAStampRuns(t *testing.T) {
	c := newCluster(t, shape{serviceSlots: 1, serviceDelay: 2 * time.Second})
	running := c.stampLater(0, "running", "a", 0)
	c.await("the run", func() bool { return c.runs()["running"] == 1 })
	// These wait for the one slot at the daemon that dies.
	waiting := []<-chan reply{c.stampLater(0, "waiting-1", "b", 0), c.stampLater(0, "waiting-2", "c", 0)}
	time.Sleep(300 * time.Millisecond)
	c.daemons[0].kill()
	for _, r := range append(waiting, running) {
		wantUnknown(t, <-r)
	}
	wantUnknown(t, c.stamp(1, "running", "a", 0))
	for _, key := range []string{"waiting-1", "waiting-2"} {
		body := map[string]string{"waiting-1": "b", "waiting-2": "c"}[key]
		c.await("the repeat of "+key, func() bool { return c.stamp(1, key, body, 0).whole() })
		wantRuns(t, c, key, 1)
	}
	wantUnknown(t, c.stamp(2, "running", "a", 0))
	wantRuns(t, c, "running", 1)
}

func TestFaultyAnswersOfAService(t *testing.T) {
	c := newCluster(t, shape{serviceSlots: 4, serviceDelay: 10 * time.Millisecond})
	for _, name := range []string{"cut", "unframed", "crossed", "silent"} {
		c.fault(c.serviceAt, fmt.Sprintf(`{"calls":1,%q:true}`, name))
		wantUnknown(t, c.untilRun(0, name, "a", 2*time.Second))
		wantUnknown(t, c.stamp(1, name, "a", 2*time.Second))
		wantRuns(t, c, name, 1)
	}
	c.fault(c.serviceAt, `{"calls":1,"late_ms":3000}`)
	wantUnknown(t, c.untilRun(0, "late", "a", time.Second))
	// The late answer is kept for those who repeat the key, here and elsewhere.
	c.await("the late answer", func() bool { return c.stamp(1, "late", "a", 0).whole() })
	ownStamp(t, c.stamp(0, "late", "a", 0), "late", "a")
	wantRuns(t, c, "late", 1)
}

func TestTableDownForADeadlineAndBack(t *testing.T) {
	c := newCluster(t, shape{serviceSlots: 4, serviceDelay: 10 * time.Millisecond})
	c.platform.freeze()
	wantUnknown(t, c.stamp(0, "out", "a", 3*time.Second))
	wantRuns(t, c, "out", 0)
	long := c.stampLater(1, "long", "b", 25*time.Second)
	time.Sleep(2 * time.Second)
	c.platform.signal(syscall.SIGCONT)
	ownStamp(t, <-long, "long", "b")
	c.await("the repeat", func() bool { return c.stamp(2, "out", "a", 0).whole() })
	wantRuns(t, c, "out", 1)
	wantRuns(t, c, "long", 1)
}

func TestHolderPausedBeyondTheDeadline(t *testing.T) {
	c := newCluster(t, shape{serviceSlots: 1, serviceDelay: 2 * time.Second})
	running := c.stampLater(0, "running", "a", 0)
	c.await("the run", func() bool { return c.runs()["running"] == 1 })
	waiting := c.stampLater(0, "waiting", "b", 3*time.Second)
	time.Sleep(300 * time.Millisecond)
	c.daemons[0].freeze()
	// The holder is silent towards its peers and towards the caller.
	wantUnknown(t, c.stamp(1, "running", "a", 10*time.Second))
	c.await("the repeat", func() bool { return c.stamp(1, "waiting", "b", 0).whole() })
	c.daemons[0].signal(syscall.SIGCONT)
	if r := <-waiting; r.outcome == "not_run" {
		t.Fatalf("said not_run of a key that ran: %q", r.body)
	}
	<-running
	wantRuns(t, c, "running", 1)
	wantRuns(t, c, "waiting", 1)
}

// Calls that fell silent must not keep the slots of a service for ever.
func TestSilentCallsGiveTheirSlotsBack(t *testing.T) {
	c := newCluster(t, shape{serviceSlots: 2, serviceDelay: 10 * time.Millisecond})
	c.fault(c.serviceAt, `{"calls":2,"silent":true}`)
	for i := range 2 {
		wantUnknown(t, c.stamp(i, fmt.Sprintf("silent-%d", i), "a", time.Second))
	}
	c.await("a slot", func() bool {
		return c.stamp(0, fmt.Sprintf("next-%d", time.Now().UnixNano()), "b", 2*time.Second).whole()
	})
	for i := range 2 {
		wantRuns(t, c, fmt.Sprintf("silent-%d", i), 1)
	}
}
