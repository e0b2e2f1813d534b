package watcher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/watcher"
)

// fakeEngine is an upstream that returns prepared reports.
type fakeEngine struct {
	mu     sync.Mutex
	broken bool
	load   string
	events string
}

func (e *fakeEngine) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.broken {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/v1/load" {
		_, _ = fmt.Fprint(w, e.load)
		return
	}
	_, _ = fmt.Fprint(w, e.events)
}

type staticSource struct{ config inventory.Config }

func (s *staticSource) Current() *inventory.Config { return &s.config }

// startWatcher starts a watcher of one engine and returns the messages it sends.
func startWatcher(t *testing.T, e *fakeEngine) <-chan scheduler.Message {
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	messages := make(chan scheduler.Message, 1)
	ctx, cancel := context.WithCancel(context.Background())
	upstream := inventory.Upstream{Name: "u1", Pool: "p", Address: strings.TrimPrefix(server.URL, "http://")}
	w := &watcher.Watcher{
		Upstreams: func() []inventory.Upstream { return []inventory.Upstream{upstream} },
		Source:    &staticSource{inventory.Config{Pools: []inventory.Pool{{Name: "p", Kind: inventory.PoolModel}}}},
		Send: func(_ string, m scheduler.Message) {
			select {
			case messages <- m:
			case <-ctx.Done():
			}
		},
		Clock: &clock.Manual{}, Client: server.Client(), Interval: clock.Millisecond,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return messages
}

// waitForMessage waits for a message equal to wanted and ignores all others.
func waitForMessage(t *testing.T, messages <-chan scheduler.Message, wanted scheduler.Message) {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case m := <-messages:
			if reflect.DeepEqual(m, wanted) {
				return
			}
		case <-timeout:
			t.Fatalf("message %+v was not sent within 30s", wanted)
		}
	}
}

// The scheduler must learn of the load, of an upstream that stops answering, and
// of its return.
func TestLoadAndHealthAreSent(t *testing.T) {
	e := &fakeEngine{load: `{"time_ms":0,"running":2,"waiting":1,"version":"v2","leaving":true}`, events: `{"last":0}`}
	messages := startWatcher(t, e)
	waitForMessage(t, messages, scheduler.Load{Upstream: "u1", Running: 2, Waiting: 1, Version: "v2", Leaving: true})
	e.update(func() { e.broken = true })
	waitForMessage(t, messages, scheduler.Health{Upstream: "u1", Up: false})
	e.update(func() { e.broken = false })
	waitForMessage(t, messages, scheduler.Health{Upstream: "u1", Up: true})
}

// Without a gap the scheduler would go on counting on cached blocks that the
// upstream has removed, or has lost at a restart.
func TestLostEventsAndRestartsAreReportedAsGaps(t *testing.T) {
	e := &fakeEngine{load: `{}`, events: `{"last":1,"events":[{"sequence":1,"stored":[4294967298]}]}`}
	messages := startWatcher(t, e)
	waitForMessage(t, messages, scheduler.CacheChange{Upstream: "u1", Stored: []uint64{2}})
	e.update(func() { e.events = `{"last":3,"events":[{"sequence":3,"removed":[2]}]}` })
	waitForMessage(t, messages, scheduler.CacheChange{Upstream: "u1", Gap: true, Removed: []uint64{2}})
	e.update(func() { e.events = `{"last":1,"events":[{"sequence":1,"stored":[7]}]}` })
	waitForMessage(t, messages, scheduler.CacheChange{Upstream: "u1", Gap: true})
	waitForMessage(t, messages, scheduler.CacheChange{Upstream: "u1", Stored: []uint64{7}})
}
