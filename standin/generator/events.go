package generator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"yuccaspread/common/clock"
)

const (
	// maxKeptEvents bounds the number of cache events that are kept.
	maxKeptEvents = 1024
	// maxEventsPerReply bounds the number of cache events in one reply.
	maxEventsPerReply = 64
)

// cacheEvent reports blocks that were added to the prefix cache or evicted from it.
type cacheEvent struct {
	Sequence int64    `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// eventLog keeps the latest events. It is not safe for concurrent use.
type eventLog struct {
	// events are ordered by sequence number, which starts at 1.
	events       []cacheEvent
	lastSequence int64
	// loseEvery drops each event whose sequence number is a multiple of it; 0 drops
	// none.
	loseEvery int64
}

func (l *eventLog) record(stored, removed []uint64) {
	if len(stored) == 0 && len(removed) == 0 {
		return
	}
	l.lastSequence++
	if l.loseEvery > 0 && l.lastSequence%l.loseEvery == 0 {
		return
	}
	l.events = append(l.events, cacheEvent{l.lastSequence, stored, removed})
	if len(l.events) > maxKeptEvents {
		l.events = append([]cacheEvent(nil), l.events[len(l.events)-maxKeptEvents/2:]...)
	}
}

// eventsAfter returns the events that follow a sequence number, up to
// maxEventsPerReply.
func (l *eventLog) eventsAfter(sequence int64) []cacheEvent {
	for i, e := range l.events {
		if e.Sequence > sequence {
			return l.events[i:min(len(l.events), i+maxEventsPerReply)]
		}
	}
	return nil
}

func (g *Generator) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is no number", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	events := append([]cacheEvent(nil), g.events.eventsAfter(after)...)
	last := g.events.lastSequence
	g.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		// Last is the latest sequence number. It starts over when the engine
		// restarts.
		Last   int64        `json:"last"`
		Events []cacheEvent `json:"events"`
	}{last, events})
}

// loadReport is the engine's report of its load.
type loadReport struct {
	TimeMS  clock.Millis `json:"time_ms"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Version string       `json:"version"`
	Served  int          `json:"served"`
}

// serveLoad replies with a load report that is up to ReportEvery old.
func (g *Generator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.System{}.Now()
	if g.report.TimeMS == 0 || now-g.report.TimeMS >= g.ReportEvery {
		g.report = loadReport{now, g.running, g.waiting, g.versions.current, g.served}
	}
	_ = json.NewEncoder(w).Encode(g.report)
}
