package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"yuccaspread/common/clock"
)

// Faults are switched on by PUT /faults and replace those before.
type Faults struct {
	// CrashText ends the process when a prompt holds it; empty for never.
	CrashText string `json:"crash_text,omitempty"`
	// Connections is the number of connections that the faults below apply to,
	// each of them once.
	Connections int `json:"connections,omitempty"`
	// CutAfter breaks the connection after so many events; 0 for never.
	CutAfter int `json:"cut_after,omitempty"`
	// SilentAfter sends nothing after so many events and keeps the connection
	// open; 0 for never.
	SilentAfter int `json:"silent_after,omitempty"`
	// LateMS holds the connection's first event back, in milliseconds.
	LateMS clock.Millis `json:"late_ms,omitempty"`
	// CrossedAfter mixes an event of another stream in after so many events;
	// 0 for never.
	CrossedAfter int `json:"crossed_after,omitempty"`
	// CrossedHead tells the name of another attempt in the head.
	CrossedHead bool `json:"crossed_head,omitempty"`
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

// takeFault returns the faults of one connection.
func (g *Generator) takeFault() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Connections <= 0 {
		return Faults{}
	}
	g.faults.Connections--
	return g.faults
}

// crash ends the process where the prompt asks for it.
func (g *Generator) crash(prompt string) {
	g.mu.Lock()
	text := g.faults.CrashText
	g.mu.Unlock()
	if text != "" && strings.Contains(prompt, text) && g.Crash != nil {
		g.Crash()
	}
}

// tag returns the name of the attempt that the head tells.
func (f Faults) tag(own string) string {
	if f.CrossedHead {
		return "crossed." + own
	}
	return own
}

// before applies the faults that come when so many events were sent.
func (f Faults) before(ctx context.Context, w http.ResponseWriter, sent int) {
	if sent == 0 && f.LateMS > 0 {
		sleep(ctx, f.LateMS.Duration())
	}
	switch {
	case f.CutAfter > 0 && sent == f.CutAfter:
		panic(http.ErrAbortHandler)
	case f.SilentAfter > 0 && sent == f.SilentAfter:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case f.CrossedAfter > 0 && sent == f.CrossedAfter:
		_, _ = fmt.Fprint(w, "id: another.1:1\ndata: {\"choices\":[{\"delta\":{\"content\":\"another's \"}}]}\n\n")
	}
}
