package forwarder

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

// unframed answers with a head without a length or chunks, and with a body that ends with the
// connection.
func unframed(t *testing.T, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", body)
		_ = conn.Close()
	}
}

// TestAnswerThatEndsWithItsConnection guards against a stream that was broken off inside an
// event and passes for whole, where neither a length nor chunks tell its end.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		body              string
		stream, resumable bool
		// complete means that the caller gets the whole body with a proper end.
		complete bool
	}{
		"plain":                                 {"the answer", false, false, true},
		"stream":                                {events, true, false, true},
		"resumable stream":                      {events, true, true, true},
		"stream with other line ends":           {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", true, false, true},
		"resumable stream with other line ends": {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", true, true, true},
		"stream inside an event":                {events + "id: 3\nda", true, false, false},
		"resumable stream inside an event":      {events + "id: 3\nda", true, true, false},
		"stream inside its first event":         {"id: 1", true, false, false},
		"stream without an event":               {"", true, false, false},
		"resumable stream that has no events":   {"", true, true, false},
	} {
		address, _ := startUpstream(t, unframed(t, c.body))
		upstreams := []inventory.Upstream{{Name: "u", Address: address}}
		f := &Forwarder{
			Source: &fixedSource{inventory.Config{Upstreams: upstreams}}, Clock: clock.System{}, Reserver: &fixedSlots{upstreams: upstreams},
			Sender: &sender.Sender{}, Protocol: plainProtocol{}, Budget: &Budget{Daemons: func() int { return 1 }},
		}
		req := &classifier.Request{
			ID: "1", Method: http.MethodPost, Path: "/", Stream: c.stream, Resumable: c.resumable, MaxAttempts: 1,
			Deadline: clock.System{}.Now() + 5*clock.Second,
		}
		recorder := httptest.NewRecorder()
		err := f.Handle(t.Context(), recorder, req)
		if whole := err == nil && recorder.Body.String() == c.body; whole != c.complete {
			t.Errorf("%s: error %v, body %q", name, err, recorder.Body.String())
		}
	}
}

// TestResumedStreamWithoutEventsIsNotComplete guards against a resumed stream whose upstream ended
// before its first event, and that passes for whole: one that the caller resumes, and one that
// another upstream has begun.
func TestResumedStreamWithoutEventsIsNotComplete(t *testing.T) {
	begun, whole := strings.Join(events(1, 3), ""), strings.Join(events(1, 6), "")
	nothing := unframed(t, "")
	for name, c := range map[string]struct {
		lastEventID string
		upstreams   []http.Handler
		body        string
		complete    bool
	}{
		"resumed by the caller":                 {"12", []http.Handler{nothing}, "", false},
		"resumed by the caller, with a third":   {"3", []http.Handler{nothing, events(4, 6)}, strings.Join(events(4, 6), ""), true},
		"resumed elsewhere":                     {"", []http.Handler{breaksOff(events(1, 3)), nothing}, begun, false},
		"resumed elsewhere, with a third":       {"", []http.Handler{breaksOff(events(1, 3)), nothing, events(1, 6)}, whole, true},
		"begun by an upstream without an event": {"", []http.Handler{nothing, events(1, 6)}, whole, true},
	} {
		body, _, err := forwardFrom(t, c.lastEventID, 1, c.upstreams...)
		if (err == nil) != c.complete || body != c.body {
			t.Errorf("%s: error %v, body %q", name, err, body)
		}
	}
}

// TestUnframedAnswerOfACrashedUpstreamIsNotComplete guards against an answer without a length or
// chunks whose upstream was killed between two events, or inside a body, and that passes for whole.
func TestUnframedAnswerOfACrashedUpstreamIsNotComplete(t *testing.T) {
	begun, whole := strings.Join(events(1, 3), ""), strings.Join(events(1, 6), "")
	for name, c := range map[string]struct {
		body              string
		stream, resumable bool
	}{
		"plain":            {"the start of", false, false},
		"large":            {strings.Repeat("x", 2*maxBufferedBytes), false, false},
		"stream":           {begun, true, false},
		"resumable stream": {begun, true, true},
	} {
		var address string
		var crash func()
		address, crash = startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", c.body)
			crash()
			_ = conn.Close()
		})
		sound, _ := startUpstream(t, events(1, 6).ServeHTTP)
		upstreams := []inventory.Upstream{{Name: "crashing", Address: address}, {Name: "sound", Address: sound}}
		f := &Forwarder{
			Source: &fixedSource{inventory.Config{Upstreams: upstreams}}, Clock: clock.System{}, Reserver: &fixedSlots{upstreams: upstreams},
			Sender: &sender.Sender{}, Protocol: plainProtocol{},
			Budget: &Budget{RetriesPerRequest: 1, ExtraRetries: 100, Daemons: func() int { return 1 }},
		}
		recorder := httptest.NewRecorder()
		err := f.Handle(t.Context(), recorder, &classifier.Request{
			ID: "1", Method: http.MethodPost, Path: "/", Stream: c.stream, Resumable: c.resumable, MaxAttempts: 2,
			Deadline: clock.System{}.Now() + 5*clock.Second,
		})
		if got := recorder.Body.String(); err == nil && (!c.resumable || got != whole) {
			t.Errorf("%s: passes for whole with %d bytes", name, len(got))
		}
	}
}
