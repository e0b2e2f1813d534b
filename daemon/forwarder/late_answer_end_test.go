package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

// slowWriter is a caller that takes its time with each piece of an answer.
type slowWriter struct {
	*httptest.ResponseRecorder
	pause   time.Duration
	onWrite func()
}

func (w *slowWriter) Write(piece []byte) (n int, err error) {
	w.onWrite()
	time.Sleep(w.pause)
	return w.ResponseRecorder.Write(piece)
}

// TestLateEndOfARestartedUpstreamIsNotWhole guards against an answer without a length or chunks that a
// crash has broken off, and that passes for whole as its upstream was up again when a slow caller's
// daemon came to the end.
func TestLateEndOfARestartedUpstreamIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		pause     time.Duration
		restarted bool
		whole     bool
	}{
		"read late, restarted":    {800 * time.Millisecond, true, false},
		"read late, still there":  {800 * time.Millisecond, false, true},
		"read in time, restarted": {0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startUpstream(t, unframed(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			upstreams := []inventory.Upstream{{Name: "u@1", Address: address}}
			source := &changingSource{before: inventory.Config{Upstreams: upstreams}, after: inventory.Config{Upstreams: []inventory.Upstream{{Name: "u@2", Address: address}}}}
			f := &Forwarder{
				Source: source, Clock: clock.System{}, Reserver: &fixedSlots{upstreams: upstreams}, Sender: &sender.Sender{}, Protocol: plainProtocol{},
				Budget: &Budget{Daemons: func() int { return 1 }},
			}
			writer := &slowWriter{ResponseRecorder: httptest.NewRecorder(), pause: c.pause, onWrite: func() { source.changed.Store(c.restarted) }}
			err := f.Handle(t.Context(), writer, &classifier.Request{
				ID: "1", Method: http.MethodPost, Path: "/", Stream: true, MaxAttempts: 1, Deadline: clock.System{}.Now() + 10*clock.Second,
			})
			if (err == nil) != c.whole {
				t.Errorf("whole %t, %v", err == nil, err)
			}
		})
	}
}
