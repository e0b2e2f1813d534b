package generator

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

// Weights is the rate limit that all loads of weights share. Its exported
// fields are set before use; the zero value loads at once.
type Weights struct {
	// BytesPerSecond is shared evenly by the loads in progress; 0 is no limit.
	BytesPerSecond float64
	// Bytes is the size of each version.
	Bytes float64

	mu    sync.Mutex
	loads int
	// left is what the loads in progress still have to read.
	left float64
}

// Status returns what the weight store tells about itself.
func (w *Weights) Status() platform.WeightStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	return platform.WeightStatus{BytesPerSecond: int64(w.BytesPerSecond), QueuedBytes: int64(w.left)}
}

// loadStep is how often a load takes its part of the rate.
const loadStep = 20 * clock.Millisecond

// load takes the time to read a version, unless stop tells to end before.
func (w *Weights) load(stop func() bool) {
	if w == nil || w.BytesPerSecond <= 0 {
		return
	}
	w.add(1, w.Bytes)
	left := w.Bytes
	for left > 0 && !stop() {
		time.Sleep(loadStep.Duration())
		left -= w.part()
	}
	w.add(-1, -max(left, 0))
}

func (w *Weights) add(loads int, bytes float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads += loads
	w.left += bytes
}

// part is what one load reads in a step.
func (w *Weights) part() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	bytes := w.BytesPerSecond * loadStep.Duration().Seconds() / float64(max(w.loads, 1))
	w.left = max(w.left-bytes, 0)
	return bytes
}

// Behaviour is a fault of one version.
type Behaviour struct {
	Version string `toml:"version"`
	// Kind is "fail", "empty", "cut" or "slow".
	Kind string `toml:"kind"`
	// EveryNth affects each request whose number on the version it divides; 0
	// affects all.
	EveryNth int `toml:"every_nth"`
	// AfterMS is the time from which on it shows, since the version is served.
	AfterMS clock.Millis `toml:"after_ms"`
	// MinRunning is the number of running requests from which on it shows.
	MinRunning int `toml:"min_running"`
	// Path limits it to a path, Class to a value of X-Request-Class.
	Path  string `toml:"path"`
	Class string `toml:"class"`
	// Factor is how many times slower the tokens of a "slow" one come.
	Factor float64 `toml:"factor"`
}

// cutTokens is the length of a cut answer.
const cutTokens = 2

// versions is the part of an engine that orders change; its mutex is the
// engine's.
type versions struct {
	current string
	loaded  []string
	loading string
	// serve is set where the loading version shall be served once loaded.
	serve bool
	// since is when the present version was first served.
	since clock.Millis
	// running counts requests by version, served all that ever began.
	running map[string]int
	served  map[string]int
	// leaving are versions that go once their requests are done.
	leaving []string
	// fence is the highest fencing number of an order that was obeyed.
	fence int64
	// obeyed and refused count orders, starts the loads begun.
	obeyed, refused, starts int
}

type orderRequest struct {
	Fence   int64  `json:"fence"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Serve   bool   `json:"serve"`
}

func (g *Generator) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ChecksFencing && order.Fence < g.versions.fence {
		g.versions.refused++
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	g.versions.fence = max(g.versions.fence, order.Fence)
	g.versions.obeyed++
	switch order.Kind {
	case "load":
		g.load(order)
	case "unload":
		g.unload(order.Version)
	case "adapter":
		g.adapter = order.Adapter
	case "role":
		g.role = order.Role
	default:
		http.Error(w, "unknown kind", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// load brings a version into memory; g.mu is held.
func (g *Generator) load(order orderRequest) {
	v := &g.versions
	v.leaving = without(v.leaving, order.Version)
	switch {
	case slices.Contains(v.loaded, order.Version):
		if order.Serve {
			g.change(order.Version)
		}
	case v.loading == order.Version:
		v.serve = v.serve || order.Serve
	default:
		v.loading, v.serve = order.Version, order.Serve
		v.starts++
		go g.fetch(order.Version)
	}
}

func (g *Generator) fetch(version string) {
	g.Weights.load(func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.versions.loading != version
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	v := &g.versions
	if v.loading != version {
		return
	}
	v.loading = ""
	v.loaded = append(v.loaded, version)
	if v.serve {
		g.change(version)
	}
}

// change makes new requests run on the version; g.mu is held.
func (g *Generator) change(version string) {
	if g.versions.current == version {
		return
	}
	g.versions.current = version
	g.versions.since = clock.System{}.Now()
}

// unload lets a version go once no request runs on it; g.mu is held. The one
// that is served stays.
func (g *Generator) unload(version string) {
	v := &g.versions
	if v.loading == version {
		v.loading = ""
	}
	if v.current == version || !slices.Contains(v.loaded, version) {
		return
	}
	if v.running[version] > 0 {
		v.leaving = append(without(v.leaving, version), version)
		return
	}
	v.loaded = without(v.loaded, version)
}

func without(list []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(v string) bool { return v == version })
}

func (g *Generator) serveVersions(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := &g.versions
	_ = json.NewEncoder(w).Encode(struct {
		Version string         `json:"version"`
		Loaded  []string       `json:"loaded"`
		Loading string         `json:"loading"`
		Fence   int64          `json:"fence"`
		Obeyed  int            `json:"obeyed"`
		Refused int            `json:"refused"`
		Starts  int            `json:"starts"`
		Served  map[string]int `json:"served"`
		Adapter string         `json:"adapter"`
		Role    string         `json:"role"`
	}{v.current, v.loaded, v.loading, v.fence, v.obeyed, v.refused, v.starts, v.served, g.adapter, g.role})
}

// meet counts a request on the present version, which it sets, and returns the
// fault that the request meets.
func (g *Generator) meet(r *http.Request, req *chatRequest) (fault Behaviour) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := &g.versions
	version := v.current
	req.version = version
	v.running[version]++
	v.served[version]++
	for _, b := range g.Behaviours {
		switch {
		case b.Version != version,
			b.EveryNth > 0 && v.served[version]%b.EveryNth != 0,
			clock.System{}.Now() < v.since+b.AfterMS,
			g.running < b.MinRunning,
			b.Path != "" && b.Path != r.URL.Path,
			b.Class != "" && b.Class != r.Header.Get("X-Request-Class"):
			continue
		}
		return b
	}
	return fault
}

// part ends a request on the version.
func (g *Generator) part(version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versions.running[version]--
	if slices.Contains(g.versions.leaving, version) && g.versions.running[version] == 0 {
		g.versions.leaving = without(g.versions.leaving, version)
		g.versions.loaded = without(g.versions.loaded, version)
	}
}

// apply makes the request suffer the fault; it returns false where the request
// fails outright.
func (b Behaviour) apply(w http.ResponseWriter, req *chatRequest) bool {
	switch b.Kind {
	case "fail":
		http.Error(w, "the version is broken", http.StatusInternalServerError)
		return false
	case "empty":
		req.MaxTokens = 0
	case "cut":
		req.MaxTokens = min(req.MaxTokens, cutTokens)
	case "slow":
		req.slowness = b.Factor
	}
	return true
}
