package forwarder

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/sender"
)

// recordedAttributor blocks one key and records what it is told.
type recordedAttributor struct {
	mu        sync.Mutex
	blocked   uint64
	crashed   []string
	completed int
}

func (a *recordedAttributor) BlockedFor(_ string, keys []uint64) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Contains(keys, a.blocked) {
		return clock.Hour
	}
	return 0
}

func (a *recordedAttributor) UpstreamCrashed(upstream string, _ uint64, keys []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashed = append(a.crashed, upstream)
	a.blocked = keys[0]
}

func (a *recordedAttributor) RequestCompleted([]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.completed++
}

// startUpstream serves handler. The returned function ends it as a crash would.
func startUpstream(t *testing.T, handler http.HandlerFunc) (address string, crash func()) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), func() {
		_ = server.Listener.Close()
		server.CloseClientConnections()
	}
}

// TestCrashIsToldFromALostAnswer checks what a forwarder reports of requests and their
// upstreams, and that what crashes upstreams is not sent again.
func TestCrashIsToldFromALostAnswer(t *testing.T) {
	var crash func()
	crashing, crashNow := startUpstream(t, func(http.ResponseWriter, *http.Request) { crash() })
	crash = crashNow
	losing, _ := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
	sound, _ := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) })
	for name, c := range map[string]struct {
		upstreams []inventory.Upstream
		crashed   []string
		completed int
		status    int
	}{
		"lost answer":   {[]inventory.Upstream{{Name: "losing", Address: losing}, {Name: "sound", Address: sound}}, nil, 1, http.StatusOK},
		"crash":         {[]inventory.Upstream{{Name: "crashing", Address: crashing}, {Name: "sound", Address: sound}}, []string{"crashing"}, 0, http.StatusBadGateway},
		"sound request": {[]inventory.Upstream{{Name: "sound", Address: sound}}, nil, 1, http.StatusOK},
	} {
		attributor := &recordedAttributor{}
		f := &Forwarder{
			Source: &fixedSource{inventory.Config{Upstreams: c.upstreams}}, Clock: clock.System{}, Reserver: &fixedSlots{upstreams: c.upstreams},
			Sender: &sender.Sender{}, Protocol: plainProtocol{}, Budget: &Budget{RetriesPerRequest: 1, ExtraRetries: 10, Daemons: func() int { return 1 }}, Attributor: attributor,
		}
		req := &classifier.Request{
			ID: "1", Method: http.MethodPost, Path: "/", Idempotent: true, MaxAttempts: 3, PromptParts: []uint64{7}, Fingerprint: 8,
			Deadline: clock.System{}.Now() + 5*clock.Second,
		}
		for range 10 {
			f.Budget.AddRequest(req.Pool)
		}
		recorder := httptest.NewRecorder()
		status := func() int {
			err := f.Handle(t.Context(), recorder, req)
			if refusal, is := err.(*refuser.Refusal); is { //nolint:errorlint // Refusals are returned as they are.
				return refusal.Status
			}
			return recorder.Code
		}
		if got := status(); got != c.status || !slices.Equal(attributor.crashed, c.crashed) || attributor.completed != c.completed {
			t.Errorf("%s: status %d, crashed %v, completed %d", name, got, attributor.crashed, attributor.completed)
		}
		attributor.blocked = 7
		if got := status(); got != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d for a request that is blocked", name, got)
		}
	}
}

// TestCutIsNotTakenForCrashes guards against sound requests that count as crashing upstreams because the links of
// their daemon refuse connections.
func TestCutIsNotTakenForCrashes(t *testing.T) {
	for _, cut := range []bool{true, false} {
		attributor, survey := &recordedAttributor{}, &testSurvey{}
		survey.cut.Store(cut)
		r := &requestState{
			Forwarder: &Forwarder{Sender: &sender.Sender{}, Attributor: attributor, Survey: survey}, req: &classifier.Request{ID: "1"},
		}
		r.checkCrash(t.Context(), unreachable(t, 1)[0])
		if (len(attributor.crashed) == 0) != cut {
			t.Errorf("cut off %t: crashes of %v", cut, attributor.crashed)
		}
	}
}
