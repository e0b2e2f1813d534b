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

// DefaultGrace is how long a stream runs on, or is kept when it has ended,
// without anyone who reads it.
const DefaultGrace = 10 * clock.Second

// stream is an answer in events. It runs on its own, whether or not anyone
// reads it, until its grace ends.
type stream struct {
	tag string
	// version is the one that the stream runs on.
	version string
	cancel  context.CancelFunc

	mu      sync.Mutex
	changed chan struct{}
	// cached is valid once started is set.
	cached  int
	started bool
	// events are the numbered ones so far; the end mark is not among them.
	events []string
	ended  bool
	// readers counts the connections; timer runs while it is 0.
	readers int
	timer   *time.Timer
}

// begin starts a stream, or returns the one that runs under the tag.
func (g *Generator) begin(tag string, req chatRequest, prompt string) *stream {
	if tag == "" {
		tag = uuid.NewString()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.streams[tag]; s != nil {
		return s
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{tag: tag, version: req.version, cancel: cancel, changed: make(chan struct{})}
	if g.streams == nil {
		g.streams = map[string]*stream{}
	}
	g.streams[tag] = s
	g.versions.running[req.version]++
	go g.produce(ctx, s, req, prompt)
	return s
}

// produce makes the events of a stream.
func (g *Generator) produce(ctx context.Context, s *stream, req chatRequest, prompt string) {
	defer g.part(req.version)
	if !g.enter(ctx) {
		return
	}
	defer g.leave()
	cached := g.prefill(ctx, prompt)
	s.update(func() { s.cached, s.started = cached, true })
	stop := "stop"
	for i, token := range Answer(prompt, req.MaxTokens) {
		sleep(ctx, g.gap(req))
		if ctx.Err() != nil {
			return
		}
		s.add(i+1, completion{Object: "chat.completion.chunk", Model: req.Model, Choices: []choice{{Delta: &message{Content: token}}}})
	}
	s.add(req.MaxTokens+1, completion{Object: "chat.completion.chunk", Model: req.Model, Choices: []choice{{Delta: &message{}, FinishReason: &stop}}})
	s.update(func() { s.ended = true })
}

func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) add(number int, value any) {
	body, _ := json.Marshal(value)
	event := fmt.Sprintf("id: %s:%d\ndata: %s\n\n", s.tag, number, body)
	s.update(func() { s.events = append(s.events, event) })
}

// attach counts a reader in or out. Without any the grace begins.
func (g *Generator) attach(s *stream, change int) {
	grace := g.Grace
	if grace <= 0 {
		grace = DefaultGrace
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += change
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.readers == 0 {
		s.timer = time.AfterFunc(grace.Duration(), func() { g.drop(s) })
	}
}

// drop ends a stream and forgets it.
func (g *Generator) drop(s *stream) {
	s.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams, s.tag)
}

func (g *Generator) find(r *http.Request) *stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streams[mux.Vars(r)["id"]]
}

// serveStream gives the events after the one that Last-Event-ID names.
func (g *Generator) serveStream(w http.ResponseWriter, r *http.Request) {
	s := g.find(r)
	if s == nil {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || after < 0 {
		http.Error(w, "Last-Event-ID is no number", http.StatusBadRequest)
		return
	}
	g.follow(w, r, s, after)
}

func (g *Generator) cancelStream(w http.ResponseWriter, r *http.Request) {
	if s := g.find(r); s != nil {
		g.drop(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

// follow writes the events from number after+1 on, and the end mark. The
// faults that are switched on apply to this connection.
func (g *Generator) follow(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	g.attach(s, 1)
	defer g.attach(s, -1)
	fault := g.takeFault()
	sent := 0
	flusher := http.NewResponseController(w)
	for {
		events, state, changed := s.after(after)
		if len(events) > 0 && sent == 0 {
			g.head(w, fault.tag(s.tag), s.version, state.cached)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		for _, event := range events {
			fault.before(r.Context(), w, sent)
			_, _ = fmt.Fprint(w, event) //nolint:gosec // Events of a stand-in, which no browser reads.
			_ = flusher.Flush()
			after++
			sent++
		}
		if state.ended {
			fault.before(r.Context(), w, sent)
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

func (s *stream) after(number int) (events []string, state progress, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number = min(number, len(s.events))
	return s.events[number:], progress{cached: s.cached, ended: s.ended}, s.changed
}
