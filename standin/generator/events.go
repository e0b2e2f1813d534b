package generator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"yuccaspread/common/clock"
)

const (
	// keptEvents bounds the cache events that can still be asked for.
	keptEvents = 1024
	// eventsPerAnswer bounds the cache events of one answer.
	eventsPerAnswer = 64
)

// cacheEvent tells of blocks that came into the prefix cache or left it.
type cacheEvent struct {
	Sequence int64    `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// eventLog keeps the newest events. It is not safe for concurrent use.
type eventLog struct {
	// events are in the order of their sequence, which begins with 1.
	events []cacheEvent
	last   int64
	// loseEvery loses each event whose sequence it divides; 0 loses none.
	loseEvery int64
}

func (l *eventLog) add(stored, removed []uint64) {
	if len(stored) == 0 && len(removed) == 0 {
		return
	}
	l.last++
	if l.loseEvery > 0 && l.last%l.loseEvery == 0 {
		return
	}
	l.events = append(l.events, cacheEvent{l.last, stored, removed})
	if len(l.events) > keptEvents {
		l.events = append([]cacheEvent(nil), l.events[len(l.events)-keptEvents/2:]...)
	}
}

// after returns the events that follow a sequence number.
func (l *eventLog) after(sequence int64) []cacheEvent {
	for i, e := range l.events {
		if e.Sequence > sequence {
			return l.events[i:min(len(l.events), i+eventsPerAnswer)]
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
	events := append([]cacheEvent(nil), g.events.after(after)...)
	last := g.events.last
	g.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		// Last is the newest sequence number, which goes back at a restart.
		Last   int64        `json:"last"`
		Events []cacheEvent `json:"events"`
	}{last, events})
}

// loadReport is what the engine tells of its load.
type loadReport struct {
	TimeMS  clock.Millis `json:"time_ms"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Version string       `json:"version"`
	Served  int          `json:"served"`
}

// serveLoad answers with a report that is renewed every ReportEvery.
func (g *Generator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.System{}.Now()
	if g.report.TimeMS == 0 || now-g.report.TimeMS >= g.ReportEvery {
		g.report = loadReport{now, g.running, g.waiting, g.versions.current, g.served}
	}
	_ = json.NewEncoder(w).Encode(g.report)
}
