package answerer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"yuccaspread/common/clock"
)

// Faults are the simulated faults. PUT /faults replaces them as a whole.
type Faults struct {
	// CrashText crashes the process when a request body contains it, unless empty.
	CrashText string `json:"crash_text,omitempty"`
	// Calls is the number of calls to which the faults below apply.
	Calls int `json:"calls,omitempty"`
	// Cut closes the connection in the middle of the response.
	Cut bool `json:"cut,omitempty"`
	// Unframed ends the response in the middle of its body by closing the
	// connection, without Content-Length or chunked encoding, so that the client
	// can't detect the truncation.
	Unframed bool `json:"unframed,omitempty"`
	// Silent runs the call and never responds.
	Silent bool `json:"silent,omitempty"`
	// ForeignRequestID sends the id of another attempt in the header of the
	// response.
	ForeignRequestID bool `json:"crossed,omitempty"`
	// LateMS delays the response, in milliseconds.
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

// consumeFaults returns the faults for one call and counts it against Calls. It
// crashes the process if the body contains CrashText.
func (a *Answerer) consumeFaults(body string) Faults {
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

// writeReply writes the response with the faults applied.
func (f Faults) writeReply(ctx context.Context, w http.ResponseWriter, requestID string, body []byte) {
	clock.Sleep(ctx, f.LateMS)
	if f.Silent {
		<-ctx.Done()
		return
	}
	if f.ForeignRequestID {
		requestID = "crossed." + requestID
	}
	if requestID != "" {
		w.Header().Set(headerRequestID, requestID)
	}
	if f.Unframed {
		writeUnframed(w, body)
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

// writeUnframed writes half of the body in an HTTP/1.0 response, whose end is marked
// only by the end of the connection.
func writeUnframed(w http.ResponseWriter, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(append([]byte("HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n"), body[:len(body)/2]...))
	_ = conn.Close()
}
