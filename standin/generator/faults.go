package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"yuccaspread/common/clock"
)

// Faults are the simulated faults of connections. PUT /faults replaces them as a
// whole.
type Faults struct {
	// CrashText crashes the process when a prompt contains it, unless empty.
	CrashText string `json:"crash_text,omitempty"`
	// Connections is the number of connections to which the faults below apply,
	// once each.
	Connections int `json:"connections,omitempty"`
	// CutAfter closes the connection after that many events; 0 means never.
	CutAfter int `json:"cut_after,omitempty"`
	// SilentAfter sends nothing after that many events and keeps the connection
	// open; 0 means never.
	SilentAfter int `json:"silent_after,omitempty"`
	// LateMS delays the first event of the connection, in milliseconds.
	LateMS clock.Millis `json:"late_ms,omitempty"`
	// ForeignEventAfter inserts an event of another stream after that many events;
	// 0 means never.
	ForeignEventAfter int `json:"crossed_after,omitempty"`
	// ForeignRequestID sends the id of another attempt in the response header.
	ForeignRequestID bool `json:"crossed_head,omitempty"`
}

func (g *Generator) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
}

// consumeFaults returns the faults for one connection and counts it against
// Connections.
func (g *Generator) consumeFaults() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Connections <= 0 {
		return Faults{}
	}
	g.faults.Connections--
	return g.faults
}

// crashIfRequested crashes the process if the prompt contains CrashText.
func (g *Generator) crashIfRequested(prompt string) {
	g.mu.Lock()
	text := g.faults.CrashText
	g.mu.Unlock()
	if text != "" && strings.Contains(prompt, text) && g.Crash != nil {
		g.Crash()
	}
}

// requestID returns the attempt's id to send in the response header.
func (f Faults) requestID(id string) string {
	if f.ForeignRequestID {
		return "crossed." + id
	}
	return id
}

// applyBefore applies the faults that are due once the given number of events has
// been sent.
func (f Faults) applyBefore(ctx context.Context, w http.ResponseWriter, sent int) {
	if sent == 0 && f.LateMS > 0 {
		sleep(ctx, f.LateMS.Duration())
	}
	switch {
	case f.CutAfter > 0 && sent == f.CutAfter:
		panic(http.ErrAbortHandler)
	case f.SilentAfter > 0 && sent == f.SilentAfter:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case f.ForeignEventAfter > 0 && sent == f.ForeignEventAfter:
		_, _ = fmt.Fprint(w, "id: another.1:1\ndata: {\"choices\":[{\"delta\":{\"content\":\"another's \"}}]}\n\n")
	}
}
