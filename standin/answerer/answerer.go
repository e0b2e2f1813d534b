// Package answerer is a stand-in for a plain HTTP service, such as a booking
// application or a registry, whose calls must not be repeated. It counts how often
// each call ran.
package answerer

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 16 << 20

// Answerer is a service. Its exported fields are set before Register.
type Answerer struct {
	// Name is sent in the header X-Upstream.
	Name string
	// Delay is the duration of a call.
	Delay clock.Millis
	// Crash exits the process, for the fault CrashText.
	Crash func()

	mu     sync.Mutex
	faults Faults
	// runs counts the calls by their Idempotency-Key.
	runs map[string]int
}

// Register adds the handlers to router. GET /runs returns how often each
// Idempotency-Key ran, GET /v1/load the time, and PUT /faults replaces the faults.
// Every other request is a call of the service.
func (a *Answerer) Register(router *mux.Router) {
	router.HandleFunc("/runs", a.serveRuns).Methods(http.MethodGet)
	router.HandleFunc("/v1/load", a.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/faults", a.serveFaults).Methods(http.MethodPut)
	router.PathPrefix("/").HandlerFunc(a.serveCall)
}

func (a *Answerer) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(struct {
		TimeMS clock.Millis `json:"time_ms"`
	}{clock.System{}.Now()})
}

func (a *Answerer) serveRuns(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = json.NewEncoder(w).Encode(a.runs)
}

func (a *Answerer) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	run := a.countRun(key)
	fault := a.consumeFaults(string(body))
	time.Sleep(a.Delay.Duration())
	w.Header().Set("X-Upstream", a.Name)
	w.Header().Set("Content-Type", "application/json")
	answer, err := json.Marshal(struct {
		Key  string `json:"key"`
		Run  int    `json:"run"`
		Echo string `json:"echo"`
	}{key, run, string(body)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fault.writeReply(r.Context(), w, r.Header.Get(headerRequestID), append(answer, '\n'))
}

// headerRequestID identifies the attempt that a response belongs to.
const headerRequestID = "X-Request-Id"

func (a *Answerer) countRun(key string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs == nil {
		a.runs = map[string]int{}
	}
	a.runs[key]++
	return a.runs[key]
}
