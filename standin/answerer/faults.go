package answerer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"yuccaspread/common/clock"
)

// Faults are switched on by PUT /faults and replace those before.
type Faults struct {
	// CrashText ends the process when a body holds it; empty for never.
	CrashText string `json:"crash_text,omitempty"`
	// Calls is the number of calls that the faults below apply to.
	Calls int `json:"calls,omitempty"`
	// Cut breaks the connection in the middle of the answer.
	Cut bool `json:"cut,omitempty"`
	// Unframed ends the answer in its middle by closing a connection that
	// promised neither a length nor an end mark.
	Unframed bool `json:"unframed,omitempty"`
	// Silent runs the call and never answers.
	Silent bool `json:"silent,omitempty"`
	// Crossed names another attempt in the head of the answer.
	Crossed bool `json:"crossed,omitempty"`
	// LateMS holds the answer back, in milliseconds.
	LateMS clock.Millis `json:"late_ms,omitempty"`
}

func (a *Answerer) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = faults
}

// takeFault returns the faults of one call.
func (a *Answerer) takeFault(body string) Faults {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.CrashText != "" && strings.Contains(body, a.faults.CrashText) && a.Crash != nil {
		a.Crash()
	}
	if a.faults.Calls <= 0 {
		return Faults{}
	}
	a.faults.Calls--
	return a.faults
}

// answer writes the body with the faults of the call.
func (f Faults) answer(ctx context.Context, w http.ResponseWriter, tag string, body []byte) {
	clock.Sleep(ctx, f.LateMS)
	if f.Silent {
		<-ctx.Done()
		return
	}
	if f.Crossed {
		tag = "crossed." + tag
	}
	if tag != "" {
		w.Header().Set(headerRequest, tag)
	}
	if f.Unframed {
		unframed(w, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.Cut {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// unframed answers as a server of HTTP/1.0 does and stops half way.
func unframed(w http.ResponseWriter, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(append([]byte("HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n"), body[:len(body)/2]...))
	_ = conn.Close()
}
