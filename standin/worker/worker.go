// Package worker is a stand-in for a worker of the users' platform: a plain
// service or a language model engine that streams events. It admits requests in
// order of arrival, declares when it has not run one, and records all that it ran,
// so that tests can check what callers can't see.
package worker

import (
	"cmp"
	"context"
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
	headerAttempt      = "Attempt-Id"
	headerResponseSeal = "Response-Seal"
)

// Faults are the simulated faults, replaced by PUT /standin/faults. A field Every
// affects each request whose number, in order of arrival, is a multiple of it; 0
// disables the fault.
type Faults struct {
	// Silent neither runs requests nor responds to them.
	Silent bool `json:"silent"`
	// FailEvery runs the request and responds with status 500.
	FailEvery int `json:"fail_every"`
	// LoseEvery runs the request and closes the connection without a response.
	LoseEvery int `json:"lose_every"`
	// BreakEvery closes the connection in the middle of the response, and of a
	// stream in the middle of an event.
	BreakEvery int `json:"break_every"`
	// ShedEvery refuses the request without running it.
	ShedEvery int `json:"shed_every"`
	// CloseEvery closes the connection after the response, which says so.
	CloseEvery int `json:"close_every"`
	// RetryAfter is the Retry-After of requests that are refused so, in seconds; empty for none.
	RetryAfter string `json:"retry_after"`
	// Unhealthy fails health checks with status 503 and affects nothing else.
	Unhealthy bool `json:"unhealthy"`
	// CrashPart crashes the process when it would respond to a request whose prompt has
	// the part with this id.
	CrashPart string `json:"crash_part"`
	// NamedLimit is the limit that all responses name, in requests per second; empty for none.
	NamedLimit string `json:"named_limit"`
	// Leaving lets all responses say that the worker is about to stop, which its entry in the
	// store does not.
	Leaving bool `json:"leaving"`
	// WorkMS replaces the duration of a request until its response; 0 leaves it.
	WorkMS clock.Millis `json:"work_ms"`
	// EventGapMS replaces the pause between two events of a stream; 0 leaves it.
	EventGapMS clock.Millis `json:"event_gap_ms"`
	// IgnoreClose lets a run end early only by a failed write, not by the end of its
	// connection.
	IgnoreClose bool `json:"ignore_close"`
}

// Run records a request that ran on this worker.
type Run struct {
	ID        string `json:"id"`
	Worker    string `json:"worker"`
	Path      string `json:"path"`
	Tenant    string `json:"tenant"`
	LastEvent string `json:"last_event"`
	BodyBytes int    `json:"body_bytes"`
	AtMS      int64  `json:"at_ms"`
	// UntilMS is the end of the run, 0 while it goes on.
	UntilMS int64 `json:"until_ms"`
}

// Worker is one worker process. Its exported fields are set before Register.
type Worker struct {
	// ID is the worker's key in the metadata store.
	ID string
	// Slots bounds the requests that run at once, Queue those that wait.
	Slots int
	Queue int
	// WorkTime is the duration of a request until its response, or until the first
	// event of a stream.
	WorkTime clock.Millis
	// Events is the number of events of a stream; 0 sends a plain response.
	// EventGap is the pause between two events.
	Events   int
	EventGap clock.Millis
	// Crash ends the process at once.
	Crash func()

	once     sync.Once
	slots    chan struct{}
	mu       sync.Mutex
	faults   Faults
	refusals Refusals
	runs     []Run
	// arrivals holds when requests arrived, refused ones included.
	arrivals []int64
	// arrived counts requests by their id.
	arrived map[string]arrivalCount
	// waiting is the number of requests that wait for a slot.
	waiting int
	// requestCount is the number of requests received.
	requestCount int
	// silentUntil is the end of the last silence.
	silentUntil time.Time
}

// Register adds the handlers to router.
func (v *Worker) Register(router *mux.Router) {
	v.once.Do(func() { v.slots = make(chan struct{}, max(v.Slots, 1)) })
	router.HandleFunc("/standin/faults", v.serveFaults).Methods(http.MethodPut)
	router.HandleFunc("/standin/refusals", v.serveRefusals).Methods(http.MethodPut)
	router.HandleFunc("/standin/silence", v.serveSilence).Methods(http.MethodPut)
	router.HandleFunc("/standin/runs", v.serveRuns).Methods(http.MethodGet)
	router.HandleFunc("/standin/arrivals", v.serveArrivals).Methods(http.MethodGet)
	router.HandleFunc("/health", v.serveHealth).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(v.serveRequest)
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

// serveArrivals responds with the times at which requests arrived, in Unix milliseconds.
func (v *Worker) serveArrivals(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = json.NewEncoder(w).Encode(v.arrivals)
}

func (v *Worker) serveHealth(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w.Header().Set("Instance-Id", v.ID)
	if v.faults.Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (v *Worker) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != v.ID {
		w.Header().Set("Instance-Id", v.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	faults, index := v.countRequest()
	id := r.Header.Get(headerAttempt)
	setNotices(w.Header(), id, faults, index)
	conn, _ := r.Context().Value(connKey{}).(*connState)
	if conn != nil {
		conn.answering.Lock()
		defer conn.answering.Unlock()
	}
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return
	case id == "":
		v.refuseUnexecuted(w, http.StatusBadRequest)
		return
	case isEveryNth(index, faults.ShedEvery):
		if faults.RetryAfter != "" {
			w.Header().Set("Retry-After", faults.RetryAfter)
		}
		v.refuseUnexecuted(w, http.StatusServiceUnavailable)
		return
	}
	refusals, refused := v.countArrival(id)
	switch {
	case refused:
		v.refuseRepeatable(w, conn, id, refusals)
		return
	case !v.acquireSlot(r):
		v.refuseUnexecuted(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-v.slots }()
	number := v.recordRun(r, len(body))
	defer v.recordEnd(number)
	if faults.IgnoreClose {
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	conn.writeCopies(r.Context(), id, refusals.CopyAfterMS)
	v.runRequest(w, r, faults, index)
}

// setNotices sets what all responses say of their request and of the worker.
func setNotices(header http.Header, id string, faults Faults, index int) {
	if id != "" {
		header.Set(headerAttempt, id)
	}
	if faults.NamedLimit != "" {
		header.Set("Server-Limit", faults.NamedLimit)
	}
	if isEveryNth(index, faults.CloseEvery) {
		header.Set("Connection", "close")
	}
	if faults.Leaving {
		header.Set("Server-Leaving", "1")
	}
}

// countRequest counts a request and returns the faults in effect and its number in
// order of arrival.
func (v *Worker) countRequest() (faults Faults, index int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requestCount++
	v.arrivals = append(v.arrivals, time.Now().UnixMilli())
	return v.faults, v.requestCount
}

// isEveryNth reports whether index is a multiple of n; 0 for n means never.
func isEveryNth(index, n int) bool { return n > 0 && index%n == 0 }

// acquireSlot waits for a slot. It returns false if the queue is full or the caller
// disconnects.
func (v *Worker) acquireSlot(r *http.Request) bool {
	select {
	case v.slots <- struct{}{}:
		return true
	default:
	}
	if !v.addWaiting(1) {
		return false
	}
	defer v.addWaiting(-1)
	select {
	case v.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// addWaiting changes the number of waiting requests. It returns false if the queue is
// full.
func (v *Worker) addWaiting(delta int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if delta > 0 && v.waiting >= v.Queue {
		return false
	}
	v.waiting += delta
	return true
}

// refuseUnexecuted refuses a request and declares that it did not run.
func (v *Worker) refuseUnexecuted(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// recordRun records the start of a run and returns its number.
func (v *Worker) recordRun(r *http.Request, bodyBytes int) (number int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs = append(v.runs, Run{
		ID: r.Header.Get(headerAttempt), Worker: v.ID, Path: r.URL.Path, Tenant: r.Header.Get("Tenant"),
		LastEvent: r.Header.Get("Last-Event-Id"), BodyBytes: bodyBytes, AtMS: time.Now().UnixMilli(),
	})
	return len(v.runs) - 1
}

func (v *Worker) recordEnd(number int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs[number].UntilMS = time.Now().UnixMilli()
}

// runRequest runs the request and writes the response with the faults applied.
func (v *Worker) runRequest(w http.ResponseWriter, r *http.Request, faults Faults, index int) {
	if !clock.Sleep(r.Context(), cmp.Or(faults.WorkMS, v.WorkTime)) || !v.awaitSound(r.Context()) {
		return
	}
	if faults.CrashPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), faults.CrashPart+":") {
		v.Crash()
		return
	}
	if isEveryNth(index, faults.LoseEvery) {
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", len(v.slots), v.waiting, v.Slots)
	v.mu.Unlock()
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	w.Header().Set(headerResponseSeal, "seal-"+id)
	w.Header().Set("Server-Load", load)
	switch {
	case isEveryNth(index, faults.FailEvery):
		w.WriteHeader(http.StatusInternalServerError)
	case v.Events > 0:
		v.streamEvents(w, r, cmp.Or(faults.EventGapMS, v.EventGap), isEveryNth(index, faults.BreakEvery))
	case isEveryNth(index, faults.BreakEvery):
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("the start of"))
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write([]byte("answer to " + id)) //nolint:gosec // A stand-in, whose responses no browser renders.
	}
}

// streamEvents sends the events that follow Last-Event-Id, or all of them.
func (v *Worker) streamEvents(w http.ResponseWriter, r *http.Request, gap clock.Millis, truncate bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	flusher := http.NewResponseController(w)
	for number := first; number <= v.Events; number++ {
		event := Event(number)
		if truncate && number == (first+v.Events)/2 {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(event)); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
		if !clock.Sleep(r.Context(), gap) || !v.awaitSound(r.Context()) {
			return
		}
	}
}

// Event returns the event with the given number, which is the same for every worker.
func Event(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", number%7+1))
}
