package injector

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"yuccaspread/common/clock"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 64 << 20

// faultsPath is where faults are read and replaced. It isn't subject to faults.
const faultsPath = "/faults"

// Injector wraps the handlers of a stand-in. Its exported fields are set before
// Handler.
type Injector struct {
	// FreezeReads makes reads return the current state from now on, or ends that.
	FreezeReads func(on bool)
	// SetListLag sets how far the list of VMs lags behind.
	SetListLag func(lag clock.Millis)

	mu     sync.Mutex
	faults Faults
	// writeLimiter and readLimiter are nil if there is no limit.
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
}

// Set replaces the faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.FreezeReads != nil && f.StaleReads != i.faults.StaleReads {
		i.FreezeReads(f.StaleReads)
	}
	if i.SetListLag != nil {
		i.SetListLag(f.ListLagMS)
	}
	i.faults = f
	i.writeLimiter = newLimiter(f.WritesPerSecond)
	i.readLimiter = newLimiter(f.ReadsPerSecond)
}

// newLimiter returns a limiter whose burst is the calls of a tenth of a second, at
// least 1, or nil if there is no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Faults returns the faults in effect.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Handler returns next with the faults applied. GET /faults returns the faults, and
// PUT /faults replaces them.
func (i *Injector) Handler(next http.Handler) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(faultsPath, i.serveGetFaults).Methods(http.MethodGet)
	router.HandleFunc(faultsPath, i.servePutFaults).Methods(http.MethodPut)
	// Calls of tests and of the stand-in of an operator are never subject to faults.
	router.PathPrefix("/standin/").Handler(next)
	router.PathPrefix("/").Handler(i.injectFaults(next))
	return router
}

func (i *Injector) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Faults())
}

func (i *Injector) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

func (i *Injector) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		write := isWrite(r, body)
		f, allowed := i.nextCall(write)
		time.Sleep(randomDelay(f).Duration())
		switch {
		case f.Outage:
			panic(http.ErrAbortHandler)
		case f.Refuse:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case !allowed:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		case write && rand.Float64() < f.LoseReplies:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// nextCall returns the faults for a call and reports whether the call is within the
// rate limit.
func (i *Injector) nextCall(write bool) (f Faults, allowed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	limiter := i.readLimiter
	if write {
		limiter = i.writeLimiter
	}
	return i.faults, limiter == nil || limiter.Allow()
}

func randomDelay(f Faults) clock.Millis {
	if f.SlowMS > 0 && rand.Float64() < f.SlowShare {
		return f.LatencyMS + f.SlowMS
	}
	return f.LatencyMS
}

// isWrite reports whether the call may change data.
func isWrite(r *http.Request, body []byte) bool {
	switch {
	case r.Method == http.MethodPut, r.Method == http.MethodDelete:
		return true
	case strings.HasSuffix(r.URL.Path, "/txn"):
		return bytes.Contains(body, []byte(`"request_put"`)) || bytes.Contains(body, []byte(`"request_delete_range"`))
	default:
		return false
	}
}
