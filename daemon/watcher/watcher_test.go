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

// engine is a fake upstream that answers with prepared reports.
type engine struct {
	mu     sync.Mutex
	broken bool
	load   string
	events string
}

func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

type source struct{ config inventory.Config }

func (s *source) Current() *inventory.Config { return &s.config }

// watching starts a watcher of one engine and returns its news.
func watching(t *testing.T, e *engine) <-chan scheduler.Message {
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	news := make(chan scheduler.Message, 1)
	ctx, cancel := context.WithCancel(context.Background())
	upstream := inventory.Upstream{Name: "u1", Pool: "p", Address: strings.TrimPrefix(server.URL, "http://")}
	w := &watcher.Watcher{
		Upstreams: func() []inventory.Upstream { return []inventory.Upstream{upstream} },
		Source:    &source{inventory.Config{Pools: []inventory.Pool{{Name: "p", Kind: inventory.PoolModel}}}},
		Tell: func(_ string, m scheduler.Message) {
			select {
			case news <- m:
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
	return news
}

// expect waits for news that equal wanted, whatever else comes.
func expect(t *testing.T, news <-chan scheduler.Message, wanted scheduler.Message) {
	t.Helper()
	limit := time.After(30 * time.Second)
	for {
		select {
		case m := <-news:
			if reflect.DeepEqual(m, wanted) {
				return
			}
		case <-limit:
			t.Fatalf("never told %+v", wanted)
		}
	}
}

func TestLoadAndHealthAreTold(t *testing.T) {
	e := &engine{load: `{"time_ms":0,"running":2,"waiting":1,"version":"v2","leaving":true}`, events: `{"last":0}`}
	news := watching(t, e)
	expect(t, news, scheduler.Load{Upstream: "u1", Running: 2, Waiting: 1, Version: "v2", Leaving: true})
	e.set(func() { e.broken = true })
	expect(t, news, scheduler.Health{Upstream: "u1", Up: false})
	e.set(func() { e.broken = false })
	expect(t, news, scheduler.Health{Upstream: "u1", Up: true})
}

func TestLostEventsAndRestartsShowAsGaps(t *testing.T) {
	e := &engine{load: `{}`, events: `{"last":1,"events":[{"sequence":1,"stored":[4294967298]}]}`}
	news := watching(t, e)
	expect(t, news, scheduler.CacheChange{Upstream: "u1", Stored: []uint64{2}})
	e.set(func() { e.events = `{"last":3,"events":[{"sequence":3,"removed":[2]}]}` })
	expect(t, news, scheduler.CacheChange{Upstream: "u1", Gap: true, Removed: []uint64{2}})
	e.set(func() { e.events = `{"last":1,"events":[{"sequence":1,"stored":[7]}]}` })
	expect(t, news, scheduler.CacheChange{Upstream: "u1", Gap: true})
	expect(t, news, scheduler.CacheChange{Upstream: "u1", Stored: []uint64{7}})
}
