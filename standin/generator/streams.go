package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
)

// DefaultGrace is how long a stream without readers is kept, whether it still runs or
// has ended.
const DefaultGrace = 10 * clock.Second

// stream is a response of server-sent events. It runs independently of its readers,
// until it has had none for the grace period.
type stream struct {
	id string
	// version is the model version that the stream runs on.
	version string
	cancel  context.CancelFunc

	mu      sync.Mutex
	changed chan struct{}
	// cached is the number of cached prompt tokens, valid once started is set.
	cached  int
	started bool
	// events are the numbered events so far, without the end mark.
	events []string
	ended  bool
	// readers is the number of connections; timer runs while it is 0.
	readers int
	timer   *time.Timer
}

// startStream starts a stream, or returns the existing one with this id. An empty id is
// replaced by a random one.
func (g *Generator) startStream(id string, req chatRequest, prompt string) *stream {
	if id == "" {
		id = uuid.NewString()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.streams[id]; s != nil {
		return s
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{id: id, version: req.version, cancel: cancel, changed: make(chan struct{})}
	if g.streams == nil {
		g.streams = map[string]*stream{}
	}
	g.streams[id] = s
	g.versions.running[req.version]++
	go g.produceEvents(ctx, s, req, prompt)
	return s
}

// produceEvents runs the request and appends the events to the stream.
func (g *Generator) produceEvents(ctx context.Context, s *stream, req chatRequest, prompt string) {
	defer g.endRequest(req.version)
	if !g.acquireSlot(ctx) {
		return
	}
	defer g.releaseSlot()
	cached := g.prefill(ctx, prompt)
	s.update(func() { s.cached, s.started = cached, true })
	stop := "stop"
	for i, token := range AnswerTokens(prompt, req.MaxTokens) {
		sleep(ctx, g.tokenGap(req))
		if ctx.Err() != nil {
			return
		}
		s.addEvent(i+1, completion{Object: "chat.completion.chunk", Model: req.Model, Choices: []choice{{Delta: &message{Content: token}}}})
	}
	s.addEvent(req.MaxTokens+1, completion{Object: "chat.completion.chunk", Model: req.Model, Choices: []choice{{Delta: &message{}, FinishReason: &stop}}})
	s.update(func() { s.ended = true })
}

func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) addEvent(number int, value any) {
	body, _ := json.Marshal(value)
	event := fmt.Sprintf("id: %s:%d\ndata: %s\n\n", s.id, number, body)
	s.update(func() { s.events = append(s.events, event) })
}

// addReaders changes the number of readers. When it becomes 0, the grace period starts.
func (g *Generator) addReaders(s *stream, delta int) {
	grace := g.Grace
	if grace <= 0 {
		grace = DefaultGrace
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += delta
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.readers == 0 {
		s.timer = time.AfterFunc(grace.Duration(), func() { g.removeStream(s) })
	}
}

// removeStream cancels a stream and removes it.
func (g *Generator) removeStream(s *stream) {
	s.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams, s.id)
}

func (g *Generator) findStream(r *http.Request) *stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streams[mux.Vars(r)["id"]]
}

// serveStream sends the events after the number in Last-Event-ID.
func (g *Generator) serveStream(w http.ResponseWriter, r *http.Request) {
	s := g.findStream(r)
	if s == nil {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || after < 0 {
		http.Error(w, "Last-Event-ID is no number", http.StatusBadRequest)
		return
	}
	g.writeEvents(w, r, s, after)
}

func (g *Generator) cancelStream(w http.ResponseWriter, r *http.Request) {
	if s := g.findStream(r); s != nil {
		g.removeStream(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeEvents writes the events from number after+1 on, and the end mark. The current
// faults apply to this connection.
func (g *Generator) writeEvents(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	g.addReaders(s, 1)
	defer g.addReaders(s, -1)
	faults := g.consumeFaults()
	sent := 0
	flusher := http.NewResponseController(w)
	for {
		events, state, changed := s.eventsAfter(after)
		if len(events) > 0 && sent == 0 {
			g.setHeaders(w, faults.requestID(s.id), s.version, state.cached)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		for _, event := range events {
			faults.applyBefore(r.Context(), w, sent)
			_, _ = fmt.Fprint(w, event) //nolint:gosec // Events of a stand-in, which no browser reads.
			_ = flusher.Flush()
			after++
			sent++
		}
		if state.ended {
			faults.applyBefore(r.Context(), w, sent)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// progress is the state of a stream at one moment.
type progress struct {
	cached int
	ended  bool
}

// eventsAfter returns the events after a number, the state of the stream, and a channel
// that is closed when the stream changes.
func (s *stream) eventsAfter(number int) (events []string, current progress, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number = min(number, len(s.events))
	return s.events[number:], progress{cached: s.cached, ended: s.ended}, s.changed
}
