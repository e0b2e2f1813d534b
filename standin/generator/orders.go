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

// WeightStore simulates the store of model weights, whose throughput all loads share.
// Its exported fields are set before use. The zero value loads at once.
type WeightStore struct {
	// BytesPerSecond is shared evenly by the loads in progress; 0 means no limit.
	BytesPerSecond float64
	// Bytes is the size of each model version.
	Bytes float64

	mu    sync.Mutex
	loads int
	// bytesLeft is what the loads in progress have yet to read.
	bytesLeft float64
}

// Status returns the status that the weight store reports.
func (s *WeightStore) Status() platform.WeightStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.WeightStatus{BytesPerSecond: int64(s.BytesPerSecond), QueuedBytes: int64(s.bytesLeft)}
}

// loadStep is the interval at which a load consumes its share of the throughput.
const loadStep = 20 * clock.Millisecond

// waitForLoad sleeps for the time to read a version, or until cancelled returns true.
func (s *WeightStore) waitForLoad(cancelled func() bool) {
	if s == nil || s.BytesPerSecond <= 0 {
		return
	}
	s.addLoads(1, s.Bytes)
	bytesLeft := s.Bytes
	for bytesLeft > 0 && !cancelled() {
		time.Sleep(loadStep.Duration())
		bytesLeft -= s.readStep()
	}
	s.addLoads(-1, -max(bytesLeft, 0))
}

func (s *WeightStore) addLoads(loads int, bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads += loads
	s.bytesLeft += bytes
}

// readStep returns the bytes that one load reads in a step and subtracts them from
// bytesLeft.
func (s *WeightStore) readStep() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes := s.BytesPerSecond * loadStep.Duration().Seconds() / float64(max(s.loads, 1))
	s.bytesLeft = max(s.bytesLeft-bytes, 0)
	return bytes
}

// VersionFault is a fault of one model version, which affects the requests that match
// all of its conditions.
type VersionFault struct {
	Version string `toml:"version"`
	// Kind is "fail", "empty", "cut" or "slow".
	Kind string `toml:"kind"`
	// EveryNth affects each request whose number on the version is a multiple of
	// it; 0 affects all.
	EveryNth int `toml:"every_nth"`
	// AfterMS is how long after the start of serving the version the fault begins,
	// in milliseconds.
	AfterMS clock.Millis `toml:"after_ms"`
	// MinRunning is the number of running requests from which the fault applies.
	MinRunning int `toml:"min_running"`
	// Path limits the fault to a path, Class to a value of X-Request-Class.
	Path  string `toml:"path"`
	Class string `toml:"class"`
	// Factor multiplies the time between tokens for the kind "slow".
	Factor float64 `toml:"factor"`
}

// truncatedTokens is the length of an answer truncated by the kind "cut".
const truncatedTokens = 2

// versions is the state of an engine's model versions, which orders change. It is
// guarded by Generator.mu.
type versions struct {
	current string
	loaded  []string
	loading string
	// serveOnceLoaded reports whether the loading version is served once loaded.
	serveOnceLoaded bool
	// servedSince is when serving the current version started; 0 for the initial one.
	servedSince clock.Millis
	// running counts the requests in progress by version, served all that have
	// started.
	running map[string]int
	served  map[string]int
	// unloading are versions that are unloaded once their requests have ended.
	unloading []string
	// fence is the highest fencing number of an accepted order.
	fence int64
	// accepted and refused count orders, loadStarts the loads that have started.
	accepted, refused, loadStarts int
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
	g.versions.accepted++
	switch order.Kind {
	case "load":
		g.startLoad(order)
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

// startLoad starts loading a version, unless it is loaded or loading, and cancels the
// load of any other. It is called with g.mu held.
func (g *Generator) startLoad(order orderRequest) {
	v := &g.versions
	v.unloading = withoutVersion(v.unloading, order.Version)
	switch {
	case slices.Contains(v.loaded, order.Version):
		if order.Serve {
			g.switchVersion(order.Version)
		}
	case v.loading == order.Version:
		v.serveOnceLoaded = v.serveOnceLoaded || order.Serve
	default:
		v.loading, v.serveOnceLoaded = order.Version, order.Serve
		v.loadStarts++
		go g.finishLoad(order.Version)
	}
}

// finishLoad waits for the load of a version, which another order may cancel, and
// marks the version as loaded.
func (g *Generator) finishLoad(version string) {
	g.WeightStore.waitForLoad(func() bool {
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
	if v.serveOnceLoaded {
		g.switchVersion(version)
	}
}

// switchVersion makes new requests run on a version. It is called with g.mu held.
func (g *Generator) switchVersion(version string) {
	if g.versions.current == version {
		return
	}
	g.versions.current = version
	g.versions.servedSince = clock.System{}.Now()
}

// unload unloads a version, unless it is the one served, once no request runs on it,
// and cancels its load. It is called with g.mu held.
func (g *Generator) unload(version string) {
	v := &g.versions
	if v.loading == version {
		v.loading = ""
	}
	if v.current == version || !slices.Contains(v.loaded, version) {
		return
	}
	if v.running[version] > 0 {
		v.unloading = append(withoutVersion(v.unloading, version), version)
		return
	}
	v.loaded = withoutVersion(v.loaded, version)
}

func withoutVersion(list []string, version string) []string {
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
	}{v.current, v.loaded, v.loading, v.fence, v.accepted, v.refused, v.loadStarts, v.served, g.adapter, g.role})
}

// startRequest assigns the current version to the request, counts it, and returns the
// first fault that matches it, or the zero value.
func (g *Generator) startRequest(r *http.Request, req *chatRequest) (fault VersionFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := &g.versions
	version := v.current
	req.version = version
	v.running[version]++
	v.served[version]++
	for _, f := range g.VersionFaults {
		switch {
		case f.Version != version,
			f.EveryNth > 0 && v.served[version]%f.EveryNth != 0,
			clock.System{}.Now() < v.servedSince+f.AfterMS,
			g.running < f.MinRunning,
			f.Path != "" && f.Path != r.URL.Path,
			f.Class != "" && f.Class != r.Header.Get("X-Request-Class"):
			continue
		}
		return f
	}
	return fault
}

// endRequest counts the end of a request on a version and completes a pending unload.
func (g *Generator) endRequest(version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versions.running[version]--
	if slices.Contains(g.versions.unloading, version) && g.versions.running[version] == 0 {
		g.versions.unloading = withoutVersion(g.versions.unloading, version)
		g.versions.loaded = withoutVersion(g.versions.loaded, version)
	}
}

// apply applies the fault to the request. It returns false if the request has failed
// and the response has been written.
func (f VersionFault) apply(w http.ResponseWriter, req *chatRequest) bool {
	switch f.Kind {
	case "fail":
		http.Error(w, "the version is broken", http.StatusInternalServerError)
		return false
	case "empty":
		req.MaxTokens = 0
	case "cut":
		req.MaxTokens = min(req.MaxTokens, truncatedTokens)
	case "slow":
		req.slowness = f.Factor
	}
	return true
}
