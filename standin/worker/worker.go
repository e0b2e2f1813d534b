// Package worker is a stand-in for a worker of the users' platform: a plain
// service or a language model engine that streams events. It admits requests
// in the order in which they come, says when it has not run one, and keeps a
// list of all that it ran, so that tests see what callers can't.
package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
)

// Headers of the platform.
const (
	headerAttempt = "Attempt-Id"
	headerSeal    = "Response-Seal"
)

// Faults are switched by PUT /standin/faults. Each Every counts the requests
// that run, and 0 switches a fault off.
type Faults struct {
	// Silent answers nothing and runs nothing.
	Silent bool `json:"silent"`
	// FailEvery answers a run with 500.
	FailEvery int `json:"fail_every"`
	// LoseEvery runs a request and resets its connection.
	LoseEvery int `json:"lose_every"`
	// BreakEvery breaks an answer off in the middle, of a stream in the middle
	// of an event.
	BreakEvery int `json:"break_every"`
	// ShedEvery refuses a request without running it.
	ShedEvery int `json:"shed_every"`
	// Unhealthy answers health checks with 503 and all else well.
	Unhealthy bool `json:"unhealthy"`
}

// Run is one request that ran here.
type Run struct {
	ID        string `json:"id"`
	Worker    string `json:"worker"`
	Path      string `json:"path"`
	Tenant    string `json:"tenant"`
	LastEvent string `json:"last_event"`
	BodyBytes int    `json:"body_bytes"`
	AtMS      int64  `json:"at_ms"`
}

// Worker is one process. Its exported fields are set before Register.
type Worker struct {
	// ID is the one that the store lists.
	ID string
	// Slots is the number of requests at once, and Queue the number that wait.
	Slots int
	Queue int
	// Work is how long an answer takes, to its end or to its first event.
	Work clock.Millis
	// Events is the number of events of a stream; 0 answers whole. Gap is the
	// pause between two of them.
	Events int
	Gap    clock.Millis

	once   sync.Once
	slots  chan struct{}
	mu     sync.Mutex
	faults Faults
	runs   []Run
	// waiting counts the requests that wait for a slot.
	waiting int
	// count counts the requests that came.
	count int
}

// Register adds the calls to router.
func (v *Worker) Register(router *mux.Router) {
	v.once.Do(func() { v.slots = make(chan struct{}, max(v.Slots, 1)) })
	router.HandleFunc("/standin/faults", v.serveFaults).Methods(http.MethodPut)
	router.HandleFunc("/standin/runs", v.serveRuns).Methods(http.MethodGet)
	router.HandleFunc("/health", v.serveHealth).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(v.serve)
}

func (v *Worker) serveFaults(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = Faults{}
	if err := json.NewDecoder(r.Body).Decode(&v.faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (v *Worker) serveRuns(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = json.NewEncoder(w).Encode(v.runs)
}

func (v *Worker) serveHealth(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w.Header().Set("Instance-Id", v.ID)
	if v.faults.Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (v *Worker) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if wanted := r.Header.Get("Expect-Instance"); wanted != "" && wanted != v.ID {
		w.Header().Set("Instance-Id", v.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	faults, number := v.arrive()
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return
	case r.Header.Get(headerAttempt) == "":
		v.shed(w, http.StatusBadRequest)
		return
	case every(number, faults.ShedEvery) || !v.enter(r):
		v.shed(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-v.slots }()
	v.note(r, len(body))
	v.answer(w, r, faults, number)
}

func (v *Worker) arrive() (faults Faults, number int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.count++
	return v.faults, v.count
}

func every(number, n int) bool { return n > 0 && number%n == 0 }

// enter waits for a slot; false where too many wait or the caller left.
func (v *Worker) enter(r *http.Request) bool {
	select {
	case v.slots <- struct{}{}:
		return true
	default:
	}
	if !v.wait(1) {
		return false
	}
	defer v.wait(-1)
	select {
	case v.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (v *Worker) wait(change int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if change > 0 && v.waiting >= v.Queue {
		return false
	}
	v.waiting += change
	return true
}

func (v *Worker) shed(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (v *Worker) note(r *http.Request, size int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs = append(v.runs, Run{
		ID: r.Header.Get(headerAttempt), Worker: v.ID, Path: r.URL.Path, Tenant: r.Header.Get("Tenant"),
		LastEvent: r.Header.Get("Last-Event-Id"), BodyBytes: size, AtMS: time.Now().UnixMilli(),
	})
}

// answer runs the request.
func (v *Worker) answer(w http.ResponseWriter, r *http.Request, faults Faults, number int) {
	if !clock.Sleep(r.Context(), v.Work) {
		return
	}
	if every(number, faults.LoseEvery) {
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", len(v.slots), v.waiting, v.Slots)
	v.mu.Unlock()
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	w.Header().Set(headerSeal, "seal-"+id)
	w.Header().Set("Server-Load", load)
	switch {
	case every(number, faults.FailEvery):
		w.WriteHeader(http.StatusInternalServerError)
	case v.Events > 0:
		v.stream(w, r, every(number, faults.BreakEvery))
	case every(number, faults.BreakEvery):
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("the start of"))
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write([]byte("answer to " + id)) //nolint:gosec // A stand-in, whose answers nobody renders.
	}
}

// stream sends the events after the one that the request names.
func (v *Worker) stream(w http.ResponseWriter, r *http.Request, breaks bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	flusher := http.NewResponseController(w)
	for number := first; number <= v.Events; number++ {
		event := Event(number)
		if breaks && number == (first+v.Events)/2 {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(event))
		_ = flusher.Flush()
		if !clock.Sleep(r.Context(), v.Gap) {
			return
		}
	}
}

// Event returns the event with a number, as every worker sends it.
func Event(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", number%7+1))
}
