// Package generator is a stand-in for a language model engine: it batches
// continuously, caches prompt prefixes in bounded memory, knows no tiers and
// streams tokens in the OpenAI form. What it answers follows from the prompt
// alone, so that a caller can check that an answer is whole and its own.
package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
	"yuccaspread/common/hasher"
	"yuccaspread/common/prompter"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 16 << 20

// defaultMaxTokens is the length of answers to requests that name none.
const defaultMaxTokens = 16

// Generator is one engine. Its exported fields are set before Register.
type Generator struct {
	// Name is told in the header X-Upstream.
	Name string
	// Version is the version that the engine serves at the start.
	Version string
	// Slots is the number of requests that run at once; others wait, in order.
	Slots int
	// PrefillTokensPerSecond is the speed of reading prompts.
	PrefillTokensPerSecond float64
	// TokenGap is the time between tokens of a lone request.
	TokenGap clock.Millis
	// GapPerRequest is what each further running request adds to the gap.
	GapPerRequest clock.Millis
	// CacheBlocks bounds the prefix cache, in blocks.
	CacheBlocks int
	// ReportEvery is the age at which a load report is renewed; 0 renews each.
	ReportEvery clock.Millis
	// LoseEvery loses each cache event whose number it divides; 0 loses none.
	LoseEvery int64
	// Grace is how long a stream runs on without anyone who reads it; 0 stands
	// for DefaultGrace.
	Grace clock.Millis
	// Crash ends the process, for the fault of that name.
	Crash func()

	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// Weights is the store that all engines load from; nil loads at once.
	Weights *Weights
	// Behaviours are the faults of versions; the first that fits shows.
	Behaviours []Behaviour

	once  sync.Once
	slots chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	cache   prefixCache
	events  eventLog
	report  loadReport
	served  int
	streams map[string]*stream
	faults  Faults
	// versions, adapter and role are what orders have led to.
	versions versions
	adapter  string
	role     string
}

// chatRequest is a request on its way through the engine.
type chatRequest struct {
	prompter.Request

	// version is the one that the request runs on.
	version string
	// slowness is how many times slower the tokens come; 0 stands for 1.
	slowness float64
}

// Answer returns the tokens that every engine gives for the prompt.
func Answer(prompt string, count int) []string {
	tokens := make([]string, count)
	sum := hasher.Fingerprint("", "", []byte(prompt))
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%04x-%d ", sum&0xffff, i)
	}
	return tokens
}

// Register adds the engine's handlers to router.
func (g *Generator) Register(router *mux.Router) {
	g.once.Do(func() {
		g.slots = make(chan struct{}, max(g.Slots, 1))
		g.cache.capacity = g.CacheBlocks
		g.events.loseEvery = g.LoseEvery
		g.versions = versions{current: g.Version, loaded: []string{g.Version}, running: map[string]int{}, served: map[string]int{}}
	})
	router.HandleFunc("/v1/chat/completions", g.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", g.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/load", g.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/v1/versions", g.serveVersions).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", g.serveOrder).Methods(http.MethodPost)
	router.HandleFunc("/v1/cache_events", g.serveEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", g.serveStream).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", g.cancelStream).Methods(http.MethodDelete)
	router.HandleFunc("/faults", g.serveFaults).Methods(http.MethodPut)
}

func (g *Generator) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	prompt := req.Text()
	g.crash(prompt)
	fault := g.meet(r, &req)
	defer g.part(req.version)
	if !fault.apply(w, &req) {
		return
	}
	tag := r.Header.Get(headerRequest)
	if req.Stream {
		g.follow(w, r, g.begin(tag, req, prompt), 0)
		return
	}
	if !g.enter(r.Context()) {
		return
	}
	defer g.leave()
	cached := g.prefill(r.Context(), prompt)
	g.head(w, tag, req.version, cached)
	g.whole(r.Context(), w, req, prompt)
}

// headerRequest names the attempt that an answer belongs to.
const headerRequest = "X-Request-Id"

func (g *Generator) head(w http.ResponseWriter, tag, version string, cached int) {
	w.Header().Set("X-Upstream", g.Name)
	w.Header().Set("X-Version", version)
	w.Header().Set("X-Cached-Tokens", strconv.Itoa(cached))
	if tag != "" {
		w.Header().Set(headerRequest, tag)
	}
}

// enter waits for a slot; it returns false when the caller left.
func (g *Generator) enter(ctx context.Context) bool {
	g.count(0, 1)
	defer g.count(0, -1)
	select {
	case g.slots <- struct{}{}:
		g.count(1, 0)
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *Generator) leave() {
	g.count(-1, 0)
	<-g.slots
}

func (g *Generator) count(running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += running
	g.waiting += waiting
	if running > 0 {
		g.served++
	}
}

// prefill takes the time to read the uncached part of the prompt and returns
// the number of cached tokens.
func (g *Generator) prefill(ctx context.Context, prompt string) int {
	blocks := hasher.Prefix(prompt)
	g.mu.Lock()
	hits := g.cache.hits(blocks)
	g.events.add(g.cache.add(blocks))
	g.mu.Unlock()
	cached := hits * hasher.BlockTokens
	fresh := max(hasher.Tokens(prompt)-cached, 0)
	if g.PrefillTokensPerSecond > 0 {
		seconds := float64(fresh) / g.PrefillTokensPerSecond
		sleep(ctx, time.Duration(seconds*float64(time.Second)))
	}
	return cached
}

// gap is the present time between tokens of a request.
func (g *Generator) gap(req chatRequest) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap := (g.TokenGap + g.GapPerRequest*clock.Millis(max(g.running-1, 0))).Duration()
	return time.Duration(float64(gap) * max(req.slowness, 1))
}

func sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (g *Generator) whole(ctx context.Context, w http.ResponseWriter, req chatRequest, prompt string) {
	tokens := Answer(prompt, req.MaxTokens)
	for range tokens {
		sleep(ctx, g.gap(req))
	}
	stop := "stop"
	count := hasher.Tokens(prompt)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		Object: "chat.completion", Model: req.Model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: strings.Join(tokens, "")}, FinishReason: &stop}},
		Usage:   &usage{PromptTokens: count, CompletionTokens: len(tokens), TotalTokens: count + len(tokens)},
	})
}
