// Package generator is a stand-in for a language model engine. It simulates continuous
// batching without tiers and a bounded prompt prefix cache, and streams tokens in the
// OpenAI format. Its answer depends on the prompt alone, so that a caller can check
// that a response is complete and its own.
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

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// defaultMaxTokens is the length of the answer to a request without max_tokens.
const defaultMaxTokens = 16

// Generator is an engine. Its exported fields are set before Register.
type Generator struct {
	// Name is sent in the header X-Upstream.
	Name string
	// Version is the model version that the engine serves at the start.
	Version string
	// Slots bounds the requests that run at once; others wait, in order.
	Slots int
	// PrefillTokensPerSecond is the speed of processing prompts; 0 takes no time.
	PrefillTokensPerSecond float64
	// TokenGap is the time between tokens while no other request runs.
	TokenGap clock.Millis
	// GapPerRequest is added to the gap for each further running request.
	GapPerRequest clock.Millis
	// CacheBlocks bounds the prefix cache, in blocks.
	CacheBlocks int
	// ReportEvery is the age at which a load report is replaced by a new one; 0
	// makes a new one for each call.
	ReportEvery clock.Millis
	// LoseEvery drops each cache event whose sequence number is a multiple of it;
	// 0 drops none.
	LoseEvery int64
	// Grace is how long a stream without readers is kept; 0 means DefaultGrace.
	Grace clock.Millis
	// Crash exits the process, for the fault CrashText.
	Crash func()

	// ChecksFencing makes the engine refuse orders with an outdated fencing number.
	ChecksFencing bool
	// WeightStore is shared by all engines, which load versions from it; nil loads
	// at once.
	WeightStore *WeightStore
	// VersionFaults are the faults of model versions. The first that matches a
	// request applies.
	VersionFaults []VersionFault

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
	// versions, adapter and role are set by orders.
	versions versions
	adapter  string
	role     string
}

// chatRequest is a request in progress.
type chatRequest struct {
	prompter.Request

	// version is the model version that the request runs on.
	version string
	// slowness multiplies the time between tokens; values below 1 count as 1.
	slowness float64
}

// AnswerTokens returns the first count tokens of the answer to a prompt, which are the
// same for every engine.
func AnswerTokens(prompt string, count int) []string {
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
	g.crashIfRequested(prompt)
	fault := g.startRequest(r, &req)
	defer g.endRequest(req.version)
	if !fault.apply(w, &req) {
		return
	}
	requestID := r.Header.Get(headerRequestID)
	if req.Stream {
		g.writeEvents(w, r, g.startStream(requestID, req, prompt), 0)
		return
	}
	if !g.acquireSlot(r.Context()) {
		return
	}
	defer g.releaseSlot()
	cached := g.prefill(r.Context(), prompt)
	g.setHeaders(w, requestID, req.version, cached)
	g.writeCompletion(r.Context(), w, req, prompt)
}

// headerRequestID identifies the attempt that a response belongs to.
const headerRequestID = "X-Request-Id"

func (g *Generator) setHeaders(w http.ResponseWriter, requestID, version string, cached int) {
	w.Header().Set("X-Upstream", g.Name)
	w.Header().Set("X-Version", version)
	w.Header().Set("X-Cached-Tokens", strconv.Itoa(cached))
	if requestID != "" {
		w.Header().Set(headerRequestID, requestID)
	}
}

// acquireSlot waits for a slot. It returns false if ctx is done first.
func (g *Generator) acquireSlot(ctx context.Context) bool {
	g.addCounts(0, 1)
	defer g.addCounts(0, -1)
	select {
	case g.slots <- struct{}{}:
		g.addCounts(1, 0)
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *Generator) releaseSlot() {
	g.addCounts(-1, 0)
	<-g.slots
}

// addCounts changes the numbers of running and waiting requests.
func (g *Generator) addCounts(running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += running
	g.waiting += waiting
	if running > 0 {
		g.served++
	}
}

// prefill sleeps for the time to process the uncached part of the prompt, adds the
// prompt to the cache, and returns the number of tokens that were cached before.
func (g *Generator) prefill(ctx context.Context, prompt string) int {
	blocks := hasher.PrefixHashes(prompt)
	g.mu.Lock()
	hits := g.cache.hits(blocks)
	g.events.record(g.cache.insert(blocks))
	g.mu.Unlock()
	cached := hits * hasher.BlockTokens
	uncached := max(hasher.EstimateTokens(prompt)-cached, 0)
	if g.PrefillTokensPerSecond > 0 {
		seconds := float64(uncached) / g.PrefillTokensPerSecond
		sleep(ctx, time.Duration(seconds*float64(time.Second)))
	}
	return cached
}

// tokenGap returns the current time between tokens of a request.
func (g *Generator) tokenGap(req chatRequest) time.Duration {
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

func (g *Generator) writeCompletion(ctx context.Context, w http.ResponseWriter, req chatRequest, prompt string) {
	tokens := AnswerTokens(prompt, req.MaxTokens)
	for range tokens {
		sleep(ctx, g.tokenGap(req))
	}
	stop := "stop"
	count := hasher.EstimateTokens(prompt)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		Object: "chat.completion", Model: req.Model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: strings.Join(tokens, "")}, FinishReason: &stop}},
		Usage:   &usage{PromptTokens: count, CompletionTokens: len(tokens), TotalTokens: count + len(tokens)},
	})
}
