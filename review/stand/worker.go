package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for a worker of the users. It runs slots requests at once, lets a few
// wait in the order of arrival, and records what it ran.
type worker struct {
	world   *world
	id      string
	service string
	slots   int
	queue   int
	// work returns how long a plain request takes, or a stream until its first event.
	work func(r *http.Request) time.Duration
	// events and gap are the number of events of a stream and the pause between them; no
	// events stands for plain answers.
	events int
	gap    time.Duration

	mu      sync.Mutex
	running int
	waiting int
	freed   chan struct{}
	runs    map[string]*workerRun
}

// workerRun is a request that a worker began to work on.
type workerRun struct {
	worker string
	tokens int
	began  time.Time
	// ended is zero while it runs; broken means that the connection was closed before its end.
	ended  time.Time
	broken bool
}

// startWorker starts a worker and registers it.
func (w *world) startWorker(v *worker, zone int) error {
	socket, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:0", 20+zone))
	if err != nil {
		return err
	}
	v.world, v.runs, v.freed = w, map[string]*workerRun{}, make(chan struct{})
	born := time.Now().UnixMilli()
	beat := func(seq int) {
		w.store.put("servers", v.id, map[string]any{
			"service": v.service, "address": socket.Addr().String(), "zone": zones[zone].name, "version": "v1", "slots": v.slots,
			"state": "ready", "cold-left-ms": 0, "seq-no": seq, "born": born,
		})
	}
	beat(1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(beatInterval)
			beat(seq)
		}
	}()
	server := &http.Server{Handler: http.HandlerFunc(v.serve)}
	go func() { _ = server.Serve(socket) }()
	return nil
}

// acquire waits for a slot and returns false if the queue is full or the caller has left.
func (v *worker) acquire(r *http.Request) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.running >= v.slots && v.waiting >= v.queue {
		return false
	}
	v.waiting++
	for v.running >= v.slots {
		freed := v.freed
		v.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
			v.mu.Lock()
			v.waiting--
			return false
		}
		v.mu.Lock()
	}
	v.waiting--
	v.running++
	return true
}

func (v *worker) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running--
	close(v.freed)
	v.freed = make(chan struct{})
}

func (v *worker) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != v.id {
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if !v.acquire(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.release()
	run := v.begin(r, id)
	whole := v.answer(w, r, id)
	v.end(run, id, whole)
}

// begin records that the worker begins to work on a request.
func (v *worker) begin(r *http.Request, id string) *workerRun {
	run := &workerRun{worker: v.id, tokens: tokensOf(r.Header.Get("Token-Count")), began: time.Now()}
	v.mu.Lock()
	v.runs[id] = run
	v.mu.Unlock()
	v.world.note("%s runs %s", v.id, id)
	return run
}

func (v *worker) end(run *workerRun, id string, whole bool) {
	v.mu.Lock()
	run.ended, run.broken = time.Now(), !whole
	v.mu.Unlock()
	if !whole {
		v.world.note("%s: the connection of %s was closed before its end", v.id, id)
	}
}

// answer works on the request and answers it; it returns false if the caller has left.
func (v *worker) answer(w http.ResponseWriter, r *http.Request, id string) bool {
	if !sleep(r, v.work(r)) {
		return false
	}
	w.Header().Set("Response-Seal", "seal-"+id)
	if v.events == 0 {
		body := []byte("answer to " + id)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, err := w.Write(body)
		return err == nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= v.events; n++ {
		if n > 1 && !sleep(r, v.gap) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

// sleep waits and returns false if the caller leaves meanwhile.
func sleep(r *http.Request, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-r.Context().Done():
		return false
	}
}

// tokensOf returns the sum of the two numbers of a Token-Count.
func tokensOf(value string) (sum int) {
	var in, out int
	_, _ = fmt.Sscanf(value, "%d,%d", &in, &out)
	return in + out
}

// runOf returns what a worker knows of a request.
func (v *worker) runOf(id string) (run workerRun, found bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.runs[id]; r != nil {
		return *r, true
	}
	return run, false
}

// findRun returns the run of a request at any of the workers.
func findRun(workers []*worker, id string) (run workerRun, found bool) {
	for _, v := range workers {
		if run, found = v.runOf(id); found {
			return run, true
		}
	}
	return run, false
}
